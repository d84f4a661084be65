package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrylink/mulberrylink"
)

// requestJoin asks random seeds for records until another member is known.
func (c *Core) requestJoin(now time.Time) {
	if now.Before(c.nextJoin) || c.liveCount() > 0 {
		return
	}
	c.nextJoin = now.Add(joinInterval)
	for _, addr := range c.randomSeeds(pushFanout) {
		c.requestPage(addr)
	}
}

// requestSync asks a random member for the next page of records. The first pass after joining is
// fast; later slow passes repair missed updates.
func (c *Core) requestSync(now time.Time) {
	if now.Before(c.nextSync) {
		return
	}
	c.nextSync = now.Add(syncInterval)
	if !c.joined {
		c.nextSync = now.Add(syncPageDelay)
	}
	for _, m := range c.randomMembers(1, "") {
		c.requestPage(m.node.Addr)
	}
}

// reconnect requests records from one address that may belong to another part of the group: that of a
// member that is gone, or of a seed that is not a live member. This reunites the group after a
// partition.
func (c *Core) reconnect(now time.Time) {
	if now.Before(c.nextReconnect) {
		return
	}
	c.nextReconnect = now.Add(reconnectInterval)
	var addrs []string
	live := make(map[string]bool)
	for _, name := range c.sortedNames() {
		m := c.members[name]
		if m.node.State != mulberrylink.NodeGone {
			live[m.node.Addr] = true
		} else {
			addrs = append(addrs, m.node.Addr)
		}
	}
	for _, addr := range c.cfg.Seeds {
		if !live[addr] && addr != c.self.Addr {
			addrs = append(addrs, addr)
		}
	}
	if len(addrs) > 0 {
		c.requestPage(addrs[c.cfg.Rand.IntN(len(addrs))])
	}
}

// liveCount returns the number of other members that are not gone.
func (c *Core) liveCount() int {
	n := 0
	for _, m := range c.members {
		if m.node.State != mulberrylink.NodeGone {
			n++
		}
	}
	return n
}

func (c *Core) randomSeeds(n int) []string {
	var seeds []string
	for _, addr := range c.cfg.Seeds {
		if addr != c.self.Addr {
			seeds = append(seeds, addr)
		}
	}
	c.cfg.Rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	return seeds[:min(n, len(seeds))]
}

// requestPage requests the records after syncCursor. The request carries the own record, so that
// the receiver learns of this member.
func (c *Core) requestPage(addr string) {
	d := c.datagram(KindSyncRequest)
	d.Target = c.syncCursor
	d.Records = []Record{recordOf(c.self)}
	c.send(addr, d)
}

// sendPage replies with the records after the requested name. The reply is dropped if the token
// bucket does not allow it; the requester asks again.
func (c *Core) sendPage(req Datagram) {
	d := c.datagram(KindSyncReply)
	d.Target = req.Target
	d.Last = true
	room := maxDatagramBytes - d.size()
	for _, n := range c.All() {
		if n.Name <= req.Target || n.Name == req.From {
			continue
		}
		r := recordOf(n)
		if r.size() > room {
			d.Last = false
			break
		}
		room -= r.size()
		d.Records = append(d.Records, r)
	}
	if c.bucket.take(d.size() + udpOverheadBytes) {
		c.sentBytes += uint64(d.size() + udpOverheadBytes)
		c.outgoing = append(c.outgoing, Packet{To: req.Addr, Datagram: d})
	}
}

// handlePage advances the cursor past a page that was requested.
func (c *Core) handlePage(now time.Time, d Datagram) {
	if d.Target != c.syncCursor {
		return
	}
	if !c.joined {
		c.nextSync = now.Add(syncPageDelay)
	}
	if !d.Last && len(d.Records) > 0 {
		c.syncCursor = d.Records[len(d.Records)-1].Name
		return
	}
	c.syncCursor = c.randomCursor()
	c.joined = c.joined || c.liveCount() > 0
}

// randomCursor returns the cursor for the next pass: the start of the list, or with a probability
// of one half a random name. Passes that always start at the first name request the same pages
// again while other members hold few records, as when many nodes start at once.
func (c *Core) randomCursor() string {
	names := c.sortedNames()
	if len(names) == 0 || c.cfg.Rand.IntN(2) == 0 {
		return ""
	}
	return names[c.cfg.Rand.IntN(len(names))]
}

// compareDigest schedules the next sync soon if the digest of the sender differs: one of the two
// has missed an update, as after joining or after a partition. After digestMatchLimit matching
// digests it drops queued records that the other members hold.
func (c *Core) compareDigest(now time.Time, d Datagram) {
	if d.Digest == c.digest() {
		if c.digestMatches++; c.digestMatches == digestMatchLimit {
			c.queue.dropRecords(c.coveredByDigest)
		}
		return
	}
	c.digestMatches = 0
	if soon := now.Add(syncMismatchDelay); soon.Before(c.nextSync) {
		c.nextSync = soon
	}
}

// coveredByDigest reports whether members with the same digest hold the same record of the named
// node. The digest does not cover suspicions.
func (c *Core) coveredByDigest(name string) bool {
	m, ok := c.members[name]
	return !ok || m.node.State != mulberrylink.NodeSuspect
}

// digest returns the same value on members that hold the same names and incarnations. It does not
// include suspicions, because they are temporary.
func (c *Core) digest() uint64 {
	if !c.digestStale {
		return c.cachedDigest
	}
	c.digestStale = false
	c.cachedDigest = recordDigest(c.self)
	for _, m := range c.members {
		if m.node.State != mulberrylink.NodeGone {
			c.cachedDigest ^= recordDigest(m.node)
		}
	}
	return c.cachedDigest
}

func recordDigest(n mulberrylink.Node) uint64 {
	var h xxhash.Digest
	h.ResetWithSeed(n.Incarnation)
	_, _ = h.WriteString(n.Name)
	return h.Sum64()
}
