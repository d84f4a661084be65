package load

import (
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/journal"
	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/upstream"
	"github.com/mulberrylink/mulberrylink/transport/events"
)

// Guards against comparing policies on different schedules although the seed is the same.
func TestScheduleIsDeterministic(t *testing.T) {
	is := is.New(t)
	p := Plan{Seed: 7, Rate: 500, Duration: 4 * time.Second, Mix: Mix(map[string]float64{"registry": 5, "archive": 4})}
	a, b := Schedule(p), Schedule(p)
	is.True(reflect.DeepEqual(a, b))
	is.True(len(a) > 1800 && len(a) < 2200) // 2,000 expected, sigma 45
	p.Seed = 8
	is.True(!reflect.DeepEqual(a, Schedule(p)))
}

// startFaultyUpstream serves an upstream that handles the requests with some tokens incorrectly.
func startFaultyUpstream(t *testing.T, file string) *httptest.Server {
	t.Helper()
	var cfg upstream.Settings
	cfg.Upstream.Slots, cfg.Upstream.Service, cfg.Journal.File = 100, "registry", file
	s, err := upstream.New(cfg, events.New(io.Discard, "error", "mulberrybench", "u1"))
	if err != nil {
		t.Fatal(err)
	}
	h := s.Handler()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Header.Get(upstream.HeaderToken) {
		case "t1-0": // runs but is reported as not run
			h.ServeHTTP(httptest.NewRecorder(), r)
			w.Header().Set("Mulberry-Outcome", "notrun")
			w.WriteHeader(http.StatusServiceUnavailable)
		case "t1-1": // gets the response of another request
			r.Header.Set(upstream.HeaderToken, "t1-9")
			h.ServeHTTP(w, r)
		case "t1-2": // runs twice
			h.ServeHTTP(httptest.NewRecorder(), r)
			h.ServeHTTP(w, r)
		case "t1-3": // gets an incomplete response
			r.Header.Set(upstream.HeaderCut, "10")
			h.ServeHTTP(w, r)
		default:
			h.ServeHTTP(w, r)
		}
	}))
	t.Cleanup(srv.Close)
	return srv
}

// Guards against a check that misses violations: each kind is injected once and must be counted
// once.
func TestCheckFindsEachFault(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "u1.log")
	srv := startFaultyUpstream(t, file)
	mix := []Route{{Service: "registry", Method: "POST", Path: "/filings", Weight: 1, Keyed: true, Bytes: 10}}
	arrivals := Schedule(Plan{Seed: 1, Rate: 400, Duration: 100 * time.Millisecond, Mix: mix})
	is.True(len(arrivals) > 10)
	g := New(Options{EntryAddrs: []string{srv.Listener.Addr().String()}, MaxInFlight: 100, Timeout: time.Second})
	rep := g.Run(t.Context(), mix, arrivals)
	entries, err := journal.Read(file)
	is.NoErr(err)
	v := Check(rep, entries)
	is.Equal(v.FalseNotRun, 1)
	is.Equal(v.Wrong, 1)
	// t1-2 ran twice, and every resend of t1-3 ran because nothing deduplicates them here.
	is.Equal(v.Duplicates, 1+maxResends)
	is.Equal(v.NeverRan, 0)
	is.Equal(rep.Routes[0].Unknown, 1)
	is.Equal(rep.Routes[0].Answered, len(arrivals)-3)
}

// Guards against arrivals that are dropped without being counted.
func TestMissedArrivalsAreCounted(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	t.Cleanup(srv.Close)
	mix := []Route{{Service: "registry", Method: "GET", Path: "/grades", Weight: 1}}
	arrivals := Schedule(Plan{Seed: 1, Rate: 1000, Duration: 50 * time.Millisecond, Mix: mix})
	g := New(Options{EntryAddrs: []string{srv.Listener.Addr().String()}, MaxInFlight: 3, Timeout: time.Second})
	time.AfterFunc(200*time.Millisecond, func() { close(release) })
	rep := g.Run(t.Context(), mix, arrivals)
	is.Equal(rep.Routes[0].Sent, 3)
	is.Equal(rep.Routes[0].Missed, len(arrivals)-3)
}
