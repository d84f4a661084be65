package gateway

import (
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/state/memory"
)

const (
	// requestBytes is what a request in flight takes besides its body: stacks of its goroutines,
	// copies of its header, and a short response. peerRequestBytes is the same on the admitting
	// node.
	requestBytes     = 24 << 10
	peerRequestBytes = 16 << 10
	// minMemoryRetryAfter and maxMemoryRetryAfter bound the Retry-After of a request that is
	// refused for lack of memory.
	minMemoryRetryAfter = 250 * time.Millisecond
	maxMemoryRetryAfter = 2 * time.Second
	// refusedBodyTimeout is how long the body of a refused request is still read, so that the
	// connection can be kept.
	refusedBodyTimeout = 50 * time.Millisecond
	// minIdleTime is how long a connection must have been idle to be closed for lack of memory: the
	// first request of a new one is about to arrive.
	minIdleTime = time.Second
	// shortageLogInterval is the minimum time between two reports of a shortage.
	shortageLogInterval = time.Second
)

var errNoMemory = errors.New("no memory for the request")

// routeShares holds, for each route, the part of the budget of memory that its requests use.
type routeShares struct{ byName sync.Map }

func (s *routeShares) get(route string) *memory.Share {
	if v, ok := s.byName.Load(route); ok {
		return v.(*memory.Share) //nolint:forcetypeassert // only shares are stored
	}
	v, _ := s.byName.LoadOrStore(route, new(memory.Share))
	return v.(*memory.Share) //nolint:forcetypeassert // only shares are stored
}

// retain drops the routes for which keep returns false. Requests in flight keep their shares.
func (s *routeShares) retain(keep func(route string) bool) {
	s.byName.Range(func(k, _ any) bool {
		if route, ok := k.(string); ok && !keep(route) {
			s.byName.Delete(k)
		}
		return true
	})
}

// refuseForMemory tells a caller that its request was not run for lack of memory. Memory becomes
// free as requests end, on average after half of the timeout of their route.
func (g *Gateway) refuseForMemory(w http.ResponseWriter, req *request) {
	if req.httpReq.ContentLength != 0 { // otherwise the next request may be being read
		// A caller that sends slowly would hold up the response.
		if err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(refusedBodyTimeout)); err != nil {
			g.log.Warn().Str("request", req.id).Err(err).Msg("body of a refused request has no read deadline")
		}
	}
	retryAfter := min(max(req.route.Timeout/2, minMemoryRetryAfter), maxMemoryRetryAfter)
	g.writeError(w, req.httpReq, req, http.StatusServiceUnavailable, mulberrylink.NotRun, mulberrylink.ReasonMemory.String(), retryAfter)
}

// closeIdleConns closes some idle connections while memory is short. Those to other nodes are
// closed first, because only this node is affected by that.
func (g *Gateway) closeIdleConns() {
	if g.peerPool.CloseLongestIdle() || g.inbound.CloseLongestIdle(minIdleTime) || g.outbound.CloseLongestIdle(minIdleTime) {
		g.stats.count("memory_closed_idle")
	}
}

// shortageLog limits the log lines about shortages of memory.
type shortageLog struct {
	reportedAt atomic.Pointer[time.Time]
	reported   atomic.Bool // the current shortage was reported
}

// memoryFull reports that requests are refused for lack of memory.
func (g *Gateway) memoryFull() {
	g.stats.count("memory_shortages")
	now := time.Now()
	if last := g.shortage.reportedAt.Load(); last != nil && now.Sub(*last) < shortageLogInterval {
		return
	}
	g.shortage.reportedAt.Store(&now)
	g.shortage.reported.Store(true)
	event := g.log.Warn().Int64("budget", g.memory.Limit()).Int64("used", g.memory.Used())
	for _, k := range memory.Kinds() {
		event = event.Int64(k.String(), g.memory.UsedBy(k))
	}
	event.Msg("memory budget used up; refusing requests")
}

// memoryRelieved reports the end of a shortage.
func (g *Gateway) memoryRelieved() {
	if g.shortage.reported.Swap(false) {
		g.log.Info().Int64("budget", g.memory.Limit()).Int64("used", g.memory.Used()).Msg("memory available again")
	}
}

// updateMemoryGauges publishes the budget of memory, its use and what was given up.
func (g *Gateway) updateMemoryGauges() {
	set := func(name string, value int64) { metrics.GetOrRegisterGauge(name, g.cfg.Registry).Update(value) }
	set("memory_budget", g.memory.Limit())
	set("memory_used", g.memory.Used())
	for _, k := range memory.Kinds() {
		set("memory_used."+k.String(), g.memory.UsedBy(k))
		set("memory_refused."+k.String(), g.memory.Refused(k))
	}
}
