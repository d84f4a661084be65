package memory

import (
	"sync/atomic"
	"time"
)

// shortInterval is the minimum time between two calls of OnShort.
const shortInterval = 10 * time.Millisecond

// Config holds the limit of a Budget.
type Config struct {
	// ProcessBytes is the memory that the host allows the process, 0 for DefaultProcessBytes.
	ProcessBytes int64
	// OnShort is called in a goroutine of its own while more than ShortLevel percent are used and
	// more are asked for. It closes idle connections. It may be nil.
	OnShort func()
	// OnFull is called when a request is refused for lack of memory, and OnRelieved when memory
	// has become free after that. They must return at once. They may be nil.
	OnFull, OnRelieved func()
}

// Budget is the number of bytes that the buffers of a process may hold. It is safe for concurrent
// use.
type Budget struct {
	cfg      Config
	limit    int64
	used     atomic.Int64
	kinds    [kindCount]atomic.Int64
	refused  [kindCount]atomic.Int64
	full     atomic.Bool
	relieves atomic.Bool // a call of OnShort is in progress
}

// NewBudget returns a budget of which nothing is used.
func NewBudget(cfg Config) *Budget {
	if cfg.ProcessBytes <= 0 {
		cfg.ProcessBytes = DefaultProcessBytes
	}
	return &Budget{cfg: cfg, limit: budgetBytes(cfg.ProcessBytes)}
}

// Limit returns the size of the budget in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Used returns the number of bytes in use.
func (b *Budget) Used() int64 { return b.used.Load() }

// UsedBy returns the number of bytes in use for a kind.
func (b *Budget) UsedBy(k Kind) int64 { return b.kinds[k].Load() }

// Refused returns how often bytes of a kind were refused.
func (b *Budget) Refused(k Kind) int64 { return b.refused[k].Load() }

// Full reports whether a request was refused and memory has not become free since.
func (b *Budget) Full() bool { return b != nil && b.full.Load() }

// bytesAt returns the number of bytes at a level.
func (b *Budget) bytesAt(l Level) int64 { return b.limit * int64(l) / 100 }

// acquire adds n bytes unless that exceeds the level or the share.
func (b *Budget) acquire(k Kind, n int64, l Level, s *Share) bool {
	used := b.used.Add(n)
	if used > b.bytesAt(ShortLevel) {
		b.relieve()
	}
	held := int64(0)
	if s != nil {
		held = s.held.Add(n)
	}
	if full := used > b.bytesAt(l); full || held > b.bytesAt(l)/100*shareLimit {
		b.used.Add(-n)
		if s != nil {
			s.held.Add(-n)
		}
		b.refused[k].Add(1)
		if full && l > HeadLevel && b.full.CompareAndSwap(false, true) && b.cfg.OnFull != nil {
			b.cfg.OnFull()
		}
		return false
	}
	b.kinds[k].Add(n)
	return true
}

// take adds n bytes without a limit.
func (b *Budget) take(k Kind, n int64, s *Share) {
	if s != nil {
		s.held.Add(n)
	}
	b.kinds[k].Add(n)
	if b.used.Add(n) > b.bytesAt(ShortLevel) {
		b.relieve()
	}
}

func (b *Budget) release(k Kind, n int64, s *Share) {
	if s != nil {
		s.held.Add(-n)
	}
	b.kinds[k].Add(-n)
	used := b.used.Add(-n)
	if b.full.Load() && used < b.bytesAt(relievedLevel) && b.full.CompareAndSwap(true, false) && b.cfg.OnRelieved != nil {
		b.cfg.OnRelieved()
	}
}

// relieve calls OnShort unless that has happened within shortInterval.
func (b *Budget) relieve() {
	if b.cfg.OnShort == nil || b.relieves.Load() || !b.relieves.CompareAndSwap(false, true) {
		return
	}
	go func() {
		b.cfg.OnShort()
		time.Sleep(shortInterval)
		b.relieves.Store(false)
	}()
}

// Share is the number of bytes that the requests of one route hold.
type Share struct{ held atomic.Int64 }

// Held returns the number of bytes that are held.
func (s *Share) Held() int64 { return s.held.Load() }
