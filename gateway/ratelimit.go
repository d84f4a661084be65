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

// update applies the limit that a response states, and reports whether it begins or ends.
func (l *rateLimit) update(info ResponseInfo, now time.Time) (changed bool) {
	changed = info.RateLimited != l.limited
	if changed {
		l.sent, l.reportedAt = 0, now
	}
	l.limited, l.perSecond = info.RateLimited, info.RateLimit
	return changed
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
