package gateway

import "sync"

const (
	// minIdleArrivals is the number of arrivals at an idle upstream that a route must have missed to count
	// as one of internal calls. Requests that arrive independently miss so many once in 160,000 cases.
	minIdleArrivals = 12
	// maxIdleArrivals bounds the evidence, so that a route of which callers make use later is noticed.
	maxIdleArrivals = 200
	// idleArrivalsTolerated is the part of the expected arrivals at an idle upstream that an internal route may
	// have: the upstream may go on with a request that its node has given up.
	idleArrivalsTolerated = 1.0 / 20
)

// internalCalls learns which routes carry calls of the upstream beside the node, which arrive at the same
// listener as the requests of callers. The upstream makes them only while it runs a request. Requests
// of callers arrive at an idle upstream as often as it is idle.
type internalCalls struct {
	mu      sync.Mutex
	byRoute map[string]*idleArrivals
}

// idleArrivals are the expected and the actual number of arrivals of a route while the upstream was idle.
type idleArrivals struct {
	expected, actual float64
	internal         bool // the route counts as one of internal calls
}

func newInternalCalls() *internalCalls {
	return &internalCalls{byRoute: make(map[string]*idleArrivals)}
}

// observe records an arrival of a route at an upstream that is idle for a share of the time. It returns whether
// the route is one of internal calls, and whether this has changed.
func (c *internalCalls) observe(route string, idle bool, idleShare float64) (internal, changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.byRoute[route]
	if a == nil {
		a = &idleArrivals{}
		c.byRoute[route] = a
	}
	a.expected += idleShare
	if idle {
		a.actual++
	}
	if a.expected > maxIdleArrivals {
		a.expected, a.actual = a.expected/2, a.actual/2
	}
	before := a.internal
	a.internal = a.expected >= minIdleArrivals && a.actual <= a.expected*idleArrivalsTolerated
	return a.internal, a.internal != before
}

// retain forgets the routes for which keep returns false.
func (c *internalCalls) retain(keep func(route string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for route := range c.byRoute {
		if !keep(route) {
			delete(c.byRoute, route)
		}
	}
}

// isInternalCall reports whether a request is known to be a call of the upstream beside the node. Internal
// calls carry no key of a client account. A wrong guess changes only the order among requests of one
// priority.
func (g *Gateway) isInternalCall(q *request) bool {
	if q.account != nil {
		return false
	}
	idle, idleShare := g.admission.IdleShare()
	internal, changed := g.internalCalls.observe(q.route.Name, idle, idleShare)
	if changed {
		g.log.Info().Str("route", q.route.Name).Bool("internal", internal).Float64("idle", idleShare).Msg("route of internal calls")
	}
	if idle || !internal {
		return false
	}
	g.stats.count("internal_calls")
	return true
}
