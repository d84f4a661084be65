package capacity

import (
	"math"
	"time"
)

const (
	// shareDecay is the time constant of the sums of work of a client account.
	shareDecay = 5 * time.Second
	// deprivedShare is the part of the mean share below which an account goes first. An account must
	// get at least a quarter of the mean share of what it asks for; a third leaves room for the requests
	// that wait.
	deprivedShare = 1.0 / 3
	// workUnit is the work that makes no difference between accounts. Beyond it, accounts whose work
	// differs by less than a factor of two count as equal, so that deadlines decide between them.
	workUnit = 250 * time.Millisecond
	// meanShareInterval is how often the mean share of all accounts is computed.
	meanShareInterval = 50 * time.Millisecond
	// maxShares bounds the number of accounts with a record.
	maxShares = 1024
	// refusesFor is how long the accounts of a priority are ordered by their work after a refusal.
	refusesFor = 500 * time.Millisecond
	// maxRefusingPriorities bounds the number of priorities with a record of refusals.
	maxRefusingPriorities = 256
	// deprivedLevel is the level of accounts that go before all others.
	deprivedLevel = -1
)

// accountShare is the recent work of a client account at the upstream, in seconds of service time.
type accountShare struct {
	admitted, asked float64
	updatedAt       time.Time
}

func (s *accountShare) decay(now time.Time) {
	f := math.Exp(-float64(now.Sub(s.updatedAt)) / float64(shareDecay))
	s.admitted, s.asked, s.updatedAt = s.admitted*f, s.asked*f, now
}

// shareTable holds the recent work of client accounts.
type shareTable struct {
	accounts map[string]*accountShare
	mean     float64 // mean share of what the accounts ask for
	meanAt   time.Time
	queued   map[string]float64 // used by setLevels
	// refusesUntil is until when the order among the requests of a priority is that of their accounts,
	// because one of them was refused.
	refusesUntil map[int]time.Time
}

func newShareTable() shareTable {
	return shareTable{accounts: make(map[string]*accountShare), queued: make(map[string]float64), refusesUntil: make(map[int]time.Time)}
}

// ask records that an account asks for work. A caller that returns has asked before.
func (t *shareTable) ask(req *Request, now time.Time) {
	if req.Account == "" || req.Returning {
		return
	}
	s := t.accounts[req.Account]
	if s == nil {
		t.makeRoom(now)
		s = &accountShare{updatedAt: now}
		t.accounts[req.Account] = s
	}
	s.decay(now)
	s.asked += req.ServiceTime.Seconds()
}

// refuse records that a request is refused for lack of capacity.
func (t *shareTable) refuse(req *Request, now time.Time) {
	if req.Account == "" {
		return
	}
	if len(t.refusesUntil) >= maxRefusingPriorities {
		clear(t.refusesUntil)
	}
	t.refusesUntil[req.Priority] = now.Add(refusesFor)
}

func (t *shareTable) refuses(priority int, now time.Time) bool {
	return now.Before(t.refusesUntil[priority])
}

// admit records that a request of an account starts.
func (t *shareTable) admit(req *Request, now time.Time) {
	if s := t.accounts[req.Account]; s != nil {
		s.decay(now)
		s.admitted += req.ServiceTime.Seconds()
	}
}

// makeRoom forgets accounts if the table is full: first those that have not asked for a while. An account
// that is forgotten goes before others for a moment.
func (t *shareTable) makeRoom(now time.Time) {
	if len(t.accounts) < maxShares {
		return
	}
	for name, s := range t.accounts {
		if now.Sub(s.updatedAt) > shareDecay {
			delete(t.accounts, name)
		}
	}
	for name := range t.accounts {
		if len(t.accounts) < maxShares {
			return
		}
		delete(t.accounts, name)
	}
}

// meanShare returns the mean over the accounts of the share of its work that each one gets.
func (t *shareTable) meanShare(now time.Time) float64 {
	if len(t.accounts) == 0 || now.Sub(t.meanAt) < meanShareInterval {
		return t.mean
	}
	sum, n := 0.0, 0
	for _, s := range t.accounts {
		if now.Sub(s.updatedAt) <= shareDecay {
			sum, n = sum+math.Min(1, s.admitted/s.asked), n+1
		}
	}
	t.mean, t.meanAt = sum/float64(max(1, n)), now
	return t.mean
}

// level returns the place of the next request of an account among equal requests, if queued seconds of
// work of the account go before it. Lower levels go first. Apart from deprived accounts, they differ only
// while requests are refused: otherwise all can be in time, and by deadline more of them are.
func (t *shareTable) level(account string, queued float64, refuses bool, now time.Time) int {
	s := t.accounts[account]
	if s == nil {
		return 0
	}
	s.decay(now)
	admitted := s.admitted + queued
	switch {
	case admitted < deprivedShare*t.meanShare(now)*s.asked:
		return deprivedLevel
	case !refuses:
		return 0
	}
	return int(math.Log2(1 + admitted/workUnit.Seconds()))
}

// setLevels sets the levels of queued requests that are in the order of before. The work of an account
// that is queued counts for its later requests as if it were admitted, so that the order of the
// queue is the one in which its requests will start.
func (t *shareTable) setLevels(queue []*waiter, now time.Time) {
	if len(t.accounts) == 0 {
		return
	}
	clear(t.queued)
	for _, w := range queue {
		if w.req.Account == "" {
			continue
		}
		w.level = t.level(w.req.Account, t.queued[w.req.Account], t.refuses(w.req.Priority, now), now)
		t.queued[w.req.Account] += w.req.ServiceTime.Seconds()
	}
}

// setLevel sets the level of a new request behind the queued requests of its account that go before it.
func (t *shareTable) setLevel(w *waiter, queue []*waiter, now time.Time) {
	if w.req.Account == "" {
		return
	}
	queued := 0.0
	for _, q := range queue {
		if q.req.Account == w.req.Account && (q.req.Priority < w.req.Priority || q.req.Priority == w.req.Priority && !w.req.Deadline.Before(q.req.Deadline)) {
			queued += q.req.ServiceTime.Seconds()
		}
	}
	w.level = t.level(w.req.Account, queued, t.refuses(w.req.Priority, now), now)
}
