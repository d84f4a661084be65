package membership

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrylink/mulberrylink"
)

// Defaults of Config.
const (
	DefaultPeriod         = time.Second
	DefaultAckTimeout     = 300 * time.Millisecond
	DefaultSuspectPeriods = 3
	DefaultBytesPerSecond = 12_000
)

// Intervals and limits of the protocol.
const (
	indirectProbes    = 3 // members that are asked to probe a target
	pushFanout        = 3 // members that receive a push or a join request at once
	joinInterval      = time.Second
	syncPageDelay     = 50 * time.Millisecond
	syncInterval      = 5 * time.Second
	syncMismatchDelay = 200 * time.Millisecond // sync interval while another member's digest differs
	reconnectInterval = 5 * time.Second
	goneRetention     = 24 * time.Hour   // how long reconnect tries the address of a gone member
	noteRetention     = 30 * time.Second // how long the ID of a note is stored to detect duplicates

	// digestMatchLimit is the number of consecutive datagrams with a matching digest after which
	// queued records are dropped, because the other members hold them.
	digestMatchLimit = 8
)

// Config describes one member.
type Config struct {
	// Self is the member's own record. Its Incarnation counts from the start of the process:
	// other members send a restarted one the record that they hold, and it continues from there.
	Self mulberrylink.Node
	// Seeds are the addresses of members through which a new member joins.
	Seeds []string
	// Period is the protocol period, the time between two probes.
	Period time.Duration
	// AckTimeout is the timeout of a direct probe. After it, other members are asked to probe
	// the target.
	AckTimeout time.Duration
	// SuspectPeriods is the time that a suspect has to refute the suspicion, in periods. It is
	// multiplied by the decimal logarithm of the group size.
	SuspectPeriods int
	// BytesPerSecond limits the bytes that the member sends.
	BytesPerSecond int
	// Rand is the source of all random choices.
	Rand *rand.Rand
	// OnNote is called once for each note of another member.
	OnNote func(kind uint8, data []byte)
}

// member is the state of another node.
type member struct {
	node mulberrylink.Node
	// deadline is when a suspect becomes gone, or when the record of a gone member is removed.
	deadline time.Time
}

// probe is a ping that has not been acknowledged.
type probe struct {
	target       string
	seq          uint32
	indirectAt   time.Time // when other members are asked to probe the target
	deadline     time.Time // when the target becomes a suspect
	indirectSent bool
}

// relay is a ping sent on behalf of another member, the requester.
type relay struct {
	requesterAddr string
	requesterSeq  uint32
	deadline      time.Time
}

// Core implements the protocol as a step function. It is not safe for concurrent use.
type Core struct {
	cfg        Config
	self       mulberrylink.Node
	members    map[string]*member
	probeOrder []string // probe order, reshuffled after each round
	probeIndex int
	probes     map[uint32]*probe
	relays     map[uint32]relay
	seq        uint32
	queue      updateQueue
	bucket     tokenBucket
	seenNotes  map[uint64]time.Time
	outgoing   []Packet

	nextProbe     time.Time
	nextJoin      time.Time
	nextSync      time.Time
	nextReconnect time.Time
	syncCursor    string // name after which the next sync page starts
	joined        bool   // the first synchronisation is complete

	maxVersion     uint64
	maxVersionAddr string
	lastHeard      time.Time
	recordsChanged bool
	cachedDigest   uint64 // valid unless digestStale
	digestStale    bool
	digestMatches  int // consecutive datagrams with a matching digest
	sentBytes      uint64
}

// NewCore returns a Core that knows only its own record.
func NewCore(cfg Config) *Core {
	if cfg.Period == 0 {
		cfg.Period = DefaultPeriod
	}
	if cfg.AckTimeout == 0 {
		cfg.AckTimeout = DefaultAckTimeout
	}
	if cfg.SuspectPeriods == 0 {
		cfg.SuspectPeriods = DefaultSuspectPeriods
	}
	if cfg.BytesPerSecond == 0 {
		cfg.BytesPerSecond = DefaultBytesPerSecond
	}
	return &Core{
		cfg:            cfg,
		self:           cfg.Self,
		members:        make(map[string]*member),
		probes:         make(map[uint32]*probe),
		relays:         make(map[uint32]relay),
		seenNotes:      make(map[uint64]time.Time),
		bucket:         newTokenBucket(cfg.BytesPerSecond),
		recordsChanged: true,
		digestStale:    true,
	}
}

// Tick advances the protocol to now and returns the datagrams to send.
func (c *Core) Tick(now time.Time) []Packet {
	c.bucket.refill(now)
	c.expire(now)
	c.checkProbes(now)
	c.requestJoin(now)
	c.requestSync(now)
	c.reconnect(now)
	if !now.Before(c.nextProbe) {
		c.nextProbe = now.Add(c.cfg.Period)
		c.probeNext(now)
	}
	if c.queue.hasUrgent() {
		c.pushUrgent()
	}
	return c.takeOutgoing()
}

// Update changes the member's own record with f and disseminates it at once. It raises the
// incarnation, so f must not change it. If only the configuration version changes, the
// incarnation stays and a few members are sent the version.
func (c *Core) Update(f func(self *mulberrylink.Node)) {
	before := c.self
	f(&c.self)
	if c.self == before {
		return
	}
	c.recordsChanged = true
	versionOnly := before
	versionOnly.Version = c.self.Version
	if c.self == versionOnly {
		c.announceVersion()
		return
	}
	c.self.Incarnation = before.Incarnation + 1
	c.digestStale = true
	c.queue.addRecord(c.self.Name, true)
}

// Broadcast disseminates a note to all members. It returns false without sending if the note is
// longer than 512 bytes.
func (c *Core) Broadcast(now time.Time, kind uint8, data []byte) bool {
	n, ok := c.newNote(now, kind, data)
	if ok {
		c.queue.addNote(n)
	}
	return ok
}

// BroadcastService sends a note directly to every node of a service and disseminates it to all
// members. It returns false without sending if the note is longer than 512 bytes.
func (c *Core) BroadcastService(now time.Time, service string, kind uint8, data []byte) bool {
	n, ok := c.newNote(now, kind, data)
	if !ok {
		return false
	}
	for _, name := range c.sortedNames() {
		m := c.members[name]
		if m.node.Service == service && m.node.State != mulberrylink.NodeGone {
			d := c.datagram(KindPush)
			d.Notes = []Note{n}
			c.send(m.node.Addr, d)
		}
	}
	c.queue.addNote(n)
	return true
}

// newNote returns a note with a new ID and marks the ID as seen. It returns false if the note is
// too long.
func (c *Core) newNote(now time.Time, kind uint8, data []byte) (Note, bool) {
	if len(data) > maxNoteBytes {
		return Note{}, false
	}
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(c.self.Name)
	_, _ = h.Write([]byte{kind})
	_, _ = h.Write(data)
	id := h.Sum64() ^ c.cfg.Rand.Uint64()
	c.seenNotes[id] = now.Add(noteRetention)
	return Note{Kind: kind, ID: id, Data: data}, true
}

// Self returns the member's own record.
func (c *Core) Self() mulberrylink.Node { return c.self }

// All returns the records of all nodes that are not gone, including the member's own, sorted by
// name.
func (c *Core) All() []mulberrylink.Node {
	all := []mulberrylink.Node{c.self}
	for _, m := range c.members {
		if m.node.State != mulberrylink.NodeGone {
			all = append(all, m.node)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// MaxVersion returns the highest configuration version reported by another member, and the
// address of that member.
func (c *Core) MaxVersion() (version uint64, addr string) {
	return c.maxVersion, c.maxVersionAddr
}

// LastHeard returns when the last datagram from another member arrived.
func (c *Core) LastHeard() time.Time { return c.lastHeard }

// SentBytes returns the estimated number of bytes sent so far, including UDP and IP headers.
func (c *Core) SentBytes() uint64 { return c.sentBytes }

// takeRecordsChanged reports whether the records changed since the last call.
func (c *Core) takeRecordsChanged() bool {
	changed := c.recordsChanged
	c.recordsChanged = false
	return changed
}

// takeOutgoing returns the datagrams to send and clears the list.
func (c *Core) takeOutgoing() []Packet {
	out := c.outgoing
	c.outgoing = nil
	return out
}

// suspectTimeout grows with the logarithm of the group size, because a refutation needs that many
// rounds to reach all members.
func (c *Core) suspectTimeout() time.Duration {
	rounds := math.Max(1, math.Log10(float64(len(c.members)+1)))
	return time.Duration(float64(c.cfg.SuspectPeriods) * rounds * float64(c.cfg.Period))
}

func (c *Core) expire(now time.Time) {
	for name, m := range c.members {
		switch m.node.State {
		case mulberrylink.NodeSuspect:
			if now.After(m.deadline) {
				m.node.State = mulberrylink.NodeGone
				c.retainGone(now, m)
				c.queue.addRecord(name, false)
			}
		case mulberrylink.NodeGone:
			if now.After(m.deadline) {
				delete(c.members, name)
			}
		case mulberrylink.NodeReady, mulberrylink.NodeLeaving:
		}
	}
	for id, deadline := range c.seenNotes {
		if now.After(deadline) {
			delete(c.seenNotes, id)
		}
	}
	for seq, r := range c.relays {
		if now.After(r.deadline) {
			delete(c.relays, seq)
		}
	}
}

// retainGone keeps the record of a member that is gone for goneRetention. The member is no longer
// part of the digest.
func (c *Core) retainGone(now time.Time, m *member) {
	c.recordsChanged, c.digestStale = true, true
	m.deadline = now.Add(goneRetention)
}

func (c *Core) sortedNames() []string {
	names := make([]string, 0, len(c.members))
	for name := range c.members {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
