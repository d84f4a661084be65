package upstream

import "sync"

// store keeps uploaded bodies in memory up to a bound; the oldest go first.
type store struct {
	mu     sync.Mutex
	bound  int
	used   int
	bodies map[string][]byte
	order  []string
}

func newStore(bound int) *store { return &store{bound: bound, bodies: make(map[string][]byte)} }

func (s *store) put(path string, body []byte) {
	if len(body) > s.bound {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.bodies[path]; ok {
		s.used -= len(old)
	} else {
		s.order = append(s.order, path)
	}
	s.bodies[path] = body
	s.used += len(body)
	for s.used > s.bound {
		first := s.order[0]
		s.order = s.order[1:]
		s.used -= len(s.bodies[first])
		delete(s.bodies, first)
	}
}

func (s *store) get(path string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, ok := s.bodies[path]
	return body, ok
}
