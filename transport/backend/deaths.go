package backend

import (
	"net"
	"sync"
	"time"

	"github.com/mulberrylink/mulberrylink"
)

const (
	// cutWindow is the time in which several cut connections count as one
	// death of the upstream.
	cutWindow = 200 * time.Millisecond
	// deathPause is the time in which later findings belong to a death that
	// has been reported.
	deathPause = 500 * time.Millisecond
	// checkTime bounds the connection attempt that checks whether the
	// upstream still listens.
	checkTime = 100 * time.Millisecond
)

// deaths recognizes that the upstream died from what happens to requests.
type deaths struct {
	mu       sync.Mutex
	next     uint64
	flying   map[uint64]uint64 // number of the flight -> fingerprint
	cuts     []time.Time
	reported time.Time
}

func (d *deaths) init() { d.flying = make(map[uint64]uint64) }

func (d *deaths) enter(mark uint64) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.next++
	d.flying[d.next] = mark
	return d.next
}

func (d *deaths) leave(flight uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.flying, flight)
}

// countCut notes a cut connection and reports whether there were several.
func (d *deaths) countCut(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	kept := d.cuts[:0]
	for _, at := range d.cuts {
		if now.Sub(at) < cutWindow {
			kept = append(kept, at)
		}
	}
	d.cuts = append(kept, now)
	return len(d.cuts) > 1
}

// report calls died once for each death. It holds the mutex meanwhile, so that
// no other request of the same death gets its result before the report is out.
func (d *deaths) report(died func([]uint64), now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.reported) < deathPause || len(d.flying) == 0 {
		return
	}
	d.reported = now
	prints := make([]uint64, 0, len(d.flying))
	for _, p := range d.flying {
		prints = append(prints, p)
	}
	if died != nil {
		died(prints)
	}
}

// failed looks at a request without an answer for signs of a dead upstream.
func (b *Backend) failed(c *client, flight uint64, t *try) {
	switch {
	case t.Refused:
		b.deaths.leave(flight) // it was not run and is no suspect
		b.deaths.report(b.cfg.Died, time.Now())
	case t.cut && b.dead(c):
		t.Died = true
		t.Reason = mulberrylink.ReasonCrashed
		b.deaths.report(b.cfg.Died, time.Now())
	}
}

func (b *Backend) cutAnswer(c *client) {
	if b.dead(c) {
		b.deaths.report(b.cfg.Died, time.Now())
	}
}

// dead reports whether the upstream died: several connections were cut
// together, or it does not listen any more.
func (b *Backend) dead(c *client) bool {
	if b.deaths.countCut(time.Now()) {
		return true
	}
	conn, err := net.DialTimeout("tcp", c.target.Addr, checkTime) //nolint:noctx // bounded by its own timeout
	if err != nil {
		return true
	}
	_ = conn.Close()
	return false
}
