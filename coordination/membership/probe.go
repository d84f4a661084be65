package membership

import (
	"sort"
	"time"

	"github.com/mulberrylink/mulberrylink"
)

// probeNext pings the next member of the round. Every member is probed once in
// each round, in a random order.
func (c *Core) probeNext(now time.Time) {
	for range len(c.order) + 1 {
		if c.next >= len(c.order) {
			c.shuffle()
			if len(c.order) == 0 {
				return
			}
		}
		name := c.order[c.next]
		c.next++
		m, ok := c.members[name]
		if !ok || m.node.State == mulberrylink.NodeGone {
			continue
		}
		c.ping(now, name, m.node.Addr)
		return
	}
}

func (c *Core) shuffle() {
	c.order = c.order[:0]
	for name, m := range c.members {
		if m.node.State != mulberrylink.NodeGone {
			c.order = append(c.order, name)
		}
	}
	sort.Strings(c.order)
	c.cfg.Rand.Shuffle(len(c.order), func(i, j int) { c.order[i], c.order[j] = c.order[j], c.order[i] })
	c.next = 0
}

func (c *Core) ping(now time.Time, name, addr string) {
	c.seq++
	c.probes[c.seq] = &probe{
		target:   name,
		seq:      c.seq,
		indirect: now.Add(c.cfg.AckTimeout),
		deadline: now.Add(c.cfg.Period),
	}
	d := c.datagram(KindPing)
	d.Seq = c.seq
	c.sendFilled(addr, d)
}

// checkProbes asks others to probe a member that did not answer, and suspects
// it when they get no answer either.
func (c *Core) checkProbes(now time.Time) {
	for _, seq := range c.probeSeqs() {
		p := c.probes[seq]
		m, ok := c.members[p.target]
		if !ok {
			delete(c.probes, seq)
			continue
		}
		if !p.asked && now.After(p.indirect) {
			p.asked = true
			c.askOthers(p, m.node.Addr)
		}
		if now.After(p.deadline) {
			delete(c.probes, seq)
			c.suspect(now, m)
		}
	}
}

func (c *Core) probeSeqs() []uint32 {
	seqs := make([]uint32, 0, len(c.probes))
	for seq := range c.probes {
		seqs = append(seqs, seq)
	}
	sort.Slice(seqs, func(i, j int) bool { return seqs[i] < seqs[j] })
	return seqs
}

func (c *Core) askOthers(p *probe, addr string) {
	for _, m := range c.randomMembers(indirectProbes, p.target) {
		d := c.datagram(KindPingRequest)
		d.Seq = p.seq
		d.Target = addr
		c.sendFilled(m.node.Addr, d)
	}
}

func (c *Core) suspect(now time.Time, m *member) {
	if m.node.State != mulberrylink.NodeReady && m.node.State != mulberrylink.NodeLeaving {
		return
	}
	if m.node.State == mulberrylink.NodeLeaving {
		m.node.State = mulberrylink.NodeGone
		c.setGone(now, m)
	} else {
		m.node.State = mulberrylink.NodeSuspect
		m.deadline = now.Add(c.suspectTimeout())
		c.changed = true
	}
	c.queue.addRecord(m.node.Name, false)
}

// randomMembers returns up to n members that are not gone.
func (c *Core) randomMembers(n int, except string) []*member {
	var all []*member
	for _, name := range c.sortedNames() {
		if m := c.members[name]; name != except && m.node.State != mulberrylink.NodeGone {
			all = append(all, m)
		}
	}
	c.cfg.Rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// push sends the waiting updates to a few members at once. When the byte limit
// does not allow it, the updates stay urgent and a later tick pushes them.
func (c *Core) push() {
	members := c.randomMembers(pushFanout, "")
	cost := len(members) * (maxDatagramBytes + udpOverheadBytes)
	if len(members) == 0 || c.bucket.tokens < float64(cost) {
		return
	}
	d := c.datagram(KindPush)
	c.queue.clearUrgent(c.queue.fill(&d, len(c.members)+1, c.record))
	for _, m := range members {
		c.send(m.node.Addr, d)
	}
}

// announceVersion tells a few members at once that a new configuration is in
// force here; the version then rides on every datagram.
func (c *Core) announceVersion() {
	for _, m := range c.randomMembers(pushFanout, "") {
		c.send(m.node.Addr, c.datagram(KindPush))
	}
}

func (c *Core) datagram(kind Kind) Datagram {
	return Datagram{
		Kind: kind, From: c.self.Name, Addr: c.self.Addr, Version: c.self.Version, Digest: c.digest(),
	}
}

func (c *Core) record(name string) (Record, bool) {
	if name == c.self.Name {
		return recordOf(c.self), true
	}
	m, ok := c.members[name]
	if !ok {
		return Record{}, false
	}
	return recordOf(m.node), true
}

// sendFilled sends d with updates when the byte limit allows them, and without
// when it does not.
func (c *Core) sendFilled(addr string, d Datagram) {
	if c.bucket.tokens > maxDatagramBytes {
		c.queue.fill(&d, len(c.members)+1, c.record)
	}
	c.send(addr, d)
}

func (c *Core) send(addr string, d Datagram) {
	size := d.size() + udpOverheadBytes
	c.bucket.force(size)
	c.sentBytes += uint64(size)
	c.out = append(c.out, Packet{To: addr, Datagram: d})
}
