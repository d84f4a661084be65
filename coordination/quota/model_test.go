package quota_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/mulberrylink/mulberrylink/coordination/quota"
)

const (
	delay       = 3 * time.Millisecond // one way between a node and the leader
	batchDelay  = 5 * time.Millisecond // minimum time between two messages of a node
	maxWait     = 40 * time.Millisecond
	answerLimit = 250 * time.Millisecond // until a node looks for another leader
	window      = 5 * time.Second
)

// model runs the leaders and nodes of a deployment in virtual time. Its clock starts at an arbitrary reading.
type model struct {
	t        *testing.T
	rand     *rand.Rand
	now      time.Duration
	loadAt   time.Duration // start of the load
	events   eventQueue
	limits   map[string]quota.Limit
	names    []string                 // accounts
	load     map[string]float64       // demand as a multiple of the rate
	loose    map[string]time.Duration // accounts whose limit was lowered, and when it was in force for a window
	leader   *leader                  // nil while there is none
	term     uint64
	nodes    []*node
	accounts map[string]*tally
	messages int
	cached   int // requests that started at once
	waited   int
	standby  int // requests that ran on a standby token, of nodes that were not restarted
	refused  int // over quota, and late of them only after a wait
	late     int
	near     map[string][2]int // range of nodes that the callers of an account use
}

// tally counts the requests of one account.
type tally struct {
	asked, noQuota int
	runs           []time.Duration
	ideal          float64 // tokens of one bucket for all nodes
	idealAt        time.Duration
	idealRuns      int
}

type leader struct {
	allocator *quota.Allocator
	term      uint64
	frozen    bool
	waiting   []func() // messages that arrived while it was frozen
}

type node struct {
	cache     *quota.Cache
	id        uint32
	leader    *leader
	stream    int // incremented when the stream ends
	waiting   map[*quota.Ticket]string
	sendAt    time.Duration // of the next message, 0 without one
	lastSent  time.Duration
	unheard   time.Duration // time of the oldest message without an answer
	searching bool
	down      bool
}

type event struct {
	at  time.Duration
	seq int
	f   func()
}

type eventQueue struct {
	list []event
	seq  int
}

func (q *eventQueue) Len() int { return len(q.list) }
func (q *eventQueue) Less(i, j int) bool {
	a, b := q.list[i], q.list[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}
func (q *eventQueue) Swap(i, j int) { q.list[i], q.list[j] = q.list[j], q.list[i] }
func (q *eventQueue) Push(x any)    { q.list = append(q.list, x.(event)) }
func (q *eventQueue) Pop() any {
	e := q.list[len(q.list)-1]
	q.list = q.list[:len(q.list)-1]
	return e
}

func newModel(t *testing.T, seed uint64, nodes int, limits map[string]quota.Limit) *model {
	m := &model{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), now: 1000 * time.Second, limits: limits, load: map[string]float64{},
		loose: map[string]time.Duration{}, near: map[string][2]int{}, accounts: map[string]*tally{},
	}
	for name := range limits {
		m.names = append(m.names, name)
	}
	slices.Sort(m.names)
	for _, name := range m.names {
		m.load[name] = 1
		m.accounts[name] = &tally{ideal: max(1, limits[name].Burst), idealAt: m.now}
	}
	for i := range nodes {
		m.nodes = append(m.nodes, &node{id: uint32(i), cache: quota.NewCache(), waiting: map[*quota.Ticket]string{}})
	}
	m.elect(0)
	return m
}

func (m *model) after(d time.Duration, f func()) {
	m.events.seq++
	heap.Push(&m.events, event{at: m.now + d, seq: m.events.seq, f: f})
}

func (m *model) run(d time.Duration) {
	for end := m.now + d; len(m.events.list) > 0 && m.events.list[0].at <= end; {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.f()
	}
}

// elect makes another host the leader after some time.
func (m *model) elect(in time.Duration) {
	m.after(in, func() {
		m.term++
		l := &leader{allocator: quota.NewAllocator(), term: m.term}
		l.allocator.SetLimits(m.now, m.limits)
		m.leader = l
		m.confirm(l)
	})
}

// confirm runs the rounds in which the majority confirms a leader.
func (m *model) confirm(l *leader) {
	if m.leader == l && !l.frozen {
		sent := m.now
		m.after(2*delay, func() { l.allocator.Confirm(l.term, sent) })
		m.after(100*time.Millisecond, func() { m.confirm(l) })
	}
}

// startLoad starts the requests of all accounts. Each starts at a random node of its account.
func (m *model) startLoad() {
	m.loadAt = m.now
	for _, name := range m.names {
		m.next(name)
	}
}

func (m *model) next(name string) {
	rate := m.limits[name].Rate * max(m.load[name], 1e-6)
	m.after(time.Duration(m.rand.ExpFloat64()/rate*float64(time.Second)), func() {
		nodes := m.nodes
		if r, ok := m.near[name]; ok {
			nodes = nodes[r[0]:r[1]]
		}
		m.request(name, nodes[m.rand.IntN(len(nodes))])
		m.next(name)
	})
}

func (m *model) request(name string, n *node) {
	if n.down {
		return
	}
	a, limit := m.accounts[name], m.limits[name]
	a.ideal = min(max(1, limit.Burst), a.ideal+limit.Rate*(m.now-a.idealAt).Seconds())
	a.idealAt = m.now
	a.asked++
	if a.ideal >= 1 {
		a.ideal--
		a.idealRuns++
	}
	t := n.cache.Take(m.now, name)
	if t.Verdict == quota.Waiting {
		n.waiting[t] = name
		m.waited++
		m.after(maxWait, func() {
			if _, still := n.waiting[t]; still {
				delete(n.waiting, t)
				if n.cache.TakeStandby(m.now, t) {
					m.settled(name, t)
					return
				}
				n.cache.Cancel(t)
				a.noQuota++
			}
		})
	} else {
		if t.Verdict == quota.Granted {
			m.cached++
		}
		m.settled(name, t)
	}
	m.send(n)
}

func (l *leader) wake() {
	l.frozen = false
	for _, f := range l.waiting {
		f()
	}
	l.waiting = nil
}

func (m *model) totalRuns() (n int) {
	for _, a := range m.accounts {
		n += len(a.runs)
	}
	return n
}

func (m *model) settled(name string, t *quota.Ticket) {
	a := m.accounts[name]
	switch t.Verdict {
	case quota.Granted:
		if t.Token.Expiry <= m.now {
			m.t.Fatalf("%s: a token was used %s after its expiry", name, m.now-t.Token.Expiry)
		}
		a.runs = append(a.runs, m.now)
	case quota.NoQuota:
		a.noQuota++
	case quota.OverQuota:
		if m.load[name] > 1 {
			m.refused++
		}
	case quota.Waiting:
		m.t.Fatalf("%s: settled without a result", name)
	}
	if t.Verdict != quota.Granted && t.RetryAfter <= 0 {
		m.t.Fatalf("%s: refused with %s without a time to come back", name, t.Verdict)
	}
}

// send plans the next message of a node.
func (m *model) send(n *node) {
	if n.sendAt != 0 || n.leader == nil && n.searching || !n.cache.HasAsks() && !n.searching {
		return
	}
	n.sendAt = max(m.now, n.lastSent+batchDelay)
	stream := n.stream
	m.after(n.sendAt-m.now, func() {
		if n.stream != stream {
			return
		}
		n.sendAt, n.lastSent = 0, m.now
		if n.leader == nil {
			m.search(n)
			return
		}
		m.sendTo(n, n.leader)
	})
}

func (m *model) sendTo(n *node, l *leader) {
	at, asks := n.cache.Asks(m.now)
	m.messages++
	if n.unheard == 0 {
		n.unheard = m.now
		stream := n.stream
		m.watch(n, stream)
	}
	stream := n.stream
	m.after(delay, func() {
		answer := func() {
			grants, ok := l.allocator.Draw(m.now, n.id, asks)
			if !ok {
				return
			}
			m.after(delay, func() {
				if n.stream == stream && !n.down {
					m.answered(n, at, grants)
				}
			})
		}
		if l.frozen {
			l.waiting = append(l.waiting, answer)
			return
		}
		answer()
	})
}

// watch ends the stream of a node that has no answer within answerLimit.
func (m *model) watch(n *node, stream int) {
	m.after(answerLimit, func() {
		switch {
		case n.stream != stream || n.unheard == 0:
		case m.now-n.unheard < answerLimit:
			m.watch(n, stream)
		default:
			n.endStream()
			n.cache.SetLost(true)
			m.search(n)
		}
	})
}

func (n *node) endStream() {
	n.stream++
	n.sendAt, n.unheard, n.leader = 0, 0, nil
	n.cache.Reset()
}

// search makes a node ask for the leader until it finds one.
func (m *model) search(n *node) {
	n.searching = true
	if n.down {
		return
	}
	m.after(2*delay, func() {
		if l := m.leader; l != nil && !l.frozen && n.leader == nil {
			n.leader, n.searching = l, false
			n.stream++
			m.sendTo(n, l)
			return
		}
		if n.leader == nil {
			m.after(100*time.Millisecond, func() { m.search(n) })
		}
	})
}

func (m *model) answered(n *node, at time.Duration, grants []quota.Grant) {
	n.unheard = 0
	n.cache.SetLost(false)
	for _, t := range n.cache.Settle(m.now, at, grants) {
		if name, still := n.waiting[t]; still {
			delete(n.waiting, t)
			m.settled(name, t)
			if t.Verdict == quota.OverQuota && m.load[name] > 1 {
				m.late++
			}
		}
	}
	m.send(n)
}

// restart replaces the process of a node. Its tokens are lost.
func (m *model) restart(n *node, in time.Duration) {
	n.down = true
	n.endStream()
	m.after(in, func() {
		n.down, n.searching = false, false
		n.cache, n.waiting = quota.NewCache(), map[*quota.Ticket]string{}
	})
}

// lower changes the limit of an account. The bound holds for the new limit a window later.
func (m *model) lower(name string, factor float64) {
	next := map[string]quota.Limit{}
	for n, l := range m.limits {
		if n == name {
			m.load[name] /= factor // the callers go on as before
			l = quota.Limit{Rate: l.Rate * factor, Burst: l.Burst * factor, Window: l.Window}
		}
		next[n] = l
	}
	m.limits = next
	m.loose[name] = m.now
	if m.leader != nil {
		m.leader.allocator.SetLimits(m.now, next)
	}
	for _, n := range m.nodes {
		n.cache.DropStandby() // the configuration is in force there
	}
}

// checkBound fails the test if an account exceeds its bound in any window.
func (m *model) checkBound() {
	m.t.Helper()
	for _, name := range m.names {
		limit := m.limits[name]
		bound := (limit.Rate*window.Seconds()+limit.Burst)*1.1 + 20
		runs := m.accounts[name].runs
		if since, lowered := m.loose[name]; lowered {
			i, _ := slices.BinarySearch(runs, since)
			runs = runs[i:]
		}
		first := 0
		for i, at := range runs {
			for at-runs[first] > window {
				first++
			}
			if n := i - first + 1; float64(n) > bound {
				m.t.Fatalf("%s: %d requests within %s, the bound is %.1f", name, n, window, bound)
			}
		}
	}
}

// checkServed fails the test if an account above its limit has got less than the limit in a window, the
// first one after the start of the load apart.
func (m *model) checkServed(name string) {
	m.t.Helper()
	limit, runs := m.limits[name], m.accounts[name].runs
	want := limit.Rate*window.Seconds() + limit.Burst
	for end := m.loadAt + 2*window; end < m.now; end += window / 4 {
		first, _ := slices.BinarySearch(runs, end-window)
		last, _ := slices.BinarySearch(runs, end)
		if float64(last-first) < want-1 {
			m.t.Fatalf("%s: %d requests in the window before %s, the limit is %.1f", name, last-first, end, want)
		}
	}
}

// shortfall returns the part of the requests within quota that were refused: what one bucket for all nodes
// would have let through.
func (m *model) shortfall() float64 {
	ideal, missing := 0, 0
	for _, name := range m.names {
		a := m.accounts[name]
		ideal += a.idealRuns
		missing += max(0, a.idealRuns-len(a.runs))
	}
	return float64(missing) / float64(ideal)
}

func (m *model) describe() string {
	asked, noQuota := 0, 0
	for _, a := range m.accounts {
		asked, noQuota = asked+a.asked, noQuota+a.noQuota
	}
	for _, n := range m.nodes {
		m.standby += int(n.cache.Counts().Standby)
	}
	return fmt.Sprintf("asked=%d run=%d noquota=%d standby=%d excess=%d late=%d messages=%d cached=%d waited=%d shortfall=%.5f",
		asked, m.totalRuns(), noQuota, m.standby, m.refused, m.late, m.messages, m.cached, m.waited, m.shortfall())
}
