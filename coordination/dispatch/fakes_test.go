package dispatch_test

import (
	"context"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/dispatch"
	"github.com/mulberrylink/mulberrylink/coordination/suspect"
)

type clock struct{}

func (clock) Now() time.Time { return time.Now() }

// step is the behaviour of the fake forwarder in one attempt.
type step struct {
	outcome   mulberrylink.Outcome
	reason    mulberrylink.Reason
	status    int
	delay     time.Duration
	readsBody bool
	runs      bool // an upstream runs the request
	// ignoresCancel makes the attempt run on after its context has ended.
	ignoresCancel bool
}

// forwarder is a Forwarder that follows its steps in order and records what was
// sent to which node.
type forwarder struct {
	mu           sync.Mutex
	steps        []step
	nodes        []string
	attempts     []int
	tries        []int
	bodies       []string
	alone        []bool
	runs         int // requests that an upstream has started to run
	canceled     int
	closedBodies int // response bodies
}

func (f *forwarder) Forward(ctx context.Context, n mulberrylink.Node, r *mulberrylink.Request, attempt int, alone bool) mulberrylink.Result {
	s := f.next(n, r, attempt, alone)
	done := ctx.Done()
	if s.ignoresCancel {
		done = nil
	}
	select {
	case <-done:
		f.mu.Lock()
		f.canceled++
		f.mu.Unlock()
		return mulberrylink.Result{Outcome: mulberrylink.Unknown, Reason: mulberrylink.ReasonCanceled}
	case <-time.After(s.delay):
	}
	res := mulberrylink.Result{Outcome: s.outcome, Reason: s.reason}
	if s.outcome == mulberrylink.Answered {
		res.Answer = &mulberrylink.Answer{Status: s.status, Body: &answerBody{strings.NewReader(n.Name), f}}
	}
	return res
}

func (f *forwarder) next(n mulberrylink.Node, r *mulberrylink.Request, attempt int, alone bool) step {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := step{status: 200, runs: true}
	if len(f.steps) > 0 {
		s, f.steps = f.steps[0], f.steps[1:]
	}
	f.nodes = append(f.nodes, n.Name)
	f.attempts = append(f.attempts, attempt)
	f.tries = append(f.tries, r.ExtraAttempts)
	f.alone = append(f.alone, alone)
	if s.runs {
		f.runs++
	}
	if s.readsBody && r.Body != nil {
		text, _ := io.ReadAll(r.Body)
		f.bodies = append(f.bodies, string(text))
	}
	return s
}

type answerBody struct {
	io.Reader
	f *forwarder
}

func (b *answerBody) Close() error {
	b.f.mu.Lock()
	defer b.f.mu.Unlock()
	b.f.closedBodies++
	return nil
}

// picker is a Picker that returns its nodes in order and counts the attempts that
// were not observed yet.
type picker struct {
	mu         sync.Mutex
	nodes      []string
	unobserved map[string]int
}

func (p *picker) Pick(_ *mulberrylink.Request, tried []string) (mulberrylink.Node, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.nodes {
		if !slices.Contains(tried, n) {
			p.unobserved[n]++
			return mulberrylink.Node{Name: n}, true
		}
	}
	return mulberrylink.Node{}, false
}

func (p *picker) PickAlone(r *mulberrylink.Request, tried []string) (mulberrylink.Node, bool) {
	return p.Pick(r, tried)
}

func (p *picker) Observe(node string, _ mulberrylink.Result, _ time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unobserved[node]--
}

// claimer is a Claimer that returns its states in order and then grants.
type claimer struct {
	states   []dispatch.ClaimState
	requests int
	released int
}

func (c *claimer) Claim(context.Context, *mulberrylink.Request) dispatch.Claim {
	c.requests++
	if len(c.states) == 0 {
		return dispatch.Claim{}
	}
	s := c.states[0]
	c.states = c.states[1:]
	if s == dispatch.Finished {
		return dispatch.Claim{State: s, Answer: &mulberrylink.Answer{Status: 201, Body: io.NopCloser(strings.NewReader("first"))}}
	}
	return dispatch.Claim{State: s}
}

func (c *claimer) Release(ctx context.Context, _ *mulberrylink.Request) {
	if ctx.Err() == nil {
		c.released++
	}
}

// budget is a Budget that allows a number of retries and hedged requests, and
// hedges after a fixed time.
type budget struct {
	left    int
	hedge   time.Duration
	results int
}

func (b *budget) RecordRequest(*mulberrylink.Request) {}

func (b *budget) AllowRetry(r *mulberrylink.Request, res mulberrylink.Result, _ int) bool {
	if res.Outcome == mulberrylink.Unknown && (!r.Idempotent || res.Reason == mulberrylink.ReasonCrashed) {
		return false
	}
	return b.take()
}

func (b *budget) HedgeDelay(*mulberrylink.Request) (time.Duration, bool) {
	return b.hedge, b.hedge > 0
}

func (b *budget) AllowHedge(*mulberrylink.Request, int) bool { return b.take() }

func (b *budget) take() bool {
	b.left--
	return b.left >= 0
}

func (b *budget) RecordLatency(*mulberrylink.Request, time.Duration) {}

func (b *budget) RecordResult(*mulberrylink.Request, mulberrylink.Result) { b.results++ }

type suspects struct {
	verdict   suspect.Verdict
	confirmed int
}

func (s *suspects) Verdict(uint64) suspect.Verdict { return s.verdict }

func (s *suspects) ConfirmCrasher(uint64) []suspect.Notice {
	s.confirmed++
	return nil
}

// fixture is a dispatcher with fake dependencies.
type fixture struct {
	forwarder forwarder
	picker    picker
	claimer   claimer
	budget    budget
	suspects  suspects
	*dispatch.Dispatcher
}

func newFixture() *fixture {
	f := &fixture{
		picker: picker{nodes: []string{"n1", "n2", "n3"}, unobserved: map[string]int{}},
		budget: budget{left: 10},
	}
	f.Dispatcher = dispatch.New(dispatch.Config{
		Clock:     clock{},
		Forwarder: &f.forwarder,
		Claimer:   &f.claimer,
		Picker:    &f.picker,
		Suspects:  &f.suspects,
		Budget:    &f.budget,
	})
	return f
}
