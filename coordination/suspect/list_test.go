package suspect_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/mulberrylink/mulberrylink/coordination/suspect"
)

type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

func newList(c *clock) *suspect.List { return suspect.New(suspect.Config{Clock: c}) }

const (
	crasher   = uint64(1)
	upstreams = 5
)

// fleet simulates five upstreams with a List on each node. Every caller sends its request
// again after each response. Notices reach all nodes before a caller gets its response, each
// of them twice and in any order.
type fleet struct {
	clock   clock
	lists   []*suspect.List
	running [][]uint64
	alone   []bool
	down    []bool
	crashes int
	refused int
}

func newFleet() *fleet {
	f := &fleet{clock: clock{now: time.Unix(1000, 0)}}
	for range upstreams {
		f.lists = append(f.lists, newList(&f.clock))
		f.running = append(f.running, nil)
	}
	f.alone, f.down = make([]bool, upstreams), make([]bool, upstreams)
	return f
}

func (f *fleet) broadcast(rt *rapid.T, notices []suspect.Notice) {
	for _, l := range f.lists {
		duplicated := slices.Concat(notices, notices)
		for _, n := range rapid.Permutation(duplicated).Draw(rt, "order") {
			l.Merge(n)
		}
	}
}

// send starts a request on an upstream if its verdict permits it.
func (f *fleet) send(rt *rapid.T, at int, fingerprint uint64) {
	if f.down[at] || f.alone[at] || slices.ContainsFunc(f.running, func(r []uint64) bool {
		return slices.Contains(r, fingerprint)
	}) {
		return
	}
	switch f.lists[at].Verdict(fingerprint) {
	case suspect.Refuse:
		f.refused++
		if fingerprint != crasher {
			rt.Fatalf("harmless request %d was refused", fingerprint)
		}
		return
	case suspect.Alone:
		if len(f.running[at]) > 0 {
			return
		}
		f.alone[at] = true
	case suspect.Normal:
	}
	f.running[at] = append(f.running[at], fingerprint)
}

// finish ends all requests on an upstream. The crasher, if it is among them, crashes the
// upstream.
func (f *fleet) finish(rt *rapid.T, at int) {
	fingerprints := f.running[at]
	alone := f.alone[at]
	f.running[at], f.alone[at] = nil, false
	if slices.Contains(fingerprints, crasher) {
		f.down[at] = true
		f.crashes++
		f.broadcast(rt, f.lists[at].RecordCrash(fingerprints))
	} else {
		for _, p := range fingerprints {
			f.broadcast(rt, f.lists[at].RecordCompletion(p, alone))
		}
	}
	if f.crashes > 2 {
		rt.Fatalf("one request crashed %d of %d upstreams", f.crashes, upstreams)
	}
}

// TestCrasher guards against a request that crashes upstream after upstream, and against
// harmless requests that stay suspects.
func TestCrasher(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet()
		at := rapid.IntRange(0, upstreams-1)
		rt.Repeat(map[string]func(*rapid.T){
			"send":   func(rt *rapid.T) { f.send(rt, at.Draw(rt, "at"), rapid.Uint64Range(1, 6).Draw(rt, "print")) },
			"finish": func(rt *rapid.T) { f.finish(rt, at.Draw(rt, "at")) },
			"return": func(rt *rapid.T) { f.down[at.Draw(rt, "at")] = false },
			"wait":   func(rt *rapid.T) { f.clock.now = f.clock.now.Add(time.Second) },
		})
		for i := range upstreams {
			f.finish(rt, i)
			f.down[i] = false
		}
		for p := uint64(2); p <= 6; p++ {
			f.send(rt, 0, p)
			f.finish(rt, 0)
			if v := f.lists[1].Verdict(p); v != suspect.Normal {
				rt.Fatalf("harmless request %d is %s after a complete run", p, v)
			}
		}
	})
}

// TestMerge guards against nodes whose lists never converge: the order and number of arrivals
// of the same notices must not matter.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := &clock{now: time.Unix(1000, 0)}
		notices := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) suspect.Notice {
			return suspect.Notice{
				Fingerprint: rapid.Uint64Range(1, 3).Draw(t, "print"),
				Stage:       rapid.Uint32Range(0, 8).Draw(t, "stage"),
				Until:       c.now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "s")) * time.Second),
			}
		}), 1, 10).Draw(rt, "notices")
		a, b := newList(c), newList(c)
		for _, n := range notices {
			a.Merge(n)
		}
		for _, n := range rapid.Permutation(slices.Concat(notices, notices)).Draw(rt, "again") {
			b.Merge(n)
		}
		if !slices.Equal(a.Notices(), b.Notices()) {
			rt.Fatalf("lists differ: %v and %v", a.Notices(), b.Notices())
		}
	})
}

// TestDeadlines guards against a request that is refused forever after a coincidence, and
// against one that crashes an upstream each time that its refusal ends.
func TestDeadlines(t *testing.T) {
	is := is.New(t)
	c := &clock{now: time.Unix(1000, 0)}
	l := newList(c)
	l.RecordCrash([]uint64{crasher, 2})
	l.RecordCrash([]uint64{crasher})
	is.Equal(l.Verdict(crasher), suspect.Refuse)
	c.now = c.now.Add(suspect.DefaultRefuseFor)
	is.Equal(l.Verdict(crasher), suspect.Alone)
	is.Equal(l.Verdict(2), suspect.Normal) // its record has expired
	l.RecordCrash([]uint64{crasher})
	c.now = c.now.Add(2*suspect.DefaultRefuseFor - 1)
	is.Equal(l.Verdict(crasher), suspect.Refuse) // twice as long
	c.now = c.now.Add(1)
	l.RecordCompletion(crasher, true)
	is.Equal(l.Verdict(crasher), suspect.Normal)
	l.RecordCrash([]uint64{crasher})
	is.Equal(l.Verdict(crasher), suspect.Alone) // a new crash after it was cleared
}

// TestSize guards against memory that grows with the number of fingerprints, and against
// evicting crashers first.
func TestSize(t *testing.T) {
	is := is.New(t)
	c := &clock{now: time.Unix(1000, 0)}
	l := suspect.New(suspect.Config{Clock: c, MaxRecords: 100})
	l.ConfirmCrasher(crasher)
	for i := range uint64(1000) {
		l.RecordCrash([]uint64{i + 2, i + 3})
	}
	is.Equal(len(l.Notices()), 100)
	is.Equal(l.Verdict(crasher), suspect.Refuse)
}

// TestTwins checks the bounds for a request that runs on two upstreams at the same time:
// three crashes when it comes from two callers, two when both are attempts of one hedged
// request.
func TestTwins(t *testing.T) {
	is := is.New(t)
	c := &clock{now: time.Unix(1000, 0)}
	l := newList(c)
	l.RecordCrash([]uint64{crasher, 2})
	l.RecordCrash([]uint64{crasher, 3})
	is.Equal(l.Verdict(crasher), suspect.Alone) // other requests were in flight both times
	l.RecordCrash([]uint64{crasher})
	is.Equal(l.Verdict(crasher), suspect.Refuse)

	l = newList(c)
	l.RecordCrash([]uint64{crasher, 2})
	l.RecordCrash([]uint64{crasher, 3})
	l.ConfirmCrasher(crasher)
	is.Equal(l.Verdict(crasher), suspect.Refuse)
	is.Equal(len(l.ConfirmCrasher(crasher)), 0)
}

// Guards against a suspect that is not recognized as the cause because harmless requests ran beside
// it, and against harmless requests that are refused with it.
func TestOnlySuspectInFlightIsTheCause(t *testing.T) {
	is := is.New(t)
	l := newList(&clock{now: time.Unix(1000, 0)})
	l.RecordCrashBesideOthers([]uint64{crasher, 2, 3})
	is.Equal(l.Verdict(crasher), suspect.Alone)
	l.RecordCrashBesideOthers([]uint64{crasher, 3})
	is.Equal(l.Verdict(crasher), suspect.Alone) // either may be the cause
	l.RecordCompletion(3, true)
	l.RecordCrashBesideOthers([]uint64{4, crasher, 5, crasher})
	is.Equal(l.Verdict(crasher), suspect.Refuse)
	is.Equal(l.Verdict(3), suspect.Normal)
	is.Equal(l.Verdict(4), suspect.Alone)
}

// Guards against a popular request that becomes a suspect at each crash, and against a completion
// that counts for longer than two periods.
func TestRecentCompletionIsNoSuspect(t *testing.T) {
	is := is.New(t)
	c := &clock{now: time.Unix(1000, 0)}
	l := newList(c)
	l.RecordCompletion(7, true)
	c.now = c.now.Add(900 * time.Millisecond)
	l.RecordCrashBesideOthers([]uint64{7, 8})
	is.Equal(l.Verdict(7), suspect.Normal)
	is.Equal(l.Verdict(8), suspect.Alone)
	c.now = c.now.Add(2 * time.Second)
	l.RecordCrashBesideOthers([]uint64{7})
	is.Equal(l.Verdict(7), suspect.Alone)
}

// Guards against a subscriber that misses a change or is sent the same one again.
func TestChangesAreSentOnce(t *testing.T) {
	is := is.New(t)
	c := &clock{now: time.Unix(1000, 0)}
	l := newList(c)
	l.RecordCrash([]uint64{1, 2})
	changes, revision, next := l.ChangedSince(0)
	is.Equal(len(changes), 2)
	changes, _, _ = l.ChangedSince(revision)
	is.Equal(len(changes), 0)
	n, _ := l.Get(2)
	n.Stage++
	is.True(l.MergeFrom("peer", n))
	<-next
	changes, _, _ = l.ChangedSince(revision)
	is.Equal(changes, []suspect.Change{{Notice: n, Source: "peer"}})
}
