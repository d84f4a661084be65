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

// TestGateModel compares the gate with a model that only counts requests. It
// guards against a request admitted above the limit, a limit that grows without
// completions, a request that overtakes a waiting one, and a second request in
// flight with one that must run alone.
func TestGateModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(virtualTimeTB{t}, func(rt *rapid.T) {
			m := &model{gate: admission.New(admission.Config{Clock: clock{}}), slots: 6, incarnation: 1}
			m.gate.Announce(m.slots, 200, mulberrylink.UpstreamUp, 1)
			m.completions = rapid.IntRange(0, 40).Draw(rt, "completions")
			for range m.completions {
				p, _ := m.gate.Acquire(context.Background(), &mulberrylink.Request{}, false)
				time.Sleep(10 * time.Millisecond)
				p.Done(admission.Completion{})
			}
			m.lastLimit = m.gate.Load().Limit
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

// virtualTimeTB hides the method Deadline of a test, which must not be called in
// a synctest bubble.
type virtualTimeTB struct{ rapid.TB }

type modelRequest struct {
	scriptRequest
	alone bool
}

type model struct {
	gate        *admission.Gate
	slots       int
	incarnation uint64
	lastLimit   int // limit at the last check
	completions int // successful ones since the limit last changed
	waiting     []*modelRequest
	running     []*modelRequest
}

func (m *model) enter(rt *rapid.T) { m.add(rt, false) }

func (m *model) enterAlone(rt *rapid.T) { m.add(rt, true) }

func (m *model) add(rt *rapid.T, alone bool) {
	ctx, cancel := context.WithCancel(context.Background())
	req := &modelRequest{scriptRequest: scriptRequest{cancel: cancel}, alone: alone}
	wait := time.Duration(rapid.IntRange(1, 100).Draw(rt, "deadline")) * time.Millisecond
	r := &mulberrylink.Request{Deadline: time.Now().Add(wait)}
	m.waiting = append(m.waiting, req)
	go func() {
		req.permit, req.reason = m.gate.Acquire(ctx, r, alone)
		req.ended.Store(true)
	}()
	m.check(rt, 0)
}

func (m *model) done(rt *rapid.T) {
	if len(m.running) == 0 {
		rt.Skip()
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(rt, "which")
	req := m.running[i]
	m.running = append(m.running[:i:i], m.running[i+1:]...)
	class := admission.Class(rapid.IntRange(0, 5).Draw(rt, "class"))
	successes := 0
	if class == admission.Success {
		successes = 1
	}
	req.permit.Done(admission.Completion{Class: class})
	req.permit.Done(admission.Completion{Class: class}) // has no effect
	m.check(rt, successes)
}

func (m *model) advance(rt *rapid.T) {
	// A check every millisecond, because the limit may fall between two admissions.
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

func (m *model) check(rt *rapid.T, successes int) {
	synctest.Wait()
	admitted := m.collectAdmitted(rt)
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
	m.checkGrowth(rt, l.Limit, successes)
	for _, req := range m.running {
		if req.alone && len(m.running) > 1 {
			rt.Fatalf("%d requests run at the same time as one that must run alone", len(m.running)-1)
		}
	}
}

// collectAdmitted moves admitted requests from waiting to running and checks that
// none has overtaken a request that still waits.
func (m *model) collectAdmitted(rt *rapid.T) (admitted bool) {
	var waiting []*modelRequest
	for _, req := range m.waiting {
		switch {
		case !req.ended.Load():
			waiting = append(waiting, req)
		case req.permit != nil:
			if len(waiting) > 0 {
				rt.Fatalf("a request overtook %d waiting ones", len(waiting))
			}
			m.running = append(m.running, req)
			admitted = true
		}
	}
	m.waiting = waiting
	return admitted
}

// checkGrowth checks that the limit rises by one only, on a successful completion,
// and after at least as many of them as the limit. A reported limit of zero means
// that the gate admits nothing and says nothing about the real limit.
func (m *model) checkGrowth(rt *rapid.T, limit, successes int) {
	m.completions += successes
	if limit > max(1, m.lastLimit) {
		if successes == 0 || limit > m.lastLimit+1 || m.completions < m.lastLimit {
			rt.Fatalf("limit rose from %d to %d after %d completions", m.lastLimit, limit, m.completions)
		}
	}
	if limit != m.lastLimit {
		m.completions = 0
		m.lastLimit = limit
	}
}

func (m *model) finish(rt *rapid.T) {
	for _, req := range m.waiting {
		req.cancel()
	}
	m.check(rt, 0)
	for len(m.running) > 0 {
		req := m.running[0]
		m.running = m.running[1:]
		req.permit.Done(admission.Completion{Class: admission.Canceled})
		m.check(rt, 0)
	}
	if !m.gate.Idle() {
		rt.Fatal("gate is not idle after the last request")
	}
}
