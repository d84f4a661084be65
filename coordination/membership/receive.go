package membership

import (
	"time"

	"github.com/mulberrylink/mulberrylink"
)

// Receive handles a datagram and returns the datagrams to send in answer.
func (c *Core) Receive(now time.Time, d Datagram) []Packet {
	if d.From == "" || d.From == c.self.Name {
		return nil
	}
	c.bucket.refill(now)
	c.lastHeard = now
	c.heard(d)
	for _, r := range d.Records {
		c.merge(now, r)
	}
	for _, n := range d.Notes {
		c.mergeNote(now, n)
	}
	c.answer(now, d)
	c.compare(now, d)
	return c.take()
}

func (c *Core) answer(now time.Time, d Datagram) {
	switch d.Kind {
	case KindPing:
		ack := c.datagram(KindAck)
		ack.Seq = d.Seq
		c.sendFilled(d.Addr, ack)
	case KindAck:
		c.acked(d)
	case KindPingRequest:
		c.seq++
		c.relays[c.seq] = relay{to: d.Addr, seq: d.Seq, deadline: now.Add(c.cfg.Period)}
		ping := c.datagram(KindPing)
		ping.Seq = c.seq
		c.send(d.Target, ping)
	case KindSyncRequest:
		c.sendPage(d)
	case KindSyncReply:
		c.gotPage(now, d)
	case KindPush:
	}
}

func (c *Core) acked(d Datagram) {
	delete(c.probes, d.Seq)
	r, ok := c.relays[d.Seq]
	if !ok {
		return
	}
	delete(c.relays, d.Seq)
	ack := c.datagram(KindAck)
	ack.Seq = r.seq
	c.send(r.to, ack)
}

// heard notes what the header of any datagram says about its sender.
func (c *Core) heard(d Datagram) {
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
		c.changed = true
	}
	if m.node.State == mulberrylink.NodeSuspect || m.node.State == mulberrylink.NodeGone {
		c.tellAccused(m)
	}
}

// tellAccused sends a member that is alive the record that says otherwise, so
// that it refutes it with a higher incarnation.
func (c *Core) tellAccused(m *member) {
	d := c.datagram(KindPush)
	d.Records = []Record{recordOf(m.node)}
	c.send(m.node.Addr, d)
}

// merge takes over a record when it is newer than the one known.
func (c *Core) merge(now time.Time, r Record) {
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
			return // nothing to forget
		}
		m = &member{}
		c.members[r.Name] = m
		c.insertIntoRound(r.Name)
	}
	urgent := !known || m.node.Incarnation < n.Incarnation
	n.Version = m.node.Version
	m.node = n
	switch n.State {
	case mulberrylink.NodeSuspect:
		m.deadline = now.Add(c.suspectTimeout())
	case mulberrylink.NodeGone:
		c.setGone(now, m)
	case mulberrylink.NodeReady, mulberrylink.NodeLeaving:
	}
	c.changed, c.stale = true, true
	c.queue.addRecord(r.Name, urgent)
}

// insertIntoRound puts a new member at a random place of the current round, so
// that it is probed within one round of its arrival.
func (c *Core) insertIntoRound(name string) {
	at := c.next + c.cfg.Rand.IntN(len(c.order)-c.next+1)
	c.order = append(c.order, "")
	copy(c.order[at+1:], c.order[at:])
	c.order[at] = name
}

// refute raises the own incarnation above a record that is not the own one:
// a suspicion, or what was known before a restart.
func (c *Core) refute(r Record) {
	if r.Incarnation < c.self.Incarnation || r == recordOf(c.self) {
		return
	}
	c.self.Incarnation = r.Incarnation + 1
	c.stale = true
	c.changed = true
	c.queue.addRecord(c.self.Name, true)
}

func newer(r Record, n mulberrylink.Node) bool {
	if r.Incarnation != n.Incarnation {
		return r.Incarnation > n.Incarnation
	}
	return r.State > uint8(n.State)
}

func (c *Core) mergeNote(now time.Time, n Note) {
	if len(n.Data) > maxNoteBytes {
		return
	}
	if _, seen := c.notes[n.ID]; seen {
		return
	}
	c.notes[n.ID] = now.Add(noteRetention)
	c.queue.addNote(n)
	if c.cfg.OnNote != nil {
		c.cfg.OnNote(n.Kind, n.Data)
	}
}
