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

// Options configures a generator.
type Options struct {
	// EntryAddrs holds the front addresses of the nodes that callers send requests to.
	EntryAddrs []string
	// MaxInFlight bounds the requests in flight; an arrival above it is counted as missed.
	MaxInFlight int
	// Timeout is the timeout of a caller, which each request carries as Mulberry-Timeout.
	Timeout time.Duration
	// WarmUp is the time at the start of the run whose requests are checked but not measured.
	WarmUp time.Duration
	// RepeatEvery sends one of this many answered keyed requests again with the same key; 0 sends
	// none again.
	RepeatEvery int
	// Header is added to every request.
	Header map[string]string
}

// maxResends bounds how often a caller resends a keyed request after an unknown outcome.
const maxResends = 3

// resendDelay is the delay before each resend.
const resendDelay = 200 * time.Millisecond

// maxFailovers bounds the number of further entry nodes that a caller tries when a node accepts no
// requests.
const maxFailovers = 3

// Generator sends the requests of a schedule. It is used for one run.
type Generator struct {
	opt           Options
	client        *http.Client
	inFlight      atomic.Int64
	keyedAnswered atomic.Int64
	wg            sync.WaitGroup
	mu            sync.Mutex
	report        *Report
}

// New returns a generator.
func New(opt Options) *Generator {
	transport := &http.Transport{MaxIdleConnsPerHost: opt.MaxInFlight, DisableCompression: true}
	return &Generator{opt: opt, client: &http.Client{Transport: transport}}
}

// Run sends a request at the time of each arrival and returns when all have ended.
func (g *Generator) Run(ctx context.Context, mix []Route, arrivals []Arrival) *Report {
	g.report = newReport(mix, g.opt.WarmUp, g.opt.Timeout)
	begin := time.Now()
	defer g.client.CloseIdleConnections()
	for _, a := range arrivals {
		if !pause.For(ctx, time.Until(begin.Add(a.At))) {
			break
		}
		if g.inFlight.Load() >= int64(g.opt.MaxInFlight) {
			g.recordMissed(a)
			continue
		}
		g.inFlight.Add(1)
		g.wg.Go(func() {
			defer g.inFlight.Add(-1)
			g.runCall(ctx, Call{Arrival: a, Start: begin.Add(a.At)}, mix[a.Route])
		})
	}
	g.wg.Wait()
	g.report.Elapsed = time.Since(begin)
	return g.report
}

func (g *Generator) recordMissed(a Arrival) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report.addMissed(a)
}

// runCall simulates the caller of one request. It fails over to other entry nodes, and resends a
// keyed request after an unknown outcome. It also resends one of RepeatEvery answered keyed
// requests.
func (g *Generator) runCall(ctx context.Context, c Call, r Route) {
	entryIndex := c.EntryIndex
	g.sendWithFailover(ctx, &c, r, &entryIndex)
	first := c.Last()
	for n := 0; n < maxResends && r.Keyed && c.Last().Outcome == Unknown && pause.For(ctx, resendDelay); n++ {
		entryIndex++
		g.sendWithFailover(ctx, &c, r, &entryIndex)
	}
	if r.Keyed && first.Outcome == Answered && g.opt.RepeatEvery > 0 && g.keyedAnswered.Add(1)%int64(g.opt.RepeatEvery) == 0 {
		entryIndex++
		g.sendWithFailover(ctx, &c, r, &entryIndex)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report.add(c, first)
}

// sendWithFailover sends the request, and sends it to further nodes while they accept no requests.
func (g *Generator) sendWithFailover(ctx context.Context, c *Call, r Route, entryIndex *int) {
	for n := 0; ; n++ {
		addr := g.opt.EntryAddrs[*entryIndex%len(g.opt.EntryAddrs)]
		c.Attempts = append(c.Attempts, g.sendAttempt(ctx, c, r, addr))
		if n == maxFailovers || !nodeUnavailable(c.Last()) {
			return
		}
		*entryIndex++
	}
}

// nodeUnavailable reports whether the node itself accepts no requests, so that another one may.
func nodeUnavailable(a Attempt) bool {
	return a.Outcome == NotRun && slices.Contains([]string{"dial", "domainout", "leaving", "isolated", "noconfig"}, a.Reason)
}
