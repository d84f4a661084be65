package upstream

import (
	"container/list"
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

var errShed = errors.New("queue is longer than the shedding limit")

// slots runs a bounded number of requests at a time and queues the others in
// order of arrival.
type slots struct {
	mu      sync.Mutex
	limit   int
	shed    int // 0 never sheds
	running int
	peak    int
	waiting list.List // of chan struct{}, closed when the slot is handed over
}

func newSlots(limit, shed int) *slots { return &slots{limit: limit, shed: shed} }

// enter waits for a slot. It fails with errShed before waiting, or with the
// error of ctx.
func (s *slots) enter(ctx context.Context) error {
	s.mu.Lock()
	if s.running < s.limit {
		s.take()
		s.mu.Unlock()
		return nil
	}
	if s.shed > 0 && s.waiting.Len() >= s.shed {
		s.mu.Unlock()
		return errShed
	}
	ready := make(chan struct{})
	place := s.waiting.PushBack(ready)
	s.mu.Unlock()
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
		return s.abandon(ctx, ready, place)
	}
}

// leave frees a slot or hands it to the first in the queue.
func (s *slots) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	first := s.waiting.Front()
	if first == nil {
		return
	}
	s.waiting.Remove(first)
	s.take()
	close(first.Value.(chan struct{}))
}

func (s *slots) load() (running, queued, peak int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, s.waiting.Len(), s.peak
}

// abandon leaves the queue. The slot may have been handed over meanwhile.
func (s *slots) abandon(ctx context.Context, ready chan struct{}, place *list.Element) error {
	s.mu.Lock()
	select {
	case <-ready:
		s.mu.Unlock()
		s.leave()
	default:
		s.waiting.Remove(place)
		s.mu.Unlock()
	}
	return ctx.Err()
}

func (s *slots) take() {
	s.running++
	s.peak = max(s.peak, s.running)
}
