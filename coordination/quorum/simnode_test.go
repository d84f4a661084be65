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
	world  *world
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
	r.world.checkChain(r)
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
	r.world.counts["restored"]++
	r.world.checkChain(r)
	return nil
}

// simNode is one host of the fuzz: a real Host whose goroutines do not run.
type simNode struct {
	world   *world
	slot    int
	addr    string
	disk    *storagetest.Disk
	host    *Host
	state   *registers
	up      bool
	skew    time.Duration // its clock against the world's
	batch   *batch
	syncAt  time.Duration
	heard   map[uint64]time.Duration
	ledFrom time.Duration
	lead    bool
	ids     []uint64 // identities that this slot has lost
}

// Send implements Sender.
func (n *simNode) Send(m Message) { n.world.send(n, m) }

func (n *simNode) config() Config {
	n.state = &registers{world: n.world, Values: map[string]string{}}
	return Config{
		FS: n.disk, Addr: n.addr, Machine: n.state, Sender: n,
		SnapshotEntries: uint64(10 + n.world.rand.IntN(60)),
	}.withDefaults()
}

func (n *simNode) deps() deps {
	return deps{
		now:      func() time.Time { return time.Unix(1_000_000, 0).Add(n.world.now + n.skew) },
		random:   n.world.rand.Int64N,
		trailing: 8,
		chunk:    200,
		store:    storage.Options{SegmentSize: 1500},
		hooks:    n.world.hooks,
	}
}

// start opens the host; damaged data makes it a lost one.
func (n *simNode) start() error {
	h, err := open(n.config(), n.disk, n.deps())
	if err != nil {
		return err
	}
	n.host, n.up, n.batch, n.lead = h, true, nil, false
	n.heard = map[uint64]time.Duration{}
	return nil
}

// stop ends the process. With power lost, unsynced data is lost too, and a
// batch that was being written may be there in part.
func (n *simNode) stop(power bool) {
	n.up = false
	if n.batch != nil && n.world.rand.IntN(2) == 0 {
		n.disk.Space = n.world.rand.IntN(1200)
		_ = writeBatch(n.host.store, n.batch)
	}
	n.batch, n.disk.Space, n.disk.Fail = nil, -1, nil
	if power {
		n.disk.Crash()
	}
	for _, p := range n.world.ops {
		p.lose(n)
	}
}

// wipe replaces the disk of a stopped host with an empty one.
func (n *simNode) wipe() {
	id := n.host.core.id
	n.disk = storagetest.New(n.world.rand.Uint64())
	if n.world.keepIdentity {
		members, _ := encodeMembers(n.world.first)
		if err := format(n.disk, storage.Hard{ID: id, Initial: members}); err != nil {
			panic(err)
		}
		return
	}
	n.ids = append(n.ids, id)
}

// work lets the host act on timers and finished syncs.
func (n *simNode) work() {
	if !n.up {
		return
	}
	if n.batch != nil && n.world.now >= n.syncAt {
		b := n.batch
		n.batch = nil
		n.host.persisted(writeBatch(n.host.store, b))
	}
	n.host.sweep()
	n.flush()
}

func (n *simNode) flush() {
	n.host.flush()
	select {
	case b := <-n.host.disk:
		n.batch = b
		n.syncAt = n.world.now + time.Duration(n.world.rand.IntN(30))*time.Millisecond
		if n.world.slowSyncs && !n.world.calm && n.world.rand.IntN(300) == 0 {
			n.syncAt += time.Duration(n.world.rand.IntN(4000)) * time.Millisecond
		}
	default:
	}
	n.world.checkLeader(n)
}

func (n *simNode) receive(m Message) {
	if m.To != n.host.core.id {
		return
	}
	n.heard[m.From] = n.world.now
	n.host.receive(m)
	n.flush()
}

// leads tells whether the host claims to lead.
func (n *simNode) leads() bool { return n.up && n.host.failed == nil && n.host.core.role == Leader }

// op is one call of a client.
type op struct {
	node   *simNode
	key    string
	write  bool
	value  string
	call   int64
	until  time.Duration
	p      *proposal
	r      *confirm
	isLost bool
}

// lose marks the op as unanswered when its host stops.
func (o *op) lose(n *simNode) {
	if o.node == n {
		o.isLost = true
	}
}

// poll returns the end of the op: done, and ok when the client got an answer
// that counts. unknown means that a write may still take effect.
func (o *op) poll(now time.Duration) (done, ok, unknown bool) {
	if o.write {
		select {
		case <-o.p.done:
			return true, o.p.status == Committed, o.p.status == Indeterminate
		default:
			return o.isLost || now > o.until, false, true
		}
	}
	if o.isLost {
		return true, false, false // the state that was read is gone
	}
	select {
	case ok := <-o.r.done:
		if ok {
			o.value = o.node.state.Values[o.key]
		}
		return true, ok, false
	default:
		return now > o.until, false, false
	}
}

func (w *world) startOp() {
	n := w.nodes[w.rand.IntN(len(w.nodes))]
	for range 3 { // clients mostly find a leader, sometimes an old one
		if n.leads() {
			break
		}
		n = w.nodes[w.rand.IntN(len(w.nodes))]
	}
	if !n.up {
		return
	}
	w.clock++
	w.opCount++
	o := &op{node: n, key: fmt.Sprint("k", w.opCount/opsPerKey), call: w.clock, until: w.now + 3*time.Second}
	if w.rand.IntN(2) == 0 {
		o.write, o.value = true, fmt.Sprint("v", w.opCount)
		o.p = &proposal{data: []byte(o.key + "=" + o.value), done: make(chan struct{})}
		n.host.propose(o.p)
	} else {
		ctx, cancel := context.WithCancel(context.Background())
		cancel() // the host forgets the read when it sweeps
		o.r = &confirm{ctx: ctx, done: make(chan bool, 1)}
		n.host.confirm(o.r)
	}
	w.ops = append(w.ops, o)
	n.flush()
	w.pollOps()
}

// checkFlip inverts a byte of a stopped host whose files are all there. Open
// must notice, or find the same state.
func (n *simNode) checkFlip() error {
	names, _ := n.disk.List()
	before, err := n.load()
	if err != nil {
		return err
	}
	name := names[n.world.rand.IntN(len(names))]
	size, _ := n.disk.Size(name)
	if size == 0 {
		return nil
	}
	n.disk.Flip(name, n.world.rand.IntN(int(size)))
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
func (w *world) aliveVoters(members []Member, without uint64) (alive, quorum int) {
	have := map[uint64]bool{}
	for _, n := range w.nodes {
		have[n.host.core.id] = true
	}
	voters := 0
	for _, m := range members {
		if m.Learner {
			continue
		}
		voters++
		if have[m.ID] && m.ID != without {
			alive++
		}
	}
	return alive, voters/2 + 1
}

// mayLose tells whether the group survives the loss of the disk of n, under
// each membership that a member may be using.
func (w *world) mayLose(n *simNode) bool {
	if w.keepIdentity {
		return true
	}
	for _, other := range w.nodes {
		for _, v := range other.host.core.views {
			if len(v.members) > 0 && !w.survives(v.members, n.host.core.id) {
				return false
			}
		}
	}
	return true
}

// survives also counts each learner as a voter: an acknowledgement that it
// sent before its disk was lost may still promote it.
func (w *world) survives(members []Member, lost uint64) bool {
	alive, quorum := w.aliveVoters(members, lost)
	if alive < quorum {
		return false
	}
	for i, m := range members {
		if !m.Learner {
			continue
		}
		next := slices.Clone(members)
		next[i].Learner = false
		if alive, quorum := w.aliveVoters(next, lost); alive < quorum {
			return false
		}
	}
	return true
}

// repair acts as the operator: it adds blank hosts and removes lost members.
func (w *world) repair() {
	i := slices.IndexFunc(w.nodes, (*simNode).leads)
	if i < 0 {
		return
	}
	c := w.nodes[i].host.core
	have := maps.Collect(func(yield func(uint64, *simNode) bool) {
		for _, n := range w.nodes {
			if !yield(n.host.core.id, n) {
				return
			}
		}
	})
	removeFirst := w.rand.IntN(2) == 0
	for _, m := range c.members() {
		_, alive := have[m.ID]
		ready := c.voters() > w.size || m.Learner || removeFirst
		if !alive && ready {
			_ = c.removeMember(m.ID)
			w.nodes[i].flush()
			return
		}
	}
	for _, n := range w.nodes {
		if _, ok := c.member(n.host.core.id); !ok && len(n.ids) > 0 && n.up {
			_ = c.addMember(Member{ID: n.host.core.id, Addr: n.addr})
			w.nodes[i].flush()
			return
		}
	}
}
