package quorum

import (
	"context"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/state/codec"
	"github.com/mulberrylink/mulberrylink/state/storage"
	"github.com/mulberrylink/mulberrylink/state/storage/storagetest"
)

// registers is the state machine of the fuzz: named registers and a hash over
// everything applied, which must be equal on all members at each index.
type registers struct {
	sim    *simulation
	Values map[string]string
	Index  uint64
	Chain  uint64
}

// Apply runs "key=value" and returns nothing of interest.
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

// simNode is one host of the fuzz: a real Host whose goroutines do not run.
type simNode struct {
	sim         *simulation
	index       int
	addr        string
	disk        *storagetest.Disk
	host        *Host
	machine     *registers
	up          bool
	clockSkew   time.Duration // its clock against the world's
	batch       *batch
	syncDoneAt  time.Duration
	lastHeard   map[uint64]time.Duration
	leaderSince time.Duration
	wasLeader   bool
	lostIDs     []uint64 // identities that this slot has lost
}

// Send implements Sender.
func (n *simNode) Send(m Message) { n.sim.send(n, m) }

func (n *simNode) config() Config {
	n.machine = &registers{sim: n.sim, Values: map[string]string{}}
	return Config{
		FS: n.disk, Addr: n.addr, Machine: n.machine, Sender: n,
		SnapshotEntries: uint64(10 + n.sim.rand.IntN(60)),
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

// start opens the host; damaged data makes it a lost one.
func (n *simNode) start() error {
	h, err := openHost(n.config(), n.disk, n.deps())
	if err != nil {
		return err
	}
	n.host, n.up, n.batch, n.wasLeader = h, true, nil, false
	n.lastHeard = map[uint64]time.Duration{}
	return nil
}

// stop ends the process. With power lost, unsynced data is lost too, and a
// batch that was being written may be there in part.
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
	for _, p := range n.sim.openOps {
		p.hostStops(n)
	}
}

// wipe replaces the disk of a stopped host with an empty one.
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

// work lets the host act on timers and finished syncs.
func (n *simNode) advance() {
	if !n.up {
		return
	}
	if n.batch != nil && n.sim.now >= n.syncDoneAt {
		b := n.batch
		n.batch = nil
		n.host.handleSynced(writeBatch(n.host.store, b))
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

// leads tells whether the host claims to lead.
func (n *simNode) leads() bool { return n.up && n.host.failure == nil && n.host.core.role == Leader }

// op is one call of a client.
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

// lose marks the op as unanswered when its host stops.
func (o *op) hostStops(n *simNode) {
	if o.node == n {
		o.hostStopped = true
	}
}

// poll returns the end of the op: done, and ok when the client got an answer
// that counts. unknown means that a write may still take effect.
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

func (s *simulation) startOp() {
	n := s.nodes[s.rand.IntN(len(s.nodes))]
	for range 3 { // clients mostly find a leader, sometimes an old one
		if n.leads() {
			break
		}
		n = s.nodes[s.rand.IntN(len(s.nodes))]
	}
	if !n.up {
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
		cancel() // the host forgets the read when it sweeps
		o.read = &readRequest{ctx: ctx, done: make(chan bool, 1)}
		n.host.handleReads(o.read)
	}
	s.openOps = append(s.openOps, o)
	n.flush()
	s.pollOps()
}

// checkFlip inverts a byte of a stopped host whose files are all there. Open
// must notice, or find the same state.
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

// aliveVoters counts the voters of a view whose disks are there.
func (s *simulation) intactVoters(members []Member, lost uint64) (intact, quorum int) {
	present := map[uint64]bool{}
	for _, n := range s.nodes {
		present[n.host.core.id] = true
	}
	voters := 0
	for _, m := range members {
		if m.Learner {
			continue
		}
		voters++
		if present[m.ID] && m.ID != lost {
			intact++
		}
	}
	return intact, voters/2 + 1
}

// mayLose tells whether the group survives the loss of the disk of n, under
// each membership that a member may be using.
func (s *simulation) survivesDiskLoss(n *simNode) bool {
	if s.reuseIdentity {
		return true
	}
	for _, other := range s.nodes {
		for _, v := range other.host.core.memberships {
			if len(v.members) > 0 && !s.keepsQuorum(v.members, n.host.core.id) {
				return false
			}
		}
	}
	return true
}

// survives also counts each learner as a voter: an acknowledgement that it
// sent before its disk was lost may still promote it.
func (s *simulation) keepsQuorum(members []Member, lost uint64) bool {
	intact, quorum := s.intactVoters(members, lost)
	if intact < quorum {
		return false
	}
	for i, m := range members {
		if !m.Learner {
			continue
		}
		next := slices.Clone(members)
		next[i].Learner = false
		if intact, quorum := s.intactVoters(next, lost); intact < quorum {
			return false
		}
	}
	return true
}

// repair acts as the operator: it adds blank hosts and removes lost members.
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
