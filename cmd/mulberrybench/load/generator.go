package load

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/pause"
)

// Options of a generator.
type Options struct {
	// EntryAddrs are the front addresses of the nodes that callers use.
	EntryAddrs []string
	// MaxInFlight bounds the requests in flight; a shot above it is counted as missed.
	MaxInFlight int
	// Timeout is sent with each request as Mulberry-Timeout.
	Timeout time.Duration
	// WarmUp is how long the run is not measured; answers are checked all the
	// same.
	WarmUp time.Duration
	// RepeatEvery is every how many answered keyed requests one is sent again with
	// the same key; 0 for never.
	RepeatEvery int
	// Header is added to every request.
	Header map[string]string
}

// resends bounds how often a caller sends a keyed request again after an
// unknown outcome.
const resends = 3

// resendWait is the pause of the caller before it does so.
const resendWait = 200 * time.Millisecond

// failovers bounds how many further nodes a caller tries when a node takes no
// work at all.
const failovers = 3

// Generator sends shots. It is used for one run.
type Generator struct {
	opt      Options
	client   *http.Client
	inFlight atomic.Int64
	keyed    atomic.Int64
	group    sync.WaitGroup
	mu       sync.Mutex
	report   *Report
}

// New returns a generator.
func New(opt Options) *Generator {
	transport := &http.Transport{MaxIdleConnsPerHost: opt.MaxInFlight, DisableCompression: true}
	return &Generator{opt: opt, client: &http.Client{Transport: transport}}
}

// Run sends the shots at their times and returns when all answers are in.
func (g *Generator) Run(ctx context.Context, mix []Route, shots []Arrival) *Report {
	g.report = newReport(mix, g.opt.WarmUp, g.opt.Timeout)
	begin := time.Now()
	defer g.client.CloseIdleConnections()
	for _, s := range shots {
		if !pause.For(ctx, time.Until(begin.Add(s.At))) {
			break
		}
		if g.inFlight.Load() >= int64(g.opt.MaxInFlight) {
			g.miss(s)
			continue
		}
		g.inFlight.Add(1)
		g.group.Go(func() {
			defer g.inFlight.Add(-1)
			g.run(ctx, Call{Arrival: s, Start: begin.Add(s.At)}, mix[s.Route])
		})
	}
	g.group.Wait()
	g.report.Elapsed = time.Since(begin)
	return g.report
}

func (g *Generator) miss(s Arrival) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report.miss(s)
}

// run is one caller: it tries other nodes when one takes no work, and sends a
// keyed request again after an unknown outcome.
func (g *Generator) run(ctx context.Context, c Call, r Route) {
	entry := c.EntryIndex
	g.try(ctx, &c, r, &entry)
	first := c.Last()
	for n := 0; n < resends && r.Keyed && c.Last().Outcome == Unknown && pause.For(ctx, resendWait); n++ {
		entry++
		g.try(ctx, &c, r, &entry)
	}
	if r.Keyed && first.Outcome == Answered && g.opt.RepeatEvery > 0 && g.keyed.Add(1)%int64(g.opt.RepeatEvery) == 0 {
		entry++
		g.try(ctx, &c, r, &entry)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report.add(c, first)
}

// try sends the request, to further nodes when one takes no work at all.
func (g *Generator) try(ctx context.Context, c *Call, r Route, entry *int) {
	for n := 0; ; n++ {
		addr := g.opt.EntryAddrs[*entry%len(g.opt.EntryAddrs)]
		c.Attempts = append(c.Attempts, g.send(ctx, c, r, addr))
		if n == failovers || !closed(c.Last()) {
			return
		}
		*entry++
	}
}

// closed reports whether the node itself takes no work, so that another node
// may.
func closed(s Attempt) bool {
	return s.Outcome == NotRun && slices.Contains([]string{"dial", "domainout", "leaving", "isolated", "noconfig"}, s.Reason)
}
