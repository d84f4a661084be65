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
	// aliveAfter is when an older connection that is still open shows that
	// the process lives.
	aliveAfter = 50 * time.Millisecond
	// decideTime is how long the caller of a cut request waits for signs of
	// a death. An upstream that restarts at once announces itself within it.
	decideTime = 300 * time.Millisecond
	// rememberTime is how long a cut request can be blamed for a death that
	// shows later.
	rememberTime = 5 * time.Second
	// maxRemembered bounds the cut requests that are remembered.
	maxRemembered = 256
	// checkTime bounds the connection attempt that checks whether the
	// upstream still listens.
	checkTime = 100 * time.Millisecond
)

// flight is one request that the upstream may be running.
type flight struct {
	mark     uint64 // fingerprint
	start    time.Time
	life     uint64 // the upstream's life it was sent in
	written  written
	cut      bool
	reported bool
}

// remembered is a cut request whose caller has been answered.
type remembered struct {
	mark    uint64
	expires time.Time
}

// deaths recognizes that the upstream died from what happens to requests and
// from its announcements.
type deaths struct {
	mu     sync.Mutex
	flying map[*flight]struct{}
	cuts   []remembered // of the present life, oldest first
	// life counts the incarnations that were announced.
	life        uint64
	incarnation uint64
	// next is closed when the next life begins.
	next chan struct{}
}

func (d *deaths) init() {
	d.flying = make(map[*flight]struct{})
	d.next = make(chan struct{})
}

func (d *deaths) enter(mark uint64) *flight {
	f := &flight{mark: mark, start: time.Now()}
	d.mu.Lock()
	defer d.mu.Unlock()
	f.life = d.life
	d.flying[f] = struct{}{}
	return f
}

func (d *deaths) leave(f *flight) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.flying, f)
	if f.cut && !f.reported && f.life == d.life {
		d.remember(f.mark, time.Now())
	}
}

func (d *deaths) remember(mark uint64, now time.Time) {
	d.forget(now)
	if len(d.cuts) == maxRemembered {
		d.cuts = append(d.cuts[:0], d.cuts[1:]...)
	}
	d.cuts = append(d.cuts, remembered{mark: mark, expires: now.Add(rememberTime)})
}

// forget drops the cut requests that cannot be blamed any more.
func (d *deaths) forget(now time.Time) {
	n := 0
	for n < len(d.cuts) && !now.Before(d.cuts[n].expires) {
		n++
	}
	d.cuts = append(d.cuts[:0], d.cuts[n:]...)
}

// cutOff marks f and returns a channel that is closed when the life in which
// f was sent is over.
func (d *deaths) cutOff(f *flight) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	f.cut = true
	if f.life != d.life {
		over := make(chan struct{})
		close(over)
		return over
	}
	return d.next
}

// older counts the other requests that were in flight at the given time, and
// those of them whose connection was cut. A cut request is in flight until its
// result is returned.
func (d *deaths) older(than *flight, at time.Time) (all, cut int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for f := range d.flying {
		if f == than || f.life != than.life || f.start.After(at) || f.written.none() {
			continue
		}
		all++
		if f.cut {
			cut++
		}
	}
	return all, cut
}

// begin records an announced incarnation. The requests that were cut in the
// life before are reported, because that life ended.
func (d *deaths) begin(incarnation uint64, died func([]uint64)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if incarnation == d.incarnation {
		return
	}
	var prints []uint64
	if d.incarnation != 0 && incarnation != 0 {
		prints = d.blame(func(f *flight) bool { return f.cut }, time.Now())
	}
	d.cuts = nil
	d.incarnation = incarnation
	d.life++
	tell(died, prints)
	close(d.next)
	d.next = make(chan struct{})
}

// report calls died for the requests of a life that ended. It holds the mutex
// meanwhile, so that no other request of the same death gets its result before
// the report is out.
func (d *deaths) report(life uint64, died func([]uint64), now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	tell(died, d.blame(func(f *flight) bool { return f.life <= life }, now))
}

// blame returns the fingerprints of the chosen requests in flight. Requests
// that were cut before are added when none of those in flight was cut: a death
// that a request in flight explains must not convict another one.
func (d *deaths) blame(chosen func(*flight) bool, now time.Time) []uint64 {
	var prints []uint64
	explained := false
	for f := range d.flying {
		if f.reported || !chosen(f) || f.written.none() {
			continue
		}
		f.reported = true
		explained = explained || f.cut
		prints = append(prints, f.mark)
	}
	d.forget(now)
	if !explained {
		for _, c := range d.cuts {
			prints = append(prints, c.mark)
		}
	}
	d.cuts = nil
	return prints
}

func tell(died func([]uint64), prints []uint64) {
	if died != nil && len(prints) > 0 {
		died(prints)
	}
}

// failed looks at a request without an answer for signs of a dead upstream.
func (b *Backend) failed(c *client, f *flight, t *try) {
	switch {
	case t.ConnectionRefused:
		b.deaths.leave(f) // it was not run and is no suspect
		b.gone(c, f)
	case t.cut && b.dead(c, f):
		t.Crashed = true
		t.Reason = mulberrylink.ReasonCrashed
		b.gone(c, f)
	}
}

func (b *Backend) cutAnswer(c *client, f *flight) {
	if b.dead(c, f) {
		b.gone(c, f)
	}
}

// gone reports the death and then marks the upstream as down.
func (b *Backend) gone(c *client, f *flight) {
	b.deaths.report(f.life, b.cfg.OnCrash, time.Now())
	if b.cfg.OnDown != nil {
		b.cfg.OnDown(c.target)
	}
}

// dead reports whether the upstream died after the connection of f was cut: it
// does not listen any more, every one of several requests in flight was cut, or
// it announces a new incarnation. Only the announcement shows the death of an
// upstream that ran one request and has been restarted already, so the caller
// waits for it, unless a request sent earlier is still running.
func (b *Backend) dead(c *client, f *flight) bool {
	cutAt := time.Now()
	over := b.deaths.cutOff(f)
	if !listens(c.target.Addr) {
		return true
	}
	time.Sleep(cutSettle)
	if !listens(c.target.Addr) {
		return true
	}
	if all, cut := b.deaths.older(f, cutAt); all > 0 && cut == all {
		return true
	}
	if within(over, aliveAfter-cutSettle) {
		return true
	}
	if all, cut := b.deaths.older(f, cutAt); cut < all {
		return false
	}
	return within(over, decideTime-aliveAfter)
}

func within(over <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-over:
		return true
	case <-timer.C:
		return false
	}
}

// listens reports whether the upstream accepts a connection.
func listens(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, checkTime) //nolint:noctx // bounded by its own timeout
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
