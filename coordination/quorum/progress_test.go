package quorum

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// recovered is the time after the end of all trouble within which the group must commit and read:
	// the recovery time of the users' deployments.
	recovered = 6 * time.Second
	// contactTime is the time after the last loss of hosts within which the others must commit and read
	// while they are a majority.
	contactTime = 4 * time.Second
	// roundsPerSeries is the number of rounds of trouble in a series.
	roundsPerSeries = 4
	// troubleTime bounds the time within which the troubles of a round start, and how long one lasts.
	troubleTime = 5 * time.Second
)

// series is a simulation with random trouble within what a deployment bears: never more lost disks at
// a time than the group tolerates. A disk counts as lost until its successor has run for wholeAgain
// without other trouble.
type series struct {
	*replacement
	events    []event
	losses    []time.Duration // until when each lost disk counts; 0 while its successor has not started
	troubled  map[*simNode]bool
	recent    []time.Duration // until when hosts count as lost whose trouble has ended
	calmSince time.Duration
}

// event is a step of a trouble.
type event struct {
	at time.Duration
	do func()
}

func newSeries(seed uint64, size int) *series {
	r := newReplacement(seed, size)
	r.ordered, r.lastDelivery = true, map[[2]int]time.Duration{}
	r.minDelay, r.maxDelay = 0, 10*time.Millisecond
	r.firstElectionTimeout = 150 * time.Millisecond
	for _, n := range r.nodes {
		n.stop(false)
		r.restart(n)
	}
	return &series{replacement: r, troubled: map[*simNode]bool{}}
}

func (s *series) after(d time.Duration, do func()) { s.events = append(s.events, event{s.now + d, do}) }

func (s *series) within(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rand.Int64N(int64(high-low)))
}

// runFor steps the simulation and carries out the events that are due.
func (s *series) runFor(d time.Duration) {
	for end := s.now + d; s.now < end && s.err == nil; s.step() {
		for {
			i := slices.IndexFunc(s.events, func(e event) bool { return e.at <= s.now })
			if i < 0 {
				break
			}
			e := s.events[i]
			s.events = slices.Delete(s.events, i, i+1)
			e.do()
		}
	}
}

// lostDisks counts the disks that count as lost.
func (s *series) lostDisks() int {
	s.losses = slices.DeleteFunc(s.losses, func(until time.Duration) bool {
		return until != 0 && s.now >= max(until, s.calmSince+wholeAgain) && len(s.troubled) == 0
	})
	return len(s.losses)
}

func (s *series) mayLoseDisk() bool { return s.lostDisks() < s.size/2 }

// trouble marks hosts as troubled for d and then calls end.
func (s *series) trouble(d time.Duration, end func(), hosts ...*simNode) {
	for _, n := range hosts {
		s.troubled[n] = true
	}
	s.after(d, func() {
		end()
		for _, n := range hosts {
			delete(s.troubled, n)
			s.recent = append(s.recent, s.now+wholeAgain)
		}
		s.calmSince = s.now
	})
}

// loseDisk stops a host and starts its successor after d, at its own address or at another one.
func (s *series) loseDisk(n *simNode, d time.Duration, sameAddr bool) {
	s.losses = append(s.losses, 0)
	if sameAddr {
		n.stop(true)
		n.wipe()
		s.trouble(d, func() { s.restart(n); s.successorStarted() }, n)
		return
	}
	start := s.replace(n)
	s.trouble(d, func() { start(); s.successorStarted() }, n)
}

// successorStarted starts the time limit of a lost disk.
func (s *series) successorStarted() {
	i := slices.Index(s.losses, 0)
	s.losses[i] = s.now + wholeAgain
}

// begin starts one random trouble. With single set, at most half of the hosts are in trouble at a time.
func (s *series) begin(single bool) {
	calm := slices.DeleteFunc(s.running(), func(n *simNode) bool { return s.troubled[n] })
	s.recent = slices.DeleteFunc(s.recent, func(until time.Duration) bool { return s.now >= until })
	if len(calm) == 0 {
		return
	}
	if single && len(s.troubled)+len(s.recent) >= s.size/2 {
		return
	}
	n := calm[s.rand.IntN(len(calm))]
	if i := slices.IndexFunc(calm, (*simNode).leads); i >= 0 && s.rand.IntN(3) == 0 {
		n = calm[i]
	}
	length := s.within(200*time.Millisecond, troubleTime)
	kind := s.rand.IntN(14)
	s.note("trouble %d at %s for %v (leader %v)", kind, n.addr, length, n.leads())
	switch {
	case kind == 0:
		n.stop(false)
		s.trouble(s.within(100*time.Millisecond, 1500*time.Millisecond), func() { s.restart(n) }, n)
	case kind == 1:
		n.stop(true)
		s.trouble(length, func() { s.restart(n) }, n)
	case kind == 2 && s.mayLoseDisk():
		s.loseDisk(n, s.within(200*time.Millisecond, 2*time.Second), true)
	case kind == 3 && s.mayLoseDisk():
		s.loseDisk(n, time.Second, false)
	case kind == 4 && s.mayLoseDisk():
		s.replaceAsPlanned(n)
	case kind == 5:
		n.stalledUntil = s.now + length
		if n.batch != nil {
			n.syncDoneAt = max(n.syncDoneAt, n.stalledUntil)
		}
		s.trouble(length, func() {}, n)
	case kind == 6:
		n.disk.Fail = errors.New("no space left on device")
		s.trouble(length, func() { n.disk.Fail = nil }, n)
	case kind == 7:
		n.pausedUntil = s.now + length
		s.trouble(length, func() {}, n)
	case kind == 8:
		s.cut(length, func(from, to *simNode) bool { return from == n || to == n }, n)
	case kind == 9:
		outgoing := s.rand.IntN(2) == 0
		s.cut(length, func(from, to *simNode) bool { return outgoing && from == n || !outgoing && to == n }, n)
	case single:
	case kind == 10:
		s.allDown()
	case kind == 11:
		s.minDelay, s.maxDelay = 50*time.Millisecond, 300*time.Millisecond
		s.trouble(length, func() { s.minDelay, s.maxDelay = 0, 10*time.Millisecond })
	case kind == 12:
		period := s.within(100*time.Millisecond, time.Second)
		s.quota = quota{period, s.within(period/4, period/2)}
		s.trouble(length, func() { s.quota = quota{} })
	case kind == 13:
		half := map[*simNode]bool{}
		for _, n := range s.nodes {
			half[n] = s.rand.IntN(2) == 0
		}
		s.cut(length, func(from, to *simNode) bool { return half[from] != half[to] })
	}
}

// replaceAsPlanned starts the successor of a host at another address first. The host then transfers
// leadership and stops for good.
func (s *series) replaceAsPlanned(n *simNode) {
	start := s.successor()
	start()
	s.losses = append(s.losses, s.now+wholeAgain)
	s.troubled[n] = true
	s.after(s.within(0, 2*time.Second), func() {
		if n.up {
			n.host.core.transferLeadership()
			n.flush()
		}
	})
	s.trouble(2*time.Second+s.within(0, defaultElectionTimeoutMax), func() {
		if n.up {
			n.stop(false)
		}
	}, n)
}

// allDown ends all hosts, which are back within a second.
func (s *series) allDown() {
	powerLoss := s.rand.IntN(2) == 0
	for _, n := range s.running() {
		if s.troubled[n] {
			continue
		}
		n.stop(powerLoss)
		s.trouble(s.within(100*time.Millisecond, time.Second), func() { s.restart(n) }, n)
	}
}

// cut blocks the links for which blocked returns true.
func (s *series) cut(length time.Duration, blocked func(from, to *simNode) bool, hosts ...*simNode) {
	var links [][2]int
	for _, from := range s.nodes {
		for _, to := range s.nodes {
			link := [2]int{from.index, to.index}
			if blocked(from, to) && !s.blockedLinks[link] {
				s.blockedLinks[link] = true
				links = append(links, link)
			}
		}
	}
	s.trouble(length, func() {
		for _, link := range links {
			delete(s.blockedLinks, link)
		}
	}, hosts...)
}

// round starts random trouble, waits for its end, and checks that the group commits, reads and is
// whole in time.
func (s *series) round() {
	single := s.rand.IntN(2) == 0
	for range 1 + s.rand.IntN(6) {
		s.begin(single)
		s.runFor(s.within(0, troubleTime/2))
	}
	if single {
		s.runFor(contactTime - time.Second)
		s.checkServes("with a majority of calm hosts")
	}
	for len(s.events) > 0 && s.err == nil {
		s.runFor(50 * time.Millisecond)
	}
	s.calmSince = s.now
	s.note("calm")
	s.checkCalm()
}

// checkCalm checks the group after the end of all trouble.
func (s *series) checkCalm() {
	s.runFor(wholeAgain)
	if len(s.losses) > 0 && !s.whole() {
		s.eventCounts["late"]++
		s.note("not whole")
		s.runFor(recovered - wholeAgain - time.Second)
		if !s.whole() {
			s.fail("not whole %v after the last trouble", recovered-time.Second)
		}
	}
	s.losses = nil
	if s.now < s.calmSince+recovered-time.Second {
		s.runFor(s.calmSince + recovered - time.Second - s.now)
	}
	s.checkServes(fmt.Sprintf("%v after the end of all trouble", recovered))
}

// checkServes checks that a write commits and that a read returns it, within a second.
func (s *series) checkServes(when string) {
	end := s.now + time.Second
	s.opCount += opsPerKey // a new register
	key := fmt.Sprint("k", s.opCount/opsPerKey)
	s.opCount += opsPerKey
	var writes []*op
	for value := ""; s.now < end && s.err == nil; s.runFor(time.Millisecond) {
		for _, o := range writes {
			if done, ok, _ := o.poll(s.now); done && ok {
				value = o.value
			}
		}
		leader := slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.runs() && n.leads() && n.host.core.quorumActive() })
		switch {
		case leader < 0:
		case value == "":
			o := &op{node: s.nodes[leader], key: key, write: true, value: "checked", deadline: end}
			o.proposal = &proposal{data: []byte(key + "=" + o.value), done: make(chan struct{})}
			o.node.host.handleProposals(o.proposal)
			o.node.flush()
			writes = append(writes, o)
		case s.reads(s.nodes[leader], key, end):
			return
		}
	}
	s.fail("%s no write or read is served", when)
}

// reads reports whether a host completes a read of key and returns the written value.
func (s *series) reads(n *simNode, key string, end time.Duration) bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	o := &op{node: n, key: key, read: &readRequest{ctx: ctx, done: make(chan bool, 1)}, deadline: end}
	n.host.handleReads(o.read)
	n.flush()
	for s.err == nil {
		if done, ok, _ := o.poll(s.now); done {
			if ok && o.value != "checked" {
				s.fail("a read returned %q in place of the acknowledged value", o.value)
			}
			return ok
		}
		s.runFor(time.Millisecond)
	}
	return false
}

// finalLoss loses the disks that the group tolerates right after an acknowledged write, while all
// others lose power.
func (s *series) finalLoss() {
	for before := s.committedWrites; s.committedWrites == before && s.err == nil; {
		s.runFor(time.Millisecond)
	}
	hosts := s.running()
	s.rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	for i, n := range hosts {
		if i < s.size/2 {
			s.loseDisk(n, s.within(200*time.Millisecond, time.Second), s.rand.IntN(2) == 0)
			continue
		}
		n.stop(true)
		s.trouble(s.within(100*time.Millisecond, time.Second), func() { s.restart(n) }, n)
	}
	for len(s.events) > 0 && s.err == nil {
		s.runFor(50 * time.Millisecond)
	}
	s.calmSince = s.now
	s.note("calm after the final loss")
	s.checkCalm()
}

func runSeries(seed uint64, size int) (s *series, err error) {
	s = newSeries(seed, size)
	defer func() {
		if r := recover(); r != nil {
			err = errors.Newf("panic: %v", r)
		}
	}()
	s.runFor(3 * time.Second)
	for range roundsPerSeries {
		if s.err == nil {
			s.round()
		}
	}
	if s.err == nil {
		s.finalLoss()
	}
	return s, s.err
}

// removedAwayVoter are series in which the removal of a voter that was only away, before its successor
// had its vote, blocked the group for good.
var removedAwayVoter = []int{39, 226, 346}

// Guards against a group that does not get on again after trouble that it must bear.
// MULBERRY_PROGRESS_SERIES sets the number of series and MULBERRY_FUZZ_SEED the first seed.
func TestGroupMakesProgress(t *testing.T) {
	first := envInt("MULBERRY_FUZZ_SEED", 0)
	count, failed, counts := envInt("MULBERRY_PROGRESS_SERIES", 12), 0, map[string]int{}
	var seeds []int
	for seed := max(first, 1); seed < max(first, 1)+count; seed++ {
		seeds = append(seeds, seed)
	}
	if first == 0 {
		seeds = append(seeds, removedAwayVoter...)
	}
	for _, seed := range seeds {
		s, err := runSeries(uint64(seed), []int{5, 3, 7}[seed%3])
		for k, v := range s.eventCounts {
			counts[k] += v
		}
		if err == nil {
			continue
		}
		if failed++; failed > 1 {
			t.Errorf("seed %d size %d at %v: %v", seed, s.size, s.now, err)
			continue
		}
		t.Errorf("seed %d size %d at %v: %v\n%s", seed, s.size, s.now, err, strings.Join(s.journal, "\n"))
		for _, n := range s.running() {
			c := n.host.core
			t.Logf("%s: %016x %s leader %016x term %d commit %d last %d members %v", n.addr, c.id, c.role, c.leader, c.term(), c.commit, c.log.last(), c.members())
		}
	}
	t.Logf("series=%d failed=%d %v", len(seeds), failed, counts)
}
