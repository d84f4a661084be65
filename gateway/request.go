package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/accounts"
	"github.com/mulberrylink/mulberrylink/coordination/quota"
	"github.com/mulberrylink/mulberrylink/coordination/routes"
	"github.com/mulberrylink/mulberrylink/state/memory"
	"github.com/mulberrylink/mulberrylink/transport/ingress"
)

// routePriorities is the number of different priorities of routes within one account priority.
const routePriorities = 1000

// request is a caller's request on its entry node.
type request struct {
	g                  *Gateway
	id                 string // request identifier of the caller
	start              time.Time
	bodyReadAt         time.Time // the start until the body has been read
	active             *activeConfig
	route              *routes.Route
	service            string
	account            *accounts.Account // nil if the caller showed no key, or the configuration has no accounts
	httpReq            *http.Request
	header             http.Header
	length             int64
	mem                *memory.Account
	body               bodyCopy  // the received part, up to maxReplayableBody
	bodyRest           io.Reader // the part after body; nil when body is complete
	streamed           bool      // bodyRest exists for lack of memory
	objective          time.Time
	deadline           time.Time
	serviceTime        time.Duration
	serviceTimeAssumed bool                  // no request of the route has been observed yet
	budgetRequest      *mulberrylink.Request // the request as the retry budget counts it
	fingerprint        uint64                // set once the body has been read
	tokens             []quota.Token         // for attempts that have not started, of an account with a limit
	internal           bool                  // a call of the upstream beside the node
	asked              time.Time             // when the caller first sent the request, before refusals
	returning          bool                  // the caller was refused and returns at the time that the refusal named
}

func (g *Gateway) newRequest(active *activeConfig, route *routes.Route, account *accounts.Account, r *http.Request, now time.Time) *request {
	timeout, ok := g.cfg.Headers.Timeout(r.Header)
	if !ok {
		timeout = defaultTimeout
	}
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout+routeTimeoutSlack)
	}
	objective := timeout
	if route.Objective > 0 {
		objective = min(timeout, max(route.Objective-g.cfg.Tuning.CallerRTT, route.Objective/2))
	}
	q := &request{
		g: g, id: g.cfg.Headers.RequestID(r.Header), start: now, asked: now, active: active, route: route, account: account, service: g.splitter.Pick(route),
		httpReq: r, mem: g.memory.NewAccount(g.routeShares.get(route.Name)), header: ingress.EndToEndHeaders(r.Header), length: r.ContentLength,
		objective: now.Add(objective), deadline: now.Add(timeout), bodyReadAt: now,
	}
	if active.table.Accounts != nil {
		g.cfg.Headers.RemoveCredential(q.header)
	}
	q.serviceTime, q.serviceTimeAssumed = g.estimateServiceTime(route)
	q.budgetRequest = &mulberrylink.Request{Service: q.service, Idempotent: route.Kind == routes.Safe, Deadline: q.deadline}
	return q
}

// priority returns the priority of the request at an upstream: that of the account goes before that
// of the route. Internal calls have no account, and their parents hold slots meanwhile, so they count
// as calls of an account of the highest priority.
func (q *request) priority() int {
	p := min(q.route.Priority, routePriorities-1)
	if q.account != nil {
		p += routePriorities * q.account.Priority
	}
	return p
}

// accountName returns the name of the client account, empty without one.
func (q *request) accountName() string {
	if q.account == nil {
		return ""
	}
	return q.account.Name
}

// resume continues a request of a caller that was refused and returns. The latency objective counts from
// the first time that the caller sent it: a response that is late for the caller must not delay those that
// can still be in time.
func (q *request) resume(asked time.Time) {
	q.returning = true
	q.objective = q.objective.Add(asked.Sub(q.asked))
	q.asked = asked
}

// end returns what the request has taken from the limits of the node.
func (q *request) end() {
	q.mem.Close()
	if q.streamed {
		q.g.streamed.Add(-1)
	}
}

// estimateServiceTime returns the service time of a route on an undisturbed host, and
// whether it is assumed instead of observed. Without an observation it is derived from the
// latency objective: the mean of the other routes is a bad estimate, because some of them
// take a millisecond.
func (g *Gateway) estimateServiceTime(r *routes.Route) (estimate time.Duration, assumed bool) {
	if estimate = g.serviceTimes.MeanOr(r.Name, 0); estimate > 0 {
		return estimate, false
	}
	if r.Objective > 0 {
		return r.Objective / serviceTimesPerObjective, true
	}
	return g.serviceTimes.Mean(r.Name), true
}

// computeFingerprint returns the same value for all copies of a request that a caller sends
// again. Of a body only the start counts that each request has when it is passed on, and not the
// length, which is unknown when the body comes in chunks.
func (q *request) computeFingerprint() uint64 {
	host := q.httpReq.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h // routes don't distinguish ports either
	}
	h := xxhash.New()
	for _, s := range []string{q.httpReq.Method, strings.ToLower(host), q.httpReq.RequestURI} {
		_, _ = h.WriteString(s) // a hash returns no errors
		_, _ = h.Write([]byte{0})
	}
	q.body.writeStartTo(h)
	return h.Sum64()
}

// replayable reports whether the body can be sent again.
func (q *request) replayable() bool { return q.bodyRest == nil }

// bodyReader returns a reader of the complete body, nil when there is none.
func (q *request) bodyReader() io.Reader {
	switch {
	case q.length == 0:
		return nil
	case q.bodyRest != nil:
		return io.MultiReader(q.body.reader(), q.bodyRest)
	}
	return q.body.reader()
}
