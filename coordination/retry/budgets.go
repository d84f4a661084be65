package retry

import (
	"cmp"
	"maps"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrylink/mulberrylink"
)

// Clock tells the time.
type Clock interface{ Now() time.Time }

// Defaults of Config.
const (
	DefaultPercent          = 20
	DefaultReserve          = 3
	DefaultRefillInterval   = time.Second
	DefaultMaxExtraAttempts = 3
	DefaultMaxTokens        = 100
)

// Config holds the settings of Budgets. Zero values select the defaults.
type Config struct {
	Clock Clock
	// Registry receives the counters refused.REASON, unknown.REASON,
	// retried.REASON, hedged and denied.REASON.
	Registry metrics.Registry
	// Percent returns the retry budget of a service as a percentage of its requests.
	Percent func(service string) int
	// Reserve is the number of additional retries allowed in each RefillInterval.
	Reserve        int
	RefillInterval time.Duration
	// MaxExtraAttempts is the largest number of attempts beyond the first for one request,
	// over all nodes of a chain of calls together.
	MaxExtraAttempts int
	// MaxTokens is the largest number of unused tokens that a service may accumulate. It
	// must be small where many nodes share a budget.
	MaxTokens int
}

// Budgets holds the retry budget of each service. It is safe for concurrent use.
type Budgets struct {
	cfg      Config
	counters counters

	mu        sync.RWMutex
	byService map[string]*Budget
}

// New returns Budgets without services. The budget of a service is added on first use.
func New(cfg Config) *Budgets {
	cfg.Reserve = cmp.Or(cfg.Reserve, DefaultReserve)
	cfg.RefillInterval = cmp.Or(cfg.RefillInterval, DefaultRefillInterval)
	cfg.MaxExtraAttempts = cmp.Or(cfg.MaxExtraAttempts, DefaultMaxExtraAttempts)
	cfg.MaxTokens = cmp.Or(cfg.MaxTokens, DefaultMaxTokens)
	if cfg.Percent == nil {
		cfg.Percent = func(string) int { return DefaultPercent }
	}
	if cfg.Registry == nil {
		cfg.Registry = metrics.NewRegistry()
	}
	return &Budgets{
		cfg:       cfg,
		counters:  newCounters(cfg.Registry),
		byService: make(map[string]*Budget),
	}
}

// RecordRequest adds the share of a new request to the budget of its service.
func (b *Budgets) RecordRequest(r *mulberrylink.Request) {
	b.budget(r.Service).deposit(b.cfg.Percent(r.Service))
}

// AllowRetry reports whether the request may be retried after res, and if so takes a token
// from the budget. extra is the number of attempts beyond the first that this node has made.
func (b *Budgets) AllowRetry(r *mulberrylink.Request, res mulberrylink.Result, extra int) bool {
	if !Eligible(r, res) {
		return false
	}
	s := b.budget(r.Service)
	now := b.cfg.Clock.Now()
	allowed := r.ExtraAttempts+extra < b.cfg.MaxExtraAttempts && s.canFinish(r, now) && s.withdraw(now)
	if !allowed {
		b.counters.denied[res.Reason].Inc(1)
		return false
	}
	b.counters.retried[res.Reason].Inc(1)
	return true
}

// HedgeDelay returns the time after which an idempotent request may be hedged while its first
// attempt is running. ok is false when it must not be hedged.
func (b *Budgets) HedgeDelay(r *mulberrylink.Request) (after time.Duration, ok bool) {
	if !r.Idempotent || r.ExtraAttempts >= b.cfg.MaxExtraAttempts {
		return 0, false
	}
	now := b.cfg.Clock.Now()
	s := b.budget(r.Service)
	after, median, ok := s.quantiles(now)
	if !ok || !r.Deadline.IsZero() && r.Deadline.Sub(now) < after+median {
		return 0, false
	}
	return after, true
}

// AllowHedge reports whether a running request may be hedged now, and if so takes a token
// from the budget. extra is the number of attempts beyond the first that this node has made.
func (b *Budgets) AllowHedge(r *mulberrylink.Request, extra int) bool {
	now := b.cfg.Clock.Now()
	s := b.budget(r.Service)
	if !r.Idempotent || r.ExtraAttempts+extra >= b.cfg.MaxExtraAttempts || !s.canFinish(r, now) || !s.withdraw(now) {
		return false
	}
	b.counters.hedged.Inc(1)
	return true
}

// HasToken reports whether the budget of a service allows an extra attempt now. It takes no token.
func (b *Budgets) HasToken(service string) bool {
	s, now := b.budget(service), b.cfg.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tokens >= tokenUnits || s.reserveLeft > 0 || s.reserve > 0 && !now.Before(s.nextRefill)
}

// Retain drops the budgets of the services for which keep returns false.
func (b *Budgets) Retain(keep func(service string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.byService, func(service string, _ *Budget) bool { return !keep(service) })
}

// RecordLatency records the latency of an attempt that returned a response.
func (b *Budgets) RecordLatency(r *mulberrylink.Request, took time.Duration) {
	b.budget(r.Service).recordLatency(took, b.cfg.Clock.Now())
}

// RecordResult counts the result that is returned to the caller.
func (b *Budgets) RecordResult(_ *mulberrylink.Request, res mulberrylink.Result) {
	switch res.Outcome {
	case mulberrylink.NotRun:
		b.counters.refused[res.Reason].Inc(1)
	case mulberrylink.Unknown:
		b.counters.unknown[res.Reason].Inc(1)
	case mulberrylink.Answered:
	}
}

func (b *Budgets) budget(service string) *Budget {
	b.mu.RLock()
	s, found := b.byService[service]
	b.mu.RUnlock()
	if found {
		return s
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, found = b.byService[service]; found {
		return s
	}
	s = newBudget(b.cfg.Reserve, b.cfg.MaxTokens, b.cfg.RefillInterval)
	b.byService[service] = s
	return s
}

// counters holds the counters by reason.
type counters struct {
	refused, unknown, retried, denied []metrics.Counter
	hedged                            metrics.Counter
}

func newCounters(reg metrics.Registry) counters {
	var c counters
	for _, r := range mulberrylink.Reasons() {
		c.refused = append(c.refused, metrics.GetOrRegisterCounter("refused."+r.String(), reg))
		c.unknown = append(c.unknown, metrics.GetOrRegisterCounter("unknown."+r.String(), reg))
		c.retried = append(c.retried, metrics.GetOrRegisterCounter("retried."+r.String(), reg))
		c.denied = append(c.denied, metrics.GetOrRegisterCounter("denied."+r.String(), reg))
	}
	c.hedged = metrics.GetOrRegisterCounter("hedged", reg)
	return c
}
