package quorum

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/state/storage"
	"github.com/mulberrylink/mulberrylink/state/storage/storagetest"
)

const (
	stepsPerSeed  = 2500
	maxFaultSeeds = 200
	defaultSteps  = 20_000
	// opsPerKey is the number of operations on one register. It bounds the history that the
	// linearizability check searches.
	opsPerKey = 24
	// meanStepsPerFault is the mean number of steps between two faults.
	meanStepsPerFault = 30
	// recoveryTimeout is the simulated time within which a group must commit again after the last
	// fault has ended.
	recoveryTimeout = 30 * time.Second
)

// simulation is a deterministic simulation of a group of hosts with a simulated clock, network and
// disks. One random source drives it, so that a seed and a size reproduce a run.
type simulation struct {
	rand           *rand.Rand
	size           int
	initialMembers []Member
	now            time.Duration
	nodes          []*simNode
	messages       []delivery
	blockedLinks   map[[2]int]bool
	faults         faultInjection
	err            error
	termLeaders    map[uint64]uint64 // term to leader
	logHashes      map[uint64]uint64 // index to hash
	maxApplied     uint64            // highest index applied on any host
	maxAppliedTerm uint64            // highest term of a committed and applied entry

	openOps         []*op
	opCount         int
	opClock         int64
	history         []porcupine.Operation
	faultFree       bool // inject no faults and lose no messages
	manualRepair    bool // the test acts as the operator, repair isn't called
	committedWrites int
	eventCounts     map[string]int

	reuseIdentity bool // a wiped host keeps its identity, which the checks must detect
	slowSyncs     bool // some syncs take up to 4 s; this makes rare violations rarer
	// The election timeouts of hosts that are started, the defaults if 0.
	electionTimeoutMin, electionTimeoutMax, firstElectionTimeout time.Duration

	ordered            bool // links deliver in order, as connections do
	minDelay, maxDelay time.Duration
	lastDelivery       map[[2]int]time.Duration
	quota              quota
}

// delivery is a message in transit between two hosts.
type delivery struct {
	deliverAt time.Duration
	to        int
	from      int
	message   Message
}

func newSimulation(seed uint64, size int, faults faultInjection) *simulation {
	s := &simulation{
		rand: rand.New(rand.NewPCG(seed, uint64(size))), size: size, faults: faults, blockedLinks: map[[2]int]bool{},
		termLeaders: map[uint64]uint64{}, logHashes: map[uint64]uint64{}, eventCounts: map[string]int{},
	}
	for i := range size {
		s.initialMembers = append(s.initialMembers, Member{ID: uint64(i + 1), Addr: strconv.Itoa(i)})
	}
	members, err := encodeMembers(s.initialMembers)
	if err != nil {
		panic(err)
	}
	for i, m := range s.initialMembers {
		n := &simNode{sim: s, index: i, addr: m.Addr, disk: storagetest.New(seed*100 + uint64(i))}
		s.nodes = append(s.nodes, n)
		if err := formatStore(n.disk, storage.Hard{ID: m.ID, Initial: members}); err != nil {
			panic(err)
		}
		if err := n.start(); err != nil {
			panic(err)
		}
	}
	return s
}

func (s *simulation) fail(format string, args ...any) {
	if s.err == nil {
		s.err = errors.Newf(format, args...)
	}
}

// checkLogHash compares the hash of the entries applied up to an index with that of other members.
func (s *simulation) checkLogHash(r *registers) {
	hash, ok := s.logHashes[r.Index]
	if ok && hash != r.Chain {
		s.fail("members disagree on the entries up to %d", r.Index)
	}
	s.logHashes[r.Index] = r.Chain
	s.maxApplied = max(s.maxApplied, r.Index)
}

// checkLeader checks that a term has at most one leader, that a new leader holds all committed
// entries, and that no leader stays leader without a majority.
func (s *simulation) checkLeader(n *simNode) {
	c := n.host.core
	if t, ok := c.log.term(min(c.commit, n.host.applied)); ok {
		s.maxAppliedTerm = max(s.maxAppliedTerm, t)
	}
	if !n.leads() {
		n.wasLeader = false
		return
	}
	if id, ok := s.termLeaders[c.term()]; ok && id != c.id {
		s.fail("term %d has two leaders, %d and %d", c.term(), id, c.id)
	}
	s.termLeaders[c.term()] = c.id
	if !n.wasLeader {
		n.wasLeader, n.leaderSince = true, s.now
		s.eventCounts["elections"]++
		if c.term() > s.maxAppliedTerm && c.log.last() < s.maxApplied {
			s.fail("the log of the leader of term %d ends at %d, but %d was committed", c.term(), c.log.last(), s.maxApplied)
		}
	}
	oldest := s.now - 2*defaultElectionTimeoutMax
	if n.leaderSince > oldest {
		return
	}
	active := c.quorumValue(func(id uint64) uint64 {
		if at, ok := n.lastHeard[id]; id == c.id || ok && at > oldest {
			return 1
		}
		return 0
	})
	if active == 0 {
		s.fail("leader of term %d received no messages from a majority for two election timeouts", c.term())
	}
}

func (s *simulation) send(from *simNode, m Message) {
	to, err := strconv.Atoi(m.ToAddr)
	if err != nil || s.blockedLinks[[2]int{from.index, to}] {
		return
	}
	if !s.faultFree && s.rand.IntN(50) == 0 {
		return // lost
	}
	delay := time.Duration(s.rand.IntN(10)) * time.Millisecond
	if !s.faultFree && s.rand.IntN(100) == 0 {
		delay = time.Duration(s.rand.IntN(3000)) * time.Millisecond
	}
	if s.ordered {
		delay = s.orderedDelay([2]int{from.index, to})
	}
	s.messages = append(s.messages, delivery{deliverAt: s.now + delay, from: from.index, to: to, message: m})
	if !s.faultFree && s.rand.IntN(50) == 0 {
		s.messages = append(s.messages, delivery{deliverAt: s.now + 2*delay, from: from.index, to: to, message: m})
	}
}

func (s *simulation) deliver() {
	var due []delivery
	s.messages = slices.DeleteFunc(s.messages, func(d delivery) bool {
		if n := s.nodes[d.to]; d.deliverAt <= s.now && (n.runs() || !n.up) {
			due = append(due, d)
			return true
		}
		return false
	})
	if !s.ordered {
		s.rand.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	}
	for _, d := range due {
		if n := s.nodes[d.to]; n.up && !s.blockedLinks[[2]int{d.from, d.to}] {
			n.receive(d.message)
		}
	}
}

func (s *simulation) step() {
	s.now += time.Duration(1+s.rand.IntN(40)) * time.Millisecond
	s.deliver()
	for _, n := range s.nodes {
		n.advance()
	}
	s.pollOps()
	if len(s.openOps) < 4 && s.rand.IntN(3) == 0 {
		s.startOp()
	}
	if s.rand.IntN(10) == 0 && !s.manualRepair {
		s.repair()
	}
	if !s.faultFree && s.rand.IntN(meanStepsPerFault) == 0 {
		s.injectFault()
	}
}

// injectFault starts or ends one random fault.
func (s *simulation) injectFault() {
	n := s.nodes[s.rand.IntN(len(s.nodes))]
	switch k := s.rand.IntN(20); {
	case k < 4 && n.up:
		s.eventCounts["kills"]++
		n.stop(s.rand.IntN(2) == 0)
	case k < 9 && !n.up:
		s.restart(n)
	case k < 11:
		s.eventCounts["blocked links"]++
		s.blockedLinks[[2]int{n.index, s.rand.IntN(s.size)}] = true
	case k < 12:
		s.eventCounts["isolations"]++
		if i := slices.IndexFunc(s.nodes, (*simNode).leads); i >= 0 && s.rand.IntN(4) > 0 {
			n = s.nodes[i]
		}
		for i := range s.size {
			s.blockedLinks[[2]int{n.index, i}], s.blockedLinks[[2]int{i, n.index}] = true, true
		}
	case k < 15:
		clear(s.blockedLinks)
	case k < 16:
		s.eventCounts["clock jumps"]++
		jump := time.Duration(s.rand.IntN(8000)-4000) * time.Millisecond
		n.clockSkew += jump
		if jump < 0 {
			n.leaderSince = s.now
		}
	case k < 17 && n.up && s.rand.IntN(2) == 0:
		s.eventCounts["disk errors"]++
		if s.rand.IntN(2) == 0 {
			n.disk.Fail = errors.New("input/output error")
		} else {
			n.disk.Space = s.rand.IntN(600)
		}
	case k < 18 && n.up && n.host.failure != nil && s.rand.IntN(2) == 0:
		s.eventCounts["disk recoveries"]++
		n.disk.Space, n.disk.Fail = -1, nil
	case k < 18 && n.up && n.host.failure != nil:
		s.eventCounts["kills during a disk error"]++
		n.stop(s.rand.IntN(2) == 0)
	case k < 18 && s.survivesDiskLoss(n):
		s.eventCounts["wipes"]++
		if n.up {
			n.stop(true)
		}
		n.wipe()
		s.restart(n)
	case k < 19 && s.rand.IntN(3) == 0:
		s.eventCounts["power failures"]++
		for _, n := range s.nodes {
			if n.up {
				n.stop(true)
			}
			s.restart(n)
		}
	case k < 19 && n.up && s.survivesDiskLoss(n) && n.batch == nil && n.host.failure == nil:
		s.eventCounts["flipped bytes"]++
		n.stop(false)
		if err := n.checkCorruption(); err != nil {
			s.fail("%v", err)
		}
		s.restart(n)
	case n.leads():
		s.eventCounts["transfers"]++
		n.host.core.transferLeadership()
		n.flush()
	}
}

// restart starts a stopped host, with an empty disk if its data is damaged and the group survives
// the loss.
func (s *simulation) restart(n *simNode) {
	err := n.start()
	if errors.Is(err, storage.ErrDamaged) && (s.survivesDiskLoss(n) || s.reuseIdentity) {
		n.wipe()
		err = n.start()
	}
	if err != nil {
		s.fail("restart of %s: %v", n.addr, err)
	}
}

// pollOps moves the operations that have ended from openOps to the history.
func (s *simulation) pollOps() {
	s.openOps = slices.DeleteFunc(s.openOps, func(o *op) bool {
		done, ok, unknown := o.poll(s.now)
		if !done {
			return false
		}
		s.opClock++
		h := porcupine.Operation{ClientId: len(s.history), Input: *o, Call: o.call, Output: o.value, Return: s.opClock}
		switch {
		case ok:
			s.history = append(s.history, h)
			if o.write {
				s.committedWrites++
			}
		case unknown:
			h.Return = math.MaxInt64
			s.history = append(s.history, h)
		}
		return true
	})
}

// checkRecovery ends all faults and checks that the group commits again.
func (s *simulation) checkRecovery() {
	s.faultFree = true
	clear(s.blockedLinks)
	for _, n := range s.nodes {
		n.disk.Space, n.disk.Fail = -1, nil
		if n.up && n.host.failure != nil && s.rand.IntN(2) == 0 {
			n.stop(false)
		}
		if !n.up {
			s.restart(n)
		}
	}
	before := s.committedWrites
	for end := s.now + recoveryTimeout; s.now < end && s.err == nil && s.committedWrites < before+20; {
		s.step()
	}
	if s.committedWrites < before+20 {
		s.fail("the group did not recover within %v", recoveryTimeout)
	}
}

func (s *simulation) run(steps int) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.Newf("panic: %v", r)
		}
	}()
	for i := 0; i < steps && s.err == nil; i++ {
		s.step()
	}
	if s.err == nil {
		s.checkRecovery()
	}
	if s.err == nil {
		got := porcupine.CheckOperationsTimeout(registerModel(), s.history, time.Minute)
		if got != porcupine.Ok {
			s.fail("linearizability check of the client history: %v", got)
		}
	}
	return s.err
}

// registerModel returns the sequential model of an independent register for each key.
func registerModel() porcupine.Model {
	return porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			parts := map[string][]porcupine.Operation{}
			for _, o := range history {
				parts[o.Input.(op).key] = append(parts[o.Input.(op).key], o)
			}
			var out [][]porcupine.Operation
			for _, p := range parts {
				out = append(out, p)
			}
			return out
		},
		Init: func() any { return "" },
		Step: func(state, input, output any) (bool, any) {
			if o := input.(op); o.write {
				return true, o.value
			}
			return output.(string) == state.(string), state
		},
	}
}

// Guards against two leaders in a term, lost or changed committed entries, members that apply
// different sequences, stale reads, leaders without a majority, and groups that don't recover.
// MULBERRY_FUZZ_STEPS sets the number of steps and MULBERRY_FUZZ_SEED the first seed.
func TestFuzzGroup(t *testing.T) {
	steps, seed := envInt("MULBERRY_FUZZ_STEPS", defaultSteps), envInt("MULBERRY_FUZZ_SEED", 1)
	total, writes, counts := 0, 0, map[string]int{}
	for ; total < steps; seed++ {
		size := 3 + 2*(seed%2)
		s := newSimulation(uint64(seed), size, faultInjection{})
		s.slowSyncs = true
		if err := s.run(stepsPerSeed); err != nil {
			t.Fatalf("seed %d size %d at %v: %v", seed, size, s.now, err)
		}
		total += stepsPerSeed
		writes += s.committedWrites
		for k, v := range s.eventCounts {
			counts[k] += v
		}
	}
	t.Logf("steps=%d committed=%d %v", total, writes, fmt.Sprint(counts))
}

// Guards against a simulation that can't detect violations: with one safety mechanism disabled it
// must find one.
func TestFuzzFindsFaults(t *testing.T) {
	tests := []struct {
		name          string
		faults        faultInjection
		reuseIdentity bool
		firstSeed     uint64            // for rare violations: shortly before a seed known to find one
		script        func(*simulation) // for violations that random faults do not find: steps before them
	}{
		{name: "messages before sync", faults: faultInjection{sendBeforeSync: true}, firstSeed: 300},
		{name: "wiped host keeps its identity", reuseIdentity: true},
		{name: "no check-quorum", faults: faultInjection{noCheckQuorum: true}},
		{name: "reads without confirmation", faults: faultInjection{noReadConfirmation: true}},
		{name: "second vote in a term", faults: faultInjection{doubleVote: true}},
		{name: "votes without log comparison", faults: faultInjection{noLogCheck: true}},
		{name: "several membership changes at a time", faults: faultInjection{unsafeMemberChanges: true}, script: (*simulation).removeSeveral},
		{name: "new voters of a replacement decide alone", faults: faultInjection{newVotersOnly: true}, script: (*simulation).replaceAcrossCut},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for i := range uint64(maxFaultSeeds) {
				seed := tt.firstSeed + i + 1
				s := newSimulation(seed, 3+2*int(seed%2), tt.faults)
				s.reuseIdentity = tt.reuseIdentity
				if tt.script != nil {
					tt.script(s)
				}
				if err := s.run(stepsPerSeed); err != nil {
					t.Logf("seed %d size %d: %v", seed, s.size, err)
					return
				}
			}
			t.Errorf("no violation found in %d seeds", maxFaultSeeds)
		})
	}
}
