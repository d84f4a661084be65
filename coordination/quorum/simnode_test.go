package quorum

import (
	"context"
	"encoding/binary"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/state/codec"
	"github.com/mulberrylink/mulberrylink/state/storage"
	"github.com/mulberrylink/mulberrylink/state/storage/storagetest"
)

// registers is the state machine of the simulation: named registers and a hash chain over all
// applied entries, which must be equal on all members at each index.
type registers struct {
	sim    *simulation
	Values map[string]string
	Index  uint64
	Chain  uint64
}

// Apply sets a register from "key=value" and returns no result.
func (r *registers) Apply(index uint64, data []byte) []byte {
	key, value, _ := strings.Cut(string(data), "=")
	r.Values[key] = value
	r.Index = index
	r.Chain = xxhash.Sum64(append(binary.LittleEndian.AppendUint64(nil, r.Chain+index), data...))
	r.sim.checkLogHash(r)
	return nil
}

func (r *registers) Snapshot() []byte {
	b, err := codec.Marshal(struct {
		Values       map[string]string
		Index, Chain uint64
	}{r.Values, r.Index, r.Chain})
	if err != nil {
		panic(err)
	}
	return b
}

func (r *registers) Restore(data []byte) error {
	r.Values = nil
	if err := codec.Unmarshal(data, r); err != nil {
		return err
	}
	r.sim.eventCounts["restored"]++
	r.sim.checkLogHash(r)
	return nil
}

// simNode is one host of the simulation: a Host whose goroutines are not started. The simulation
// calls its methods instead.
type simNode struct {
	sim         *simulation
	index       int
	addr        string
	disk        *storagetest.Disk
	host        *Host
	machine     *registers
	up          bool
	clockSkew   time.Duration            // offset of its clock from the simulated time
	batch       *batch                   // being synced
	syncDoneAt  time.Duration            // when the sync of batch ends
	lastHeard   map[uint64]time.Duration // time of the last message by sender
	leaderSince time.Duration
	wasLeader   bool
	lostIDs     []uint64 // earlier identities, lost with their disks

	pausedUntil  time.Duration // the host stands still until then
	stalledUntil time.Duration // no sync ends before
}

// Send implements Sender.
func (n *simNode) Send(m Message) { n.sim.send(n, m) }

func (n *simNode) config() Config {
	n.machine = &registers{sim: n.sim, Values: map[string]string{}}
	return Config{
		FS: n.disk, Addr: n.addr, Machine: n.machine, Sender: n,
		SnapshotEntries: uint64(10 + n.sim.rand.IntN(60)), ElectionTimeoutMin: n.sim.electionTimeoutMin, ElectionTimeoutMax: n.sim.electionTimeoutMax, FirstElectionTimeout: n.sim.firstElectionTimeout,
	}.withDefaults()
}

func (n *simNode) deps() deps {
	return deps{
		now:             func() time.Time { return time.Unix(1_000_000, 0).Add(n.sim.now + n.clockSkew) },
		random:          n.sim.rand.Int64N,
		trailingEntries: 8,
		chunkBytes:      200,
		storeOptions:    storage.Options{SegmentSize: 1500},
		faults:          n.sim.faults,
	}
}

// start opens the host.
func (n *simNode) start() error {
	h, err := openHost(n.config(), n.disk, n.deps())
	if err != nil {
		return err
	}
	n.host, n.up, n.batch, n.wasLeader = h, true, nil, false
	n.lastHeard = map[uint64]time.Duration{}
	return nil
}

// stop ends the process of the host. A batch in flight may have been written in part or in whole.
// With powerLoss, unsynced data is lost.
func (n *simNode) stop(powerLoss bool) {
	n.up = false
	if n.batch != nil && n.sim.rand.IntN(2) == 0 {
		n.disk.Space = n.sim.rand.IntN(1200)
		_ = writeBatch(n.host.store, n.batch)
	}
	n.batch, n.disk.Space, n.disk.Fail = nil, -1, nil
	if powerLoss {
		n.disk.Crash()
	}
	for _, o := range n.sim.openOps {
		o.markHostStopped(n)
	}
}

// wipe replaces the disk of a stopped host with an empty one. With reuseIdentity it formats the new
// disk under the old identity.
func (n *simNode) wipe() {
	id := n.host.core.id
	n.disk = storagetest.New(n.sim.rand.Uint64())
	if n.sim.reuseIdentity {
		members, _ := encodeMembers(n.sim.initialMembers)
		if err := formatStore(n.disk, storage.Hard{ID: id, Initial: members}); err != nil {
			panic(err)
		}
		return
	}
	n.lostIDs = append(n.lostIDs, id)
}

// advance completes a sync that has ended and lets the host act on expired timers.
func (n *simNode) advance() {
	if !n.runs() {
		return
	}
	if n.batch != nil && n.sim.now >= n.syncDoneAt {
		err := n.host.store.Recover()
		if err == nil {
			err = writeBatch(n.host.store, n.batch)
		}
		if err == nil {
			n.batch = nil
		} else {
			n.syncDoneAt = n.sim.now + writeRetryInterval
		}
		n.host.handleSynced(err)
	}
	n.host.dropAbandonedReads()
	n.flush()
}

func (n *simNode) flush() {
	n.host.flush()
	select {
	case b := <-n.host.batches:
		n.batch = b
		n.syncDoneAt = n.sim.now + time.Duration(n.sim.rand.IntN(30))*time.Millisecond
		if n.sim.slowSyncs && !n.sim.faultFree && n.sim.rand.IntN(300) == 0 {
			n.syncDoneAt += time.Duration(n.sim.rand.IntN(4000)) * time.Millisecond
		}
		n.syncDoneAt = max(n.syncDoneAt, n.stalledUntil)
	default:
	}
	n.sim.checkLeader(n)
}

func (n *simNode) receive(m Message) {
	if m.To != n.host.core.id {
		return
	}
	n.lastHeard[m.From] = n.sim.now
	n.host.handleMessages(m)
	n.flush()
}

// quota makes all hosts stand still for idle in each period.
type quota struct{ period, idle time.Duration }

// orderedDelay returns the delay of the next message on a link that delivers in order.
func (s *simulation) orderedDelay(link [2]int) time.Duration {
	delay := s.minDelay + time.Duration(s.rand.Int64N(int64(s.maxDelay-s.minDelay)))
	delay = max(delay, s.lastDelivery[link]-s.now)
	s.lastDelivery[link] = s.now + delay
	return delay
}

// runs reports whether the host is up and does not stand still.
func (n *simNode) runs() bool {
	q := n.sim.quota
	throttled := q.period > 0 && (n.sim.now+time.Duration(n.index)*q.period/7)%q.period < q.idle
	return n.up && n.sim.now >= n.pausedUntil && !throttled
}

// leads reports whether the host is up and considers itself the leader.
func (n *simNode) leads() bool { return n.up && n.host.failure == nil && n.host.core.role == Leader }

// op is one operation of a client.
type op struct {
	node        *simNode
	key         string
	write       bool
	value       string
	call        int64
	deadline    time.Duration
	proposal    *proposal
	read        *readRequest
	hostStopped bool
}

// markHostStopped records that the host of the operation has stopped and won't respond.
func (o *op) markHostStopped(n *simNode) {
	if o.node == n {
		o.hostStopped = true
	}
}

// poll reports whether the operation has ended (done), whether it succeeded (ok), and whether a write
// without a definite outcome may still take effect (unknown).
func (o *op) poll(now time.Duration) (done, ok, unknown bool) {
	if o.write {
		select {
		case <-o.proposal.done:
			return true, o.proposal.status == Committed, o.proposal.status == Indeterminate
		default:
			return o.hostStopped || now > o.deadline, false, true
		}
	}
	if o.hostStopped {
		return true, false, false // the state that was read is gone
	}
	select {
	case ok := <-o.read.done:
		if ok {
			o.value = o.node.machine.Values[o.key]
		}
		return true, ok, false
	default:
		return now > o.deadline, false, false
	}
}

// startOp starts a random read or write on a random host, preferably a leader.
func (s *simulation) startOp() {
	n := s.nodes[s.rand.IntN(len(s.nodes))]
	for range 3 { // clients mostly find a leader, sometimes a stale one
		if n.leads() {
			break
		}
		n = s.nodes[s.rand.IntN(len(s.nodes))]
	}
	if !n.runs() {
		return
	}
	s.opClock++
	s.opCount++
	o := &op{node: n, key: fmt.Sprint("k", s.opCount/opsPerKey), call: s.opClock, deadline: s.now + 3*time.Second}
	if s.rand.IntN(2) == 0 {
		o.write, o.value = true, fmt.Sprint("v", s.opCount)
		o.proposal = &proposal{data: []byte(o.key + "=" + o.value), done: make(chan struct{})}
		n.host.handleProposals(o.proposal)
	} else {
		ctx, cancel := context.WithCancel(context.Background())
		cancel() // so that dropAbandonedReads removes the read
		o.read = &readRequest{ctx: ctx, done: make(chan bool, 1)}
		n.host.handleReads(o.read)
	}
	s.openOps = append(s.openOps, o)
	n.flush()
	s.pollOps()
}

// checkCorruption flips a byte in a file of a stopped host whose data is intact. storage.Open must
// return ErrDamaged or the same state.
func (n *simNode) checkCorruption() error {
	names, _ := n.disk.List()
	before, err := n.load()
	if err != nil {
		return err
	}
	name := names[n.sim.rand.IntN(len(names))]
	size, _ := n.disk.Size(name)
	if size == 0 {
		return nil
	}
	n.disk.Flip(name, n.sim.rand.IntN(int(size)))
	after, err := n.load()
	if errors.Is(err, storage.ErrDamaged) {
		return nil
	}
	if err != nil {
		return errors.Wrapf(err, "flipped byte in %s", name)
	}
	if !slices.EqualFunc(before.Entries, after.Entries, func(a, b storage.Entry) bool {
		return a.Index == b.Index && a.Term == b.Term && string(a.Data) == string(b.Data)
	}) || before.Hard.Term != after.Hard.Term || before.Hard.Vote != after.Hard.Vote {
		return errors.Newf("flipped byte in %s changed the state without an error", name)
	}
	return nil
}

func (n *simNode) load() (storage.State, error) {
	s, st, err := storage.Open(n.disk, storage.Options{SegmentSize: 1500})
	if err != nil {
		return st, err
	}
	return st, s.Close()
}

// keepMajority reports whether a majority of each set of voters has its disk, without that of lost.
func (s *simulation) keepMajority(members []Member, lost uint64) bool {
	present := s.presentIDs()
	return (&core{}).haveMajority(members, func(id uint64) bool { return present[id] && id != lost })
}

// presentIDs returns the identities whose disks are not lost.
func (s *simulation) presentIDs() map[uint64]bool {
	present := map[uint64]bool{}
	for _, n := range s.nodes {
		present[n.host.core.id] = true
	}
	return present
}

// survivesDiskLoss reports whether the group keeps a quorum without the disk of n, under each
// membership that a member may be using.
func (s *simulation) survivesDiskLoss(n *simNode) bool {
	if s.reuseIdentity {
		return true
	}
	for _, other := range s.nodes {
		for _, ms := range other.host.core.memberships {
			if len(ms.members) > 0 && !s.keepsQuorum(ms.members, n.host.core.id) {
				return false
			}
		}
	}
	return true
}

// keepsQuorum reports whether members keep a quorum without the lost one, also if any one learner
// were a voter or replaced one: an acknowledgement that a learner sent before its disk was lost may
// still put that in force.
func (s *simulation) keepsQuorum(members []Member, lost uint64) bool {
	if !s.keepMajority(members, lost) {
		return false
	}
	present := s.presentIDs()
	for i, learner := range members {
		if !learner.Learner {
			continue
		}
		next := slices.Clone(members)
		next[i].Learner = false
		if !s.keepMajority(next, lost) {
			return false
		}
		next[i].Joining = true
		for j, voter := range members {
			if voter.Learner || present[voter.ID] && voter.ID != lost {
				continue // repair replaces only hosts without their disk
			}
			next[j].Leaving = true
			if !s.keepMajority(next, lost) {
				return false
			}
			next[j].Leaving = false
		}
	}
	return true
}

// repair acts as the operator: it adds blank hosts and removes or replaces lost members.
func (s *simulation) repair() {
	i := slices.IndexFunc(s.nodes, (*simNode).leads)
	if i < 0 {
		return
	}
	c := s.nodes[i].host.core
	hosts := maps.Collect(func(yield func(uint64, *simNode) bool) {
		for _, n := range s.nodes {
			if !yield(n.host.core.id, n) {
				return
			}
		}
	})
	removeFirst := s.rand.IntN(2) == 0
	for _, m := range c.members() {
		_, present := hosts[m.ID]
		if k := slices.IndexFunc(c.members(), func(m Member) bool { return m.Learner }); !present && !m.Learner && k >= 0 && s.rand.IntN(2) == 0 {
			if c.replaceMember(m.ID, c.members()[k].ID) == nil {
				s.eventCounts["replacements"]++
				s.nodes[i].flush()
				return
			}
		}
		ready := c.voterCount() > s.size || m.Learner || removeFirst
		if !present && ready {
			_ = c.removeMember(m.ID)
			s.nodes[i].flush()
			return
		}
	}
	for _, n := range s.nodes {
		if _, ok := c.member(n.host.core.id); !ok && len(n.lostIDs) > 0 && n.up {
			_ = c.addMember(Member{ID: n.host.core.id, Addr: n.addr})
			s.nodes[i].flush()
			return
		}
	}
}

func envInt(name string, def int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return def
}
