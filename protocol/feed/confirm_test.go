package feed

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"github.com/mulberrylink/mulberrylink/coordination/document"
)

// confirmFixture is a hub whose state and quorum reads tests control.
type confirmFixture struct {
	machine *document.Machine
	hub     *Hub
	reads   atomic.Int32
	fails   atomic.Bool   // the reads fail
	took    time.Duration // of a read
}

func newConfirmFixture() *confirmFixture {
	f := &confirmFixture{machine: document.NewMachine()}
	f.change(1, 0)
	f.hub = NewHub(HubConfig{State: f.machine.Current, Log: &log.Logger{Level: log.FatalLevel}, ConfirmedState: func(context.Context) (*document.State, bool) {
		f.reads.Add(1)
		state, _ := f.machine.Current()
		time.Sleep(f.took)
		return state, !f.fails.Load()
	}})
	return f
}

func (f *confirmFixture) change(version, base uint64) {
	c := document.Change{BaseVersion: base, Version: version, Lists: []document.List{{Name: "tenants"}}}
	f.machine.Apply(0, document.Encode(document.Command{Change: &c}))
}

func (f *confirmFixture) session() *session {
	return &session{hub: f.hub, confirmed: make(chan struct{}, 1)}
}

// next returns the next message to a subscriber.
func (s *session) next() (m hubMessage) {
	s.addDocument(&m)
	s.addConfirmation(&m)
	return m
}

// Guards against a confirmation for a probe that arrived after the quorum read had begun: a change that
// was acknowledged between the two is not in the state that the read covers. The message may be sent
// much later, by a hub that was frozen, and still confirms no later probe.
func TestProbesDuringAReadAreNotConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newConfirmFixture()
		f.took = 50 * time.Millisecond
		s := f.session()
		f.hub.confirmer.add(s, 10)
		time.Sleep(20 * time.Millisecond)
		f.hub.confirmer.add(s, 30) // while the read runs
		time.Sleep(80 * time.Millisecond)
		is.Equal(s.next().ConfirmedProbe, int64(10))
		is.Equal(s.next().ConfirmedProbe, int64(0)) // once
		time.Sleep(readInterval)
		f.hub.confirmer.add(s, 40) // the hub is frozen between the read and the message
		time.Sleep(f.took)
		is.Equal(s.next().ConfirmedProbe, int64(30))
		f.hub.confirmer.remove(s)
		time.Sleep(time.Second) // the reads end
	})
}

// Guards against quorum reads for each subscriber, without any subscriber, or without probes, and
// against confirmations from reads that failed.
func TestOneReadForAllSubscribers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newConfirmFixture()
		quiet := f.session()
		f.hub.confirmer.add(quiet, 0)
		time.Sleep(time.Second)
		is.Equal(f.reads.Load(), int32(0))
		var all []*session
		for range 100 {
			all = append(all, f.session())
		}
		f.fails.Store(true)
		for i := range 10 {
			for _, s := range all {
				f.hub.confirmer.add(s, int64(i+1))
			}
			time.Sleep(readInterval)
		}
		is.True(f.reads.Load() >= 9 && f.reads.Load() <= 11)
		is.Equal(all[0].next().ConfirmedProbe, int64(0))
		f.fails.Store(false)
		time.Sleep(2 * readInterval)
		is.Equal(all[0].next().ConfirmedProbe, int64(10))
		is.Equal(all[99].next().ConfirmedProbe, int64(10))
		reads := f.reads.Load()
		time.Sleep(time.Second)
		is.Equal(f.reads.Load(), reads) // all probes are confirmed
		for _, s := range all {
			f.hub.confirmer.remove(s)
		}
		time.Sleep(time.Second) // the test fails if the goroutine of the reads has not ended then
	})
}

// Guards against a confirmation for a subscriber that does not have the state which the quorum read
// covers: the hub has an older state than the subscriber, could not send the document, or has not
// applied the state.
func TestNoConfirmationWithoutTheState(t *testing.T) {
	is := is.New(t)
	f := newConfirmFixture()
	f.change(2, 1)
	ahead := f.session()
	ahead.version, ahead.stateRevision = 9, 9
	ahead.confirm(&confirmation{probe: 5, revision: 2})
	is.Equal(ahead.next().ConfirmedProbe, int64(0))

	other := f.session() // the state of another history with the same revision
	other.version, other.stateRevision = 7, 2
	other.confirm(&confirmation{probe: 5, revision: 2})
	is.Equal(other.next().ConfirmedProbe, int64(0))

	unsent := f.session()
	unsent.confirm(&confirmation{probe: 5, revision: 2})
	f.hub.compress = func(*documentUpdate) ([]byte, error) { return nil, errors.New("out of memory") }
	is.Equal(unsent.next().ConfirmedProbe, int64(0))
	f.hub.compress = compressUpdate
	m := unsent.next() // carries both
	is.True(len(m.CompressedUpdate) > 0)
	is.Equal(m.ConfirmedProbe, int64(5))
	is.Equal(m.ConfirmedRevision, uint64(2))

	unsent.confirm(&confirmation{probe: 6, revision: 3})
	is.Equal(unsent.next().ConfirmedProbe, int64(0))
	f.change(3, 2)
	is.Equal(unsent.next().ConfirmedProbe, int64(6))
}

// Guards against a client that passes a confirmation on before the state in the same message is in
// force, or although that state could not be read.
func TestClientHandlesTheStateFirst(t *testing.T) {
	is := is.New(t)
	f := newConfirmFixture()
	s := f.session()
	s.confirm(&confirmation{probe: 5, revision: 1})
	m := s.next()
	var events []string
	c := NewClient(ClientConfig{
		OnState:     func(*document.State) { events = append(events, "state") },
		OnConfirmed: func(time.Duration, uint64) { events = append(events, "confirmed") },
	})
	broken := m
	broken.CompressedUpdate = []byte("x")
	is.True(c.handleMessage(&broken, "a") != nil)
	is.Equal(len(events), 0)
	is.NoErr(c.handleMessage(&m, "a"))
	is.Equal(events, []string{"state", "confirmed"})
}
