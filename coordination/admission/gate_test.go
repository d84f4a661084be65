package admission_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/admission"
)

// TestGateModel compares the gate with an oracle that only counts: it guards
// against a request admitted above the limit, a limit that grows without
// completions, a waiting request that is passed, and company for a request that
// runs alone.
func TestGateModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubble{t}, func(rt *rapid.T) {
			m := &model{gate: admission.New(admission.Config{Clock: clock{}}), slots: 6, incarnation: 1}
			m.gate.Announce(m.slots, 200, mulberrylink.UpstreamUp, 1)
			m.earned = rapid.IntRange(0, 40).Draw(rt, "warm")
			for range m.earned {
				t, _ := m.gate.Enter(context.Background(), &mulberrylink.Request{}, false)
				time.Sleep(10 * time.Millisecond)
				t.Done(admission.Completion{})
			}
			m.limit = m.gate.Load().Limit
			rt.Repeat(map[string]func(*rapid.T){
				"enter":    m.enter,
				"alone":    m.enterAlone,
				"done":     m.done,
				"advance":  m.advance,
				"announce": m.announce,
				"cancel":   m.cancel,
				"":         func(*rapid.T) {},
			})
			m.finish(rt)
		})
	})
}

// bubble hides Deadline, which must not be called in virtual time.
type bubble struct{ rapid.TB }

type caller struct {
	entry
	alone bool
}

type model struct {
	gate        *admission.Gate
	slots       int
	incarnation uint64
	limit       int // seen last
	earned      int // good completions since the limit changed last
	waiting     []*caller
	running     []*caller
}

func (m *model) enter(rt *rapid.T) { m.add(rt, false) }

func (m *model) enterAlone(rt *rapid.T) { m.add(rt, true) }

func (m *model) add(rt *rapid.T, alone bool) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &caller{entry: entry{cancel: cancel}, alone: alone}
	wait := time.Duration(rapid.IntRange(1, 100).Draw(rt, "deadline")) * time.Millisecond
	r := &mulberrylink.Request{Deadline: time.Now().Add(wait)}
	m.waiting = append(m.waiting, c)
	go func() {
		c.ticket, c.reason = m.gate.Enter(ctx, r, alone)
		c.ended.Store(true)
	}()
	m.check(rt, 0)
}

func (m *model) done(rt *rapid.T) {
	if len(m.running) == 0 {
		rt.Skip()
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(rt, "which")
	c := m.running[i]
	m.running = append(m.running[:i:i], m.running[i+1:]...)
	class := admission.Class(rapid.IntRange(0, 5).Draw(rt, "class"))
	good := 0
	if class == admission.Success {
		good = 1
	}
	c.ticket.Done(admission.Completion{Class: class})
	c.ticket.Done(admission.Completion{Class: class}) // has no effect
	m.check(rt, good)
}

func (m *model) advance(rt *rapid.T) {
	// One check for each admission: the limit may fall between two of them.
	for range rapid.IntRange(1, 60).Draw(rt, "ms") {
		time.Sleep(time.Millisecond)
		m.check(rt, 0)
	}
}

func (m *model) announce(rt *rapid.T) {
	m.incarnation += uint64(rapid.IntRange(0, 1).Draw(rt, "restart"))
	m.slots = rapid.IntRange(1, 12).Draw(rt, "slots")
	m.gate.Announce(m.slots, 200, mulberrylink.UpstreamUp, m.incarnation)
	m.check(rt, 0)
}

func (m *model) cancel(rt *rapid.T) {
	if len(m.waiting) == 0 {
		rt.Skip()
	}
	m.waiting[rapid.IntRange(0, len(m.waiting)-1).Draw(rt, "which")].cancel()
	m.check(rt, 0)
}

func (m *model) check(rt *rapid.T, good int) {
	synctest.Wait()
	admitted := m.collect(rt)
	l := m.gate.Load()
	if l.InFlight != len(m.running) || l.Queued != len(m.waiting) {
		rt.Fatalf("load %+v, but %d run and %d wait", l, len(m.running), len(m.waiting))
	}
	if admitted && l.InFlight > max(1, l.Limit) {
		rt.Fatalf("admitted above the limit: %+v", l)
	}
	if l.Limit > m.slots {
		rt.Fatalf("limit %d above %d slots", l.Limit, m.slots)
	}
	m.grown(rt, l.Limit, good)
	for _, c := range m.running {
		if c.alone && len(m.running) > 1 {
			rt.Fatalf("%d requests run beside one that must be alone", len(m.running)-1)
		}
	}
}

// collect moves callers on and checks their order.
func (m *model) collect(rt *rapid.T) (admitted bool) {
	var still []*caller
	for _, c := range m.waiting {
		switch {
		case !c.ended.Load():
			still = append(still, c)
		case c.ticket != nil:
			if len(still) > 0 {
				rt.Fatalf("a request passed %d waiting ones", len(still))
			}
			m.running = append(m.running, c)
			admitted = true
		}
	}
	m.waiting = still
	return admitted
}

// grown checks that the limit rises by one step, on a good completion, after a
// full limit's worth of them. A limit of zero hides the real one.
func (m *model) grown(rt *rapid.T, limit, good int) {
	m.earned += good
	if limit > max(1, m.limit) {
		if good == 0 || limit > m.limit+1 || m.earned < m.limit {
			rt.Fatalf("limit rose from %d to %d after %d completions", m.limit, limit, m.earned)
		}
	}
	if limit != m.limit {
		m.earned = 0
		m.limit = limit
	}
}

func (m *model) finish(rt *rapid.T) {
	for _, c := range m.waiting {
		c.cancel()
	}
	m.check(rt, 0)
	for len(m.running) > 0 {
		c := m.running[0]
		m.running = m.running[1:]
		c.ticket.Done(admission.Completion{Class: admission.Canceled})
		m.check(rt, 0)
	}
	if !m.gate.Idle() {
		rt.Fatal("gate is not idle after the last request")
	}
}
