package quorum

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
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
	stepsPerSeed = 2500
	faultSeeds   = 200
	defaultSteps = 20_000
	// opsPerKey bounds the history of one register for the linearizability check.
	opsPerKey = 24
	// faultEvery is the mean number of steps between two faults.
	faultEvery = 30
	// settleTime is how long a healed group may take to commit.
	settleTime = 30 * time.Second
)

// world is a group of hosts with a fake clock, network and disk, driven by one
// random source.
type world struct {
	rand    *rand.Rand
	size    int
	first   []Member
	now     time.Duration
	nodes   []*simNode
	mail    []letter
	cut     map[[2]int]bool
	hooks   hooks
	err     error
	terms   map[uint64]uint64 // term to leader
	chains  map[uint64]uint64 // index to hash
	maxDone uint64            // highest index applied anywhere
	maxTerm uint64            // term of that entry

	ops     []*op
	opCount int
	clock   int64
	history []porcupine.Operation
	calm    bool // no more faults
	manual  bool // the test repairs
	done    int  // writes that were committed
	counts  map[string]int

	keepIdentity bool // a wiped host keeps its identity: must be found
	slowSyncs    bool // some syncs take seconds; makes rare violations rarer
}

type letter struct {
	at   time.Duration
	to   int
	from int
	m    Message
}

func newWorld(seed uint64, size int, h hooks) *world {
	w := &world{
		rand: rand.New(rand.NewPCG(seed, uint64(size))), size: size, hooks: h, cut: map[[2]int]bool{},
		terms: map[uint64]uint64{}, chains: map[uint64]uint64{}, counts: map[string]int{},
	}
	for i := range size {
		w.first = append(w.first, Member{ID: uint64(i + 1), Addr: strconv.Itoa(i)})
	}
	members, err := encodeMembers(w.first)
	if err != nil {
		panic(err)
	}
	for i, m := range w.first {
		n := &simNode{world: w, slot: i, addr: m.Addr, disk: storagetest.New(seed*100 + uint64(i))}
		w.nodes = append(w.nodes, n)
		if err := format(n.disk, storage.Hard{ID: m.ID, Initial: members}); err != nil {
			panic(err)
		}
		if err := n.start(); err != nil {
			panic(err)
		}
	}
	return w
}

func (w *world) fail(format string, args ...any) {
	if w.err == nil {
		w.err = errors.Newf(format, args...)
	}
}

// checkChain compares what was applied up to an index with other members.
func (w *world) checkChain(r *registers) {
	old, ok := w.chains[r.Index]
	if ok && old != r.Chain {
		w.fail("members disagree on the entries up to %d", r.Index)
	}
	w.chains[r.Index] = r.Chain
	w.maxDone = max(w.maxDone, r.Index)
}

// checkLeader checks that a term has one leader, that a new leader has what
// was committed, and that no leader stays without a majority.
func (w *world) checkLeader(n *simNode) {
	c := n.host.core
	if t, ok := c.log.term(min(c.commit, n.host.applied)); ok {
		w.maxTerm = max(w.maxTerm, t)
	}
	if !n.leads() {
		n.lead = false
		return
	}
	if id, ok := w.terms[c.term()]; ok && id != c.id {
		w.fail("term %d has two leaders, %d and %d", c.term(), id, c.id)
	}
	w.terms[c.term()] = c.id
	if !n.lead {
		n.lead, n.ledFrom = true, w.now
		w.counts["elections"]++
		if c.term() > w.maxTerm && c.log.last() < w.maxDone {
			w.fail("leader of term %d ends at %d, %d was committed", c.term(), c.log.last(), w.maxDone)
		}
	}
	limit := w.now - 2*defaultElectionMax
	if n.ledFrom > limit {
		return
	}
	fresh := c.quorumValue(func(id uint64) uint64 {
		if at, ok := n.heard[id]; id == c.id || ok && at > limit {
			return 1
		}
		return 0
	})
	if fresh == 0 {
		w.fail("leader of term %d heard no majority for two election timeouts", c.term())
	}
}

func (w *world) send(n *simNode, m Message) {
	to, err := strconv.Atoi(m.ToAddr)
	if err != nil || w.cut[[2]int{n.slot, to}] {
		return
	}
	if !w.calm && w.rand.IntN(50) == 0 {
		return // lost
	}
	delay := time.Duration(w.rand.IntN(10)) * time.Millisecond
	if !w.calm && w.rand.IntN(100) == 0 {
		delay = time.Duration(w.rand.IntN(3000)) * time.Millisecond
	}
	w.mail = append(w.mail, letter{at: w.now + delay, from: n.slot, to: to, m: m})
	if !w.calm && w.rand.IntN(50) == 0 {
		w.mail = append(w.mail, letter{at: w.now + 2*delay, from: n.slot, to: to, m: m})
	}
}

func (w *world) deliver() {
	var due []letter
	w.mail = slices.DeleteFunc(w.mail, func(l letter) bool {
		if l.at <= w.now {
			due = append(due, l)
			return true
		}
		return false
	})
	w.rand.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, l := range due {
		if n := w.nodes[l.to]; n.up && !w.cut[[2]int{l.from, l.to}] {
			n.receive(l.m)
		}
	}
}

func (w *world) step() {
	w.now += time.Duration(1+w.rand.IntN(40)) * time.Millisecond
	w.deliver()
	for _, n := range w.nodes {
		n.work()
	}
	w.pollOps()
	if len(w.ops) < 4 && w.rand.IntN(3) == 0 {
		w.startOp()
	}
	if w.rand.IntN(10) == 0 && !w.manual {
		w.repair()
	}
	if !w.calm && w.rand.IntN(faultEvery) == 0 {
		w.fault()
	}
}

// fault injects or ends one fault.
func (w *world) fault() {
	n := w.nodes[w.rand.IntN(len(w.nodes))]
	switch k := w.rand.IntN(20); {
	case k < 4 && n.up:
		w.counts["kills"]++
		n.stop(w.rand.IntN(2) == 0)
	case k < 9 && !n.up:
		w.restart(n)
	case k < 11:
		w.counts["cuts"]++
		w.cut[[2]int{n.slot, w.rand.IntN(w.size)}] = true
	case k < 12:
		w.counts["isolations"]++
		if i := slices.IndexFunc(w.nodes, (*simNode).leads); i >= 0 && w.rand.IntN(4) > 0 {
			n = w.nodes[i]
		}
		for i := range w.size {
			w.cut[[2]int{n.slot, i}], w.cut[[2]int{i, n.slot}] = true, true
		}
	case k < 15:
		clear(w.cut)
	case k < 16:
		w.counts["clock jumps"]++
		jump := time.Duration(w.rand.IntN(8000)-4000) * time.Millisecond
		n.skew += jump
		if jump < 0 {
			n.ledFrom = w.now
		}
	case k < 17 && n.up && w.rand.IntN(2) == 0:
		w.counts["disk errors"]++
		if w.rand.IntN(2) == 0 {
			n.disk.Fail = errors.New("input/output error")
		} else {
			n.disk.Space = w.rand.IntN(600)
		}
	case k < 18 && w.mayLose(n):
		w.counts["wipes"]++
		if n.up {
			n.stop(true)
		}
		n.wipe()
		w.restart(n)
	case k < 19 && w.rand.IntN(3) == 0:
		w.counts["blackouts"]++
		for _, n := range w.nodes {
			if n.up {
				n.stop(true)
			}
			w.restart(n)
		}
	case k < 19 && n.up && w.mayLose(n) && n.batch == nil && n.host.failed == nil:
		w.counts["flips"]++
		n.stop(false)
		if err := n.checkFlip(); err != nil {
			w.fail("%v", err)
		}
		w.restart(n)
	case n.leads():
		w.counts["transfers"]++
		n.host.core.transfer()
		n.flush()
	}
}

func (w *world) restart(n *simNode) {
	err := n.start()
	if errors.Is(err, storage.ErrDamaged) && (w.mayLose(n) || w.keepIdentity) {
		n.wipe()
		err = n.start()
	}
	if err != nil {
		w.fail("restart of %s: %v", n.addr, err)
	}
}

func (w *world) pollOps() {
	w.ops = slices.DeleteFunc(w.ops, func(o *op) bool {
		done, ok, unknown := o.poll(w.now)
		if !done {
			return false
		}
		w.clock++
		h := porcupine.Operation{ClientId: len(w.history), Input: *o, Call: o.call, Output: o.value, Return: w.clock}
		switch {
		case ok:
			w.history = append(w.history, h)
			if o.write {
				w.done++
			}
		case unknown:
			h.Return = math.MaxInt64
			w.history = append(w.history, h)
		}
		return true
	})
}

// settle ends all faults and checks that the group recovers.
func (w *world) settle() {
	w.calm = true
	clear(w.cut)
	for _, n := range w.nodes {
		n.disk.Space, n.disk.Fail = -1, nil
		if n.up && n.host.failed != nil {
			n.stop(false)
		}
		if !n.up {
			w.restart(n)
		}
	}
	before := w.done
	for end := w.now + settleTime; w.now < end && w.err == nil && w.done < before+20; {
		w.step()
	}
	if w.done < before+20 {
		w.fail("the group did not recover within %v", settleTime)
	}
}

func (w *world) run(steps int) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.Newf("panic: %v", r)
		}
	}()
	for i := 0; i < steps && w.err == nil; i++ {
		w.step()
	}
	if w.err == nil {
		w.settle()
	}
	if w.err == nil {
		got := porcupine.CheckOperationsTimeout(registerModel(), w.history, time.Minute)
		if got != porcupine.Ok {
			w.fail("linearizability of the clients' history: %v", got)
		}
	}
	return w.err
}

// registerModel is a plain register for each key.
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

// Guards against two leaders in a term, lost or changed committed entries,
// applied sequences that differ, reads of old values, leaders without a
// majority, and groups that do not recover. MULBERRY_FUZZ_STEPS sets the number
// of steps and MULBERRY_FUZZ_SEED the first seed.
func TestFuzzGroup(t *testing.T) {
	steps, seed := envInt("MULBERRY_FUZZ_STEPS", defaultSteps), envInt("MULBERRY_FUZZ_SEED", 1)
	total, writes, counts := 0, 0, map[string]int{}
	for ; total < steps; seed++ {
		size := 3 + 2*(seed%2)
		w := newWorld(uint64(seed), size, hooks{})
		w.slowSyncs = true
		if err := w.run(stepsPerSeed); err != nil {
			t.Fatalf("seed %d size %d at %v: %v", seed, size, w.now, err)
		}
		total += stepsPerSeed
		writes += w.done
		for k, v := range w.counts {
			counts[k] += v
		}
	}
	t.Logf("steps=%d committed=%d %v", total, writes, fmt.Sprint(counts))
}

// Guards against a fuzz that cannot fail: with one mechanism switched off it
// must find a violation.
func TestFuzzFindsFaults(t *testing.T) {
	tests := []struct {
		name  string
		hooks hooks
		wiped bool
		first uint64 // rare faults start near a seed that is known to find them
	}{
		{name: "messages before sync", hooks: hooks{earlySend: true}},
		{name: "wiped host keeps its identity", wiped: true},
		{name: "no check-quorum", hooks: hooks{noCheckQuorum: true}},
		{name: "reads without confirmation", hooks: hooks{noReadConfirm: true}},
		{name: "second vote in a term", hooks: hooks{forgetVote: true}},
		{name: "votes without log comparison", hooks: hooks{skipTermCheck: true}},
		{name: "several membership changes at a time", hooks: hooks{changeAnyCount: true}, first: 800},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for i := range uint64(faultSeeds) {
				seed := tt.first + i + 1
				w := newWorld(seed, 3+2*int(seed%2), tt.hooks)
				w.keepIdentity = tt.wiped
				if err := w.run(stepsPerSeed); err != nil {
					t.Logf("seed %d size %d: %v", seed, w.size, err)
					return
				}
			}
			t.Errorf("no violation found in %d seeds", faultSeeds)
		})
	}
}

func envInt(name string, def int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return def
}
