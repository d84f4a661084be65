package backend

import (
	"net"
	"sync"
	"time"

	"github.com/mulberrylink/mulberrylink"
)

const (
	// cutSettle is the time in which the connections of a dead process are
	// seen to end one after the other.
	cutSettle = 10 * time.Millisecond
	// deathPause is the time in which later findings belong to a death that
	// has been reported.
	deathPause = 500 * time.Millisecond
	// checkTime bounds the connection attempt that checks whether the
	// upstream still listens.
	checkTime = 100 * time.Millisecond
)

// flight is one request that the upstream may be running.
type flight struct {
	mark  uint64 // fingerprint
	start time.Time
	cut   bool
}

// deaths recognizes that the upstream died from what happens to requests.
type deaths struct {
	mu       sync.Mutex
	flying   map[*flight]struct{}
	reported time.Time
}

func (d *deaths) init() { d.flying = make(map[*flight]struct{}) }

func (d *deaths) enter(mark uint64) *flight {
	f := &flight{mark: mark, start: time.Now()}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.flying[f] = struct{}{}
	return f
}

func (d *deaths) leave(f *flight) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.flying, f)
}

func (d *deaths) cutOff(f *flight) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f.cut = true
}

// allCut reports whether several requests were in flight at the given time and
// the connection of each of them was cut. A cut request is in flight until its
// result is returned.
func (d *deaths) allCut(at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for f := range d.flying {
		if f.start.After(at) {
			continue
		}
		if !f.cut {
			return false
		}
		n++
	}
	return n > 1
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
	for f := range d.flying {
		prints = append(prints, f.mark)
	}
	if died != nil {
		died(prints)
	}
}

// failed looks at a request without an answer for signs of a dead upstream.
func (b *Backend) failed(c *client, f *flight, t *try) {
	switch {
	case t.Refused:
		b.deaths.leave(f) // it was not run and is no suspect
		b.deaths.report(b.cfg.Died, time.Now())
	case t.cut && b.dead(c, f):
		t.Died = true
		t.Reason = mulberrylink.ReasonCrashed
		b.deaths.report(b.cfg.Died, time.Now())
	}
}

func (b *Backend) cutAnswer(c *client, f *flight) {
	if b.dead(c, f) {
		b.deaths.report(b.cfg.Died, time.Now())
	}
}

// dead reports whether the upstream died after the connection of f was cut: it
// does not listen any more, or every request in flight was cut. The latter
// finds an upstream that has been restarted already.
func (b *Backend) dead(c *client, f *flight) bool {
	now := time.Now()
	b.deaths.cutOff(f)
	time.Sleep(cutSettle)
	conn, err := net.DialTimeout("tcp", c.target.Addr, checkTime) //nolint:noctx // bounded by its own timeout
	if err != nil {
		return true
	}
	_ = conn.Close()
	return b.deaths.allCut(now)
}
