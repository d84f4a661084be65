package gateway

import "time"

// rateReportInterval is how often a node logs the number of requests that it has sent under
// a rate limit of its upstream.
const rateReportInterval = 4 * time.Second

// rateLimit is the limit of requests per second that the upstream states in its responses,
// and the number of requests sent under it.
type rateLimit struct {
	limited    bool
	perSecond  float64
	sent       int
	reportedAt time.Time
}

// isCurrent reports whether the response to a request of the instance hb was made by the instance
// that is running now. A health probe may reveal the identity. The caller holds mu.
func (u *Upstream) isCurrent(hb *Heartbeat, info ResponseInfo) bool {
	cur := &u.instance
	return hb.ID == cur.ID && hb.Incarnation == cur.Incarnation || cur.Incarnation == 0 && cur.ID != "" && info.UpstreamID == cur.ID
}

// forgetResponses discards what the responses of an earlier instance stated. The caller holds mu.
func (u *Upstream) forgetResponses(probe bool) {
	u.heard, u.leaving = false, false
	u.applyRateLimit(ResponseInfo{}, probe, time.Now())
}

// applyLeaving applies the statement of an upstream that it is about to stop, and reports whether
// that changes its state. The statement holds until the upstream has restarted. The caller holds mu.
func (u *Upstream) applyLeaving(info ResponseInfo, probe bool) (changed bool) {
	leaving := info.Leaving || u.heard && u.leaving
	if leaving == u.leaving {
		return false
	}
	u.leaving = leaving
	u.g.log.Info().Str("upstream", u.instance.ID).Bool("leaving", leaving).Bool("probe", probe).Msg("upstream states whether it leaves")
	return true
}

// applyRateLimit applies the rate limit that a response states. The caller holds mu.
func (u *Upstream) applyRateLimit(info ResponseInfo, probe bool, now time.Time) {
	l := &u.rateLimit
	if info.RateLimited == l.limited && info.RateLimit == l.perSecond {
		return
	}
	if info.RateLimited != l.limited {
		l.sent, l.reportedAt = 0, now
		u.g.log.Info().Str("upstream", u.instance.ID).Bool("limited", info.RateLimited).Float64("limit", info.RateLimit).
			Bool("probe", probe).Msg("rate limit of the upstream changed")
	}
	l.limited, l.perSecond = info.RateLimited, info.RateLimit
	u.g.admission.SetRateLimit(l.perSecond, l.limited)
}

// recordSent counts a request to an upstream that states a rate limit or that it leaves.
func (u *Upstream) recordSent(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.leaving {
		u.g.stats.count("sent_while_leaving")
	}
	l := &u.rateLimit
	if !l.limited {
		return
	}
	u.g.stats.count("sent_under_limit")
	l.sent++
	span := now.Sub(l.reportedAt)
	if span < rateReportInterval {
		return
	}
	u.g.log.Info().Str("upstream", u.instance.ID).Float64("limit", l.perSecond).Int("sent", l.sent).Dur("span", span).
		Float64("rate", float64(l.sent)/span.Seconds()).Msg("requests sent under the rate limit of the upstream")
	l.sent, l.reportedAt = 0, now
}
