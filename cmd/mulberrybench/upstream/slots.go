package upstream

import (
	"container/list"
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

var errShed = errors.New("queue is full")

// slots limits the number of concurrent requests and queues the others in the order of arrival.
type slots struct {
	mu         sync.Mutex
	limit      int
	queueLimit int // 0 disables shedding
	running    int
	peak       int
	waiting    list.List // of chan struct{}, closed when the waiting request gets a slot
}

func newSlots(limit, queueLimit int) *slots { return &slots{limit: limit, queueLimit: queueLimit} }

// acquire waits for a slot. It returns errShed without waiting when the queue is full, and the
// error of ctx when ctx ends first.
func (s *slots) acquire(ctx context.Context) error {
	s.mu.Lock()
	if s.running < s.limit {
		s.occupy()
		s.mu.Unlock()
		return nil
	}
	if s.queueLimit > 0 && s.waiting.Len() >= s.queueLimit {
		s.mu.Unlock()
		return errShed
	}
	ready := make(chan struct{})
	element := s.waiting.PushBack(ready)
	s.mu.Unlock()
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
		return s.cancelWait(ctx, ready, element)
	}
}

// release frees a slot or passes it to the first request in the queue.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	next := s.waiting.Front()
	if next == nil {
		return
	}
	s.waiting.Remove(next)
	s.occupy()
	close(next.Value.(chan struct{}))
}

func (s *slots) counts() (running, queued, peak int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, s.waiting.Len(), s.peak
}

// cancelWait removes a request from the queue, or releases its slot when it has got one meanwhile.
func (s *slots) cancelWait(ctx context.Context, ready chan struct{}, element *list.Element) error {
	s.mu.Lock()
	select {
	case <-ready:
		s.mu.Unlock()
		s.release()
	default:
		s.waiting.Remove(element)
		s.mu.Unlock()
	}
	return ctx.Err()
}

func (s *slots) occupy() {
	s.running++
	s.peak = max(s.peak, s.running)
}
