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

// Guards against a schedule that differs between the policies it compares.
func TestScheduleIsDeterministic(t *testing.T) {
	is := is.New(t)
	p := Plan{Seed: 7, Rate: 500, Duration: 4 * time.Second, Mix: Mix(map[string]float64{"registry": 5, "archive": 4})}
	a, b := Schedule(p), Schedule(p)
	is.True(reflect.DeepEqual(a, b))
	is.True(len(a) > 1800 && len(a) < 2200) // 2,000 expected, sigma 45
	p.Seed = 8
	is.True(!reflect.DeepEqual(a, Schedule(p)))
}

// altering serves an upstream but spoils the answers to some tokens.
func altering(t *testing.T, file string) *httptest.Server {
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
		case "t1-0": // ran, but the caller is told that it did not
			h.ServeHTTP(httptest.NewRecorder(), r)
			w.Header().Set("Mulberry-Outcome", "notrun")
			w.WriteHeader(http.StatusServiceUnavailable)
		case "t1-1": // another caller's answer
			r.Header.Set(upstream.HeaderToken, "t1-9")
			h.ServeHTTP(w, r)
		case "t1-2": // ran twice
			h.ServeHTTP(httptest.NewRecorder(), r)
			h.ServeHTTP(w, r)
		case "t1-3": // cut
			r.Header.Set(upstream.HeaderCut, "10")
			h.ServeHTTP(w, r)
		default:
			h.ServeHTTP(w, r)
		}
	}))
	t.Cleanup(srv.Close)
	return srv
}

// Guards against a check that passes whatever the system does: each fault is
// planted once and must be counted once.
func TestCheckFindsEachFault(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "u1.log")
	srv := altering(t, file)
	mix := []Route{{Service: "registry", Method: "POST", Path: "/filings", Weight: 1, Keyed: true, Bytes: 10}}
	shots := Schedule(Plan{Seed: 1, Rate: 400, Duration: 100 * time.Millisecond, Mix: mix})
	is.True(len(shots) > 10)
	g := New(Options{EntryAddrs: []string{srv.Listener.Addr().String()}, MaxInFlight: 100, Timeout: time.Second})
	rep := g.Run(t.Context(), mix, shots)
	entries, err := journal.Read(file)
	is.NoErr(err)
	v := Check(rep, entries)
	is.Equal(v.FalseNotRun, 1)
	is.Equal(v.Wrong, 1)
	// t1-2, and t1-3 whose resends ran again because nothing deduplicates here.
	is.Equal(v.Duplicates, 1+resends)
	is.Equal(v.NeverRan, 0)
	is.Equal(rep.Routes[0].Unknown, 1)
	is.Equal(rep.Routes[0].Answered, len(shots)-3)
}

// Guards against shots that are dropped without being counted.
func TestMissedShotsAreCounted(t *testing.T) {
	is := is.New(t)
	stop := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-stop }))
	t.Cleanup(srv.Close)
	mix := []Route{{Service: "registry", Method: "GET", Path: "/grades", Weight: 1}}
	shots := Schedule(Plan{Seed: 1, Rate: 1000, Duration: 50 * time.Millisecond, Mix: mix})
	g := New(Options{EntryAddrs: []string{srv.Listener.Addr().String()}, MaxInFlight: 3, Timeout: time.Second})
	time.AfterFunc(200*time.Millisecond, func() { close(stop) })
	rep := g.Run(t.Context(), mix, shots)
	is.Equal(rep.Routes[0].Sent, 3)
	is.Equal(rep.Routes[0].Missed, len(shots)-3)
}
