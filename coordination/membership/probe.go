package membership

import (
	"sort"
	"time"

	"github.com/mulberrylink/mulberrylink"
)

// probeNext pings the next member in probeOrder. Every member is probed once in each round, in
// random order.
func (c *Core) probeNext(now time.Time) {
	for range len(c.probeOrder) + 1 {
		if c.probeIndex >= len(c.probeOrder) {
			c.shuffleProbeOrder()
			if len(c.probeOrder) == 0 {
				return
			}
		}
		name := c.probeOrder[c.probeIndex]
		c.probeIndex++
		m, ok := c.members[name]
		if !ok || m.node.State == mulberrylink.NodeGone {
			continue
		}
		c.ping(now, name, m.node.Addr)
		return
	}
}

func (c *Core) shuffleProbeOrder() {
	c.probeOrder = c.probeOrder[:0]
	for name, m := range c.members {
		if m.node.State != mulberrylink.NodeGone {
			c.probeOrder = append(c.probeOrder, name)
		}
	}
	sort.Strings(c.probeOrder)
	c.cfg.Rand.Shuffle(len(c.probeOrder), func(i, j int) { c.probeOrder[i], c.probeOrder[j] = c.probeOrder[j], c.probeOrder[i] })
	c.probeIndex = 0
}

func (c *Core) ping(now time.Time, name, addr string) {
	c.seq++
	c.probes[c.seq] = &probe{
		target:     name,
		seq:        c.seq,
		indirectAt: now.Add(c.cfg.AckTimeout),
		deadline:   now.Add(c.cfg.Period),
	}
	d := c.datagram(KindPing)
	d.Seq = c.seq
	c.sendWithUpdates(addr, d)
}

// checkProbes asks other members to probe a target that did not acknowledge a ping in time, and
// suspects it if the indirect probes are not acknowledged either.
func (c *Core) checkProbes(now time.Time) {
	for _, seq := range c.sortedProbeSeqs() {
		p := c.probes[seq]
		m, ok := c.members[p.target]
		if !ok {
			delete(c.probes, seq)
			continue
		}
		if !p.indirectSent && now.After(p.indirectAt) {
			p.indirectSent = true
			c.sendPingRequests(p, m.node.Addr)
		}
		if now.After(p.deadline) {
			delete(c.probes, seq)
			c.suspect(now, m)
		}
	}
}

func (c *Core) sortedProbeSeqs() []uint32 {
	seqs := make([]uint32, 0, len(c.probes))
	for seq := range c.probes {
		seqs = append(seqs, seq)
	}
	sort.Slice(seqs, func(i, j int) bool { return seqs[i] < seqs[j] })
	return seqs
}

func (c *Core) sendPingRequests(p *probe, addr string) {
	for _, m := range c.randomMembers(indirectProbes, p.target) {
		d := c.datagram(KindPingRequest)
		d.Seq = p.seq
		d.Target = addr
		c.sendWithUpdates(m.node.Addr, d)
	}
}

// suspect marks a ready member as suspect. A leaving member becomes gone at once.
func (c *Core) suspect(now time.Time, m *member) {
	if m.node.State != mulberrylink.NodeReady && m.node.State != mulberrylink.NodeLeaving {
		return
	}
	if m.node.State == mulberrylink.NodeLeaving {
		m.node.State = mulberrylink.NodeGone
		c.retainGone(now, m)
	} else {
		m.node.State = mulberrylink.NodeSuspect
		m.deadline = now.Add(c.suspectTimeout())
		c.recordsChanged = true
	}
	c.queue.addRecord(m.node.Name, false)
}

// randomMembers returns up to n random members that are not gone.
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

// pushUrgent sends the queued updates to a few random members at once. If the token bucket does
// not allow it, the updates stay urgent and a later tick pushes them.
func (c *Core) pushUrgent() {
	members := c.randomMembers(pushFanout, "")
	cost := len(members) * (maxDatagramBytes + udpOverheadBytes)
	if len(members) == 0 || c.bucket.tokens < float64(cost) {
		return
	}
	d := c.datagram(KindPush)
	c.queue.clearUrgent(c.queue.fill(&d, len(c.members)+1, c.recordFor))
	for _, m := range members {
		c.send(m.node.Addr, d)
	}
}

// announceVersion tells a few random members at once that a new configuration is in force on this
// node. Afterwards the version is carried by every datagram.
func (c *Core) announceVersion() {
	for _, m := range c.randomMembers(pushFanout, "") {
		c.send(m.node.Addr, c.datagram(KindPush))
	}
}

// datagram returns a datagram of this member without records and notes.
func (c *Core) datagram(kind Kind) Datagram {
	return Datagram{
		Kind: kind, From: c.self.Name, Addr: c.self.Addr, Version: c.self.Version, Digest: c.digest(),
	}
}

func (c *Core) recordFor(name string) (Record, bool) {
	if name == c.self.Name {
		return recordOf(c.self), true
	}
	m, ok := c.members[name]
	if !ok {
		return Record{}, false
	}
	return recordOf(m.node), true
}

// sendWithUpdates sends d, with queued updates if the token bucket allows them.
func (c *Core) sendWithUpdates(addr string, d Datagram) {
	if c.bucket.tokens > maxDatagramBytes {
		c.queue.fill(&d, len(c.members)+1, c.recordFor)
	}
	c.send(addr, d)
}

// send sends d even if the token bucket is empty.
func (c *Core) send(addr string, d Datagram) {
	size := d.size() + udpOverheadBytes
	c.bucket.takeUnchecked(size)
	c.sentBytes += uint64(size)
	c.outgoing = append(c.outgoing, Packet{To: addr, Datagram: d})
}
