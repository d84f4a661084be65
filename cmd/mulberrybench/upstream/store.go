package upstream

import "sync"

// store keeps uploaded bodies in memory. Above its capacity in bytes it drops the oldest bodies.
type store struct {
	mu        sync.Mutex
	capacity  int
	usedBytes int
	bodies    map[string][]byte
	order     []string
}

func newStore(capacity int) *store {
	return &store{capacity: capacity, bodies: make(map[string][]byte)}
}

func (s *store) put(path string, body []byte) {
	if len(body) > s.capacity {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.bodies[path]; ok {
		s.usedBytes -= len(old)
	} else {
		s.order = append(s.order, path)
	}
	s.bodies[path] = body
	s.usedBytes += len(body)
	for s.usedBytes > s.capacity {
		oldest := s.order[0]
		s.order = s.order[1:]
		s.usedBytes -= len(s.bodies[oldest])
		delete(s.bodies, oldest)
	}
}

func (s *store) get(path string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, ok := s.bodies[path]
	return body, ok
}
