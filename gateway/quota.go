package gateway

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/quota"
	"github.com/mulberrylink/mulberrylink/protocol/quotas"
	"github.com/mulberrylink/mulberrylink/transport/rpc"
)

const (
	// quotaWaitShare is the part of its latency objective for which a request waits for a token.
	quotaWaitShare = 8
	// maxQuotaWait bounds the wait of a request without a short objective. The stream to a leader that
	// does not answer is ended by then.
	maxQuotaWait = 300 * time.Millisecond
)

var (
	reasonOverQuota = mulberrylink.ReasonOverQuota.String()
	reasonNoQuota   = mulberrylink.ReasonNoQuota.String()
)

// newQuotaClient returns the client of the leader of quotas. It connects with the first request of an
// account that has a limit.
func (g *Gateway) newQuotaClient() *quotas.Client {
	c := quotas.NewClient(quotas.ClientConfig{Dialer: rpc.NewPool(rpc.PoolConfig{DialTimeout: dialTimeout}), Hosts: g.feed.HostAddrs, Log: g.log})
	gauge := func(name string, value func(quota.CacheCounts) int64) {
		metrics.NewRegisteredFunctionalGauge(name, g.cfg.Registry, func() int64 { return value(c.Counts()) })
	}
	gauge("quota.asked", func(n quota.CacheCounts) int64 { return n.Asked })
	gauge("quota.granted", func(n quota.CacheCounts) int64 { return n.Granted })
	gauge("quota.returned", func(n quota.CacheCounts) int64 { return n.Returned })
	gauge("quota.expired", func(n quota.CacheCounts) int64 { return n.Expired })
	gauge("quota.standby", func(n quota.CacheCounts) int64 { return n.Standby })
	return c
}

// limited reports whether the request needs a token for each attempt.
func (q *request) limited() bool { return q.account != nil && q.account.Limited() }

// awaitQuota takes a token for the first attempt of a request. It refuses the request and returns false
// without one. The request has taken nothing else yet.
func (g *Gateway) awaitQuota(w http.ResponseWriter, req *request) bool {
	if !req.limited() {
		return true
	}
	reason, retryAfter := req.acquireToken()
	if reason == "" {
		return true
	}
	if req.httpReq.Context().Err() != nil {
		panic(http.ErrAbortHandler) // nobody reads a response
	}
	g.writeError(w, req.httpReq, req, statusNotRun(reason), mulberrylink.NotRun, reason, retryAfter)
	return false
}

// statusNotRun returns the status of a refusal that was not run.
func statusNotRun(reason string) int {
	if reason == reasonOverQuota {
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// acquireToken takes a token for an attempt, and waits for it if there is none on this node. It returns the
// reason and the time of a refusal, or an empty reason.
func (q *request) acquireToken() (reason string, retryAfter time.Duration) {
	t := q.g.quotas.Acquire(q.httpReq.Context(), q.account.Name, min(q.objective.Sub(q.asked)/quotaWaitShare, maxQuotaWait))
	switch t.Verdict {
	case quota.Granted:
		q.tokens = append(q.tokens, t.Token)
		return "", 0
	case quota.OverQuota:
		return reasonOverQuota, t.RetryAfter
	default:
		return reasonNoQuota, t.RetryAfter
	}
}

// ensureToken reports whether the request has a token for another attempt. A hedged or repeated attempt
// takes only one that is on this node. A request whose attempts did not run waits again if its token has
// expired meanwhile.
func (s *requestState) ensureToken(kind attemptKind) bool {
	q := s.req
	if !q.limited() || q.hasToken() {
		return true
	}
	if t, ok := q.g.quotas.TakeCached(q.account.Name); ok {
		q.tokens = append(q.tokens, t)
		return true
	}
	if kind != firstAttempt {
		q.g.stats.count("quota_no_repeat")
		return false
	}
	reason, retryAfter := q.acquireToken()
	if reason != "" {
		s.rejectReason, s.retryAfter = reason, retryAfter
	}
	return reason == ""
}

// hasToken drops the tokens that have expired and reports whether one is left.
func (q *request) hasToken() bool {
	for len(q.tokens) > 0 && !q.g.quotas.Valid(q.tokens[len(q.tokens)-1]) {
		q.tokens = q.tokens[:len(q.tokens)-1]
	}
	return len(q.tokens) > 0
}

// useToken removes and returns the token for an attempt that starts.
func (q *request) useToken() (t quota.Token) {
	if n := len(q.tokens); n > 0 {
		t, q.tokens = q.tokens[n-1], q.tokens[:n-1]
	}
	return t
}

// keepToken keeps the token of an attempt that has not run the request.
func (s *requestState) keepToken(a *attempt) {
	if s.req.limited() && !a.res.mayHaveRun() {
		s.req.tokens = append(s.req.tokens, a.token)
	}
}

// returnTokens puts the tokens that the request has not used back into the cache of the node.
func (q *request) returnTokens() {
	for _, t := range q.tokens {
		q.g.quotas.Return(q.account.Name, t)
	}
	q.tokens = nil
}
