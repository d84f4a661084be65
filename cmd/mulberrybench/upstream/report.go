package upstream

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// sampleInterval is the resolution of the lag of the load and health endpoints.
const sampleInterval = 20 * time.Millisecond

// maxSamples covers the maximum lag of 10 s.
const maxSamples = 512

// loadReport is the response body of the load endpoint.
type loadReport struct {
	InFlight int `json:"inflight"`
	Queued   int `json:"queued"`
	Slots    int `json:"slots"`
}

type sample struct {
	at      time.Time
	load    loadReport
	healthy bool
}

// reporter provides the values of the load and health endpoints, which lag or are false when
// configured so.
type reporter struct {
	mu      sync.Mutex
	lag     time.Duration
	load    string
	health  string
	samples []sample
	probes  int
}

func (r *reporter) record(s sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, s)
	if len(r.samples) > maxSamples {
		r.samples = r.samples[1:]
	}
}

func (r *reporter) set(load, health, lag string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if lag != "" {
		d, err := time.ParseDuration(lag)
		if err != nil {
			return err
		}
		r.lag = d
	}
	if load != "" {
		r.load = load
	}
	if health != "" {
		r.health = health
	}
	return nil
}

// reportAt returns the values that the endpoints report at now, and counts the probe.
func (r *reporter) reportAt(now time.Time, slots int) sample {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.probes++
	var s sample
	for _, old := range r.samples {
		if now.Sub(old.at) < r.lag {
			break
		}
		s = old
	}
	s.load.Slots = slots
	switch r.load {
	case "idle":
		s.load.InFlight, s.load.Queued = 0, 0
	case "busy":
		s.load.InFlight, s.load.Queued = slots, slots
	case "random":
		s.load.InFlight, s.load.Queued = rand.IntN(slots+1), 0
	}
	switch r.health {
	case "up":
		s.healthy = true
	case "down":
		s.healthy = false
	}
	return s
}

func (r *reporter) probeCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.probes
}

func (s *Server) sampleLoop(ctx context.Context) {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		running, queued, _ := s.slots.counts()
		healthy := s.announcedState() != stateDraining
		s.report.record(sample{at: time.Now(), load: loadReport{InFlight: running, Queued: queued}, healthy: healthy})
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.report.reportAt(time.Now(), s.cfg.Upstream.Slots).load)
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if !s.report.reportAt(time.Now(), s.cfg.Upstream.Slots).healthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// This fails only when the client has closed the connection.
	_ = json.NewEncoder(w).Encode(v)
}
