package memory

import "sync/atomic"

// Account holds the bytes of one connection or request. It is safe for concurrent use: several
// goroutines may work on a request, and some of them may go on after it has ended.
type Account struct {
	budget *Budget
	share  *Share
	held   [kindCount]atomic.Int64
	closed atomic.Bool
}

// NewAccount returns an account without bytes. The share may be nil.
func (b *Budget) NewAccount(s *Share) *Account {
	if b == nil {
		return nil
	}
	return &Account{budget: b, share: s}
}

// Acquire adds n bytes and reports whether the level and the share allow them. It must be called
// before the bytes are allocated. After Close it reports false.
func (a *Account) Acquire(k Kind, n int64, l Level) bool {
	switch {
	case a == nil || n <= 0:
		return true
	case a.closed.Load() || !a.budget.acquire(k, n, l, a.share):
		return false
	}
	return a.add(k, n)
}

// Take adds n bytes that can't be refused. After Close it does nothing.
func (a *Account) Take(k Kind, n int64) {
	if a == nil || n <= 0 || a.closed.Load() {
		return
	}
	a.budget.take(k, n, a.share)
	a.add(k, n)
}

// add records bytes that were added to the budget. It returns them when Close has been called
// meanwhile: Close sets closed before it collects the bytes, so one of the two sees them.
func (a *Account) add(k Kind, n int64) bool {
	a.held[k].Add(n)
	if a.closed.Load() {
		a.releaseAll(k)
		return false
	}
	return true
}

// Release returns n bytes, or what is held when that is less.
func (a *Account) Release(k Kind, n int64) {
	if a == nil {
		return
	}
	for {
		held := a.held[k].Load()
		n = min(n, held)
		if n <= 0 {
			return
		}
		if a.held[k].CompareAndSwap(held, held-n) {
			a.budget.release(k, n, a.share)
			return
		}
	}
}

// Close returns all bytes. It may be called more than once.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.closed.Store(true)
	for k := range kindCount {
		a.releaseAll(k)
	}
}

func (a *Account) releaseAll(k Kind) {
	if a.held[k].Load() == 0 {
		return // most requests have bytes of one kind only
	}
	if n := a.held[k].Swap(0); n != 0 {
		a.budget.release(k, n, a.share)
	}
}
