package membership

import (
	"time"

	"github.com/mulberrylink/mulberrylink"
)

// Receive handles a datagram and returns the datagrams to send in reply.
func (c *Core) Receive(now time.Time, d Datagram) []Packet {
	if d.From == "" || d.From == c.self.Name {
		return nil
	}
	c.bucket.refill(now)
	c.lastHeard = now
	c.handleHeader(d)
	for _, r := range d.Records {
		c.mergeRecord(now, r)
		if r.Name == d.From {
			c.correctSender(r)
		}
	}
	for _, n := range d.Notes {
		c.mergeNote(now, n)
	}
	c.reply(now, d)
	c.compareDigest(now, d)
	return c.takeOutgoing()
}

func (c *Core) reply(now time.Time, d Datagram) {
	switch d.Kind {
	case KindPing:
		ack := c.datagram(KindAck)
		ack.Seq = d.Seq
		c.sendWithUpdates(d.Addr, ack)
	case KindAck:
		c.handleAck(d)
	case KindPingRequest:
		c.seq++
		c.relays[c.seq] = relay{requesterAddr: d.Addr, requesterSeq: d.Seq, deadline: now.Add(c.cfg.Period)}
		ping := c.datagram(KindPing)
		ping.Seq = c.seq
		c.send(d.Target, ping)
	case KindSyncRequest:
		c.sendPage(d)
	case KindSyncReply:
		c.handlePage(now, d)
	case KindPush:
	}
}

func (c *Core) handleAck(d Datagram) {
	delete(c.probes, d.Seq)
	r, ok := c.relays[d.Seq]
	if !ok {
		return
	}
	delete(c.relays, d.Seq)
	ack := c.datagram(KindAck)
	ack.Seq = r.requesterSeq
	c.send(r.requesterAddr, ack)
}

// handleHeader updates the state of the sender from the header fields of a datagram. A sender
// that is held as suspect or gone is asked to refute that.
func (c *Core) handleHeader(d Datagram) {
	if d.Version > c.maxVersion {
		c.maxVersion = d.Version
		c.maxVersionAddr = d.Addr
	}
	m, ok := c.members[d.From]
	if !ok {
		return
	}
	if m.node.Version != d.Version {
		m.node.Version = d.Version
		c.recordsChanged = true
	}
	if m.node.State == mulberrylink.NodeSuspect || m.node.State == mulberrylink.NodeGone {
		c.requestRefutation(m)
	}
}

// requestRefutation sends a member its record that marks it as suspect or gone, so that it
// refutes the record with a higher incarnation.
func (c *Core) requestRefutation(m *member) {
	d := c.datagram(KindPush)
	d.Records = []Record{recordOf(m.node)}
	c.send(m.node.Addr, d)
}

// correctSender sends a member the stored record of itself if that overrides the record that the
// member sent. The member has restarted and counts its incarnations from the start; it raises its
// own above that of its former process.
func (c *Core) correctSender(r Record) {
	if m, ok := c.members[r.Name]; ok && recordOf(m.node) != r {
		c.requestRefutation(m)
	}
}

// mergeRecord stores a record if it is newer than the one held, and queues it for dissemination.
func (c *Core) mergeRecord(now time.Time, r Record) {
	if !r.valid() {
		return
	}
	if r.Name == c.self.Name {
		c.refute(r)
		return
	}
	m, known := c.members[r.Name]
	if known && !newer(r, m.node) {
		return
	}
	n := r.node()
	if !known {
		if n.State == mulberrylink.NodeGone {
			return // the record of an unknown node that is gone is not needed
		}
		m = &member{}
		c.members[r.Name] = m
		c.insertIntoProbeOrder(r.Name)
	}
	urgent := !known || m.node.Incarnation < n.Incarnation
	n.Version = m.node.Version
	m.node = n
	switch n.State {
	case mulberrylink.NodeSuspect:
		m.deadline = now.Add(c.suspectTimeout())
	case mulberrylink.NodeGone:
		c.retainGone(now, m)
	case mulberrylink.NodeReady, mulberrylink.NodeLeaving:
	}
	c.recordsChanged, c.digestStale = true, true
	c.queue.addRecord(r.Name, urgent)
}

// insertIntoProbeOrder inserts a new member at a random position of the current round, so that it
// is probed within one round.
func (c *Core) insertIntoProbeOrder(name string) {
	at := c.probeIndex + c.cfg.Rand.IntN(len(c.probeOrder)-c.probeIndex+1)
	c.probeOrder = append(c.probeOrder, "")
	copy(c.probeOrder[at+1:], c.probeOrder[at:])
	c.probeOrder[at] = name
}

// refute raises the own incarnation above that of a differing record of this node: a suspicion,
// or a record from before a restart.
func (c *Core) refute(r Record) {
	if r.Incarnation < c.self.Incarnation || r == recordOf(c.self) {
		return
	}
	c.self.Incarnation = r.Incarnation + 1
	c.digestStale = true
	c.recordsChanged = true
	c.queue.addRecord(c.self.Name, true)
}

// newer reports whether r overrides n: by a higher incarnation, or by a later state within the
// same incarnation.
func newer(r Record, n mulberrylink.Node) bool {
	if r.Incarnation != n.Incarnation {
		return r.Incarnation > n.Incarnation
	}
	return r.State > uint8(n.State)
}

// mergeNote delivers a note that was not seen before and queues it for dissemination.
func (c *Core) mergeNote(now time.Time, n Note) {
	if len(n.Data) > maxNoteBytes {
		return
	}
	if _, seen := c.seenNotes[n.ID]; seen {
		return
	}
	c.seenNotes[n.ID] = now.Add(noteRetention)
	c.queue.addNote(n)
	if c.cfg.OnNote != nil {
		c.cfg.OnNote(n.Kind, n.Data)
	}
}
