package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// fakeUpstream is an HTTP server that counts the requests that it runs.
type fakeUpstream struct {
	id, service, addr string
	handler           http.HandlerFunc // writes the response instead of the default one
	srv               *http.Server
	stated            http.Header // added to all responses, also to health probes
	probeDelay        time.Duration
	probesToAbort     atomic.Int32 // health probes that end without a response
	ended             atomic.Bool  // answers nothing, also on connections that are still open

	mu         sync.Mutex
	runs       map[string]int // runs by request identifier
	runTimes   []time.Time    // start of each run
	lastHeader http.Header
	canceled   int // requests whose caller disconnected
	running    int
	maxRunning int
}

func (u *fakeUpstream) serve(w http.ResponseWriter, r *http.Request) {
	if u.ended.Load() {
		panic(http.ErrAbortHandler)
	}
	u.mu.Lock()
	for name, values := range u.stated {
		w.Header()[name] = values
	}
	u.mu.Unlock()
	if r.URL.Path == "/health" {
		u.mu.Lock()
		delay := u.probeDelay
		u.mu.Unlock()
		if u.probesToAbort.Load() > 0 {
			if u.probesToAbort.Add(-1) == 0 {
				u.ended.Store(true) // a process that ends answers no later probe either
			}
			panic(http.ErrAbortHandler)
		}
		time.Sleep(delay)
		u.mu.Lock()
		defer u.mu.Unlock()
		w.Header().Set("Test-Identity", u.id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	u.mu.Lock()
	u.runs[r.Header.Get("Test-Id")]++
	u.runTimes = append(u.runTimes, time.Now())
	u.lastHeader = r.Header.Clone()
	u.running++
	u.maxRunning = max(u.maxRunning, u.running)
	h := u.handler
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.running--
		if r.Context().Err() != nil {
			u.canceled++
		}
	}()
	w.Header().Set("Test-Id", r.Header.Get("Test-Id"))
	w.Header().Set("Test-Signed", "yes")
	if h != nil {
		h(w, r)
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s %s %d", u.id, r.Method, r.RequestURI, len(body))
}

func (u *fakeUpstream) totalRuns() (n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.runs {
		n += c
	}
	return n
}

func (u *fakeUpstream) runsOf(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

func (u *fakeUpstream) header() http.Header {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lastHeader
}

func (u *fakeUpstream) maxConcurrent() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.maxRunning
}

// state sets a header of all responses from now on. An empty value removes it.
func (u *fakeUpstream) state(name, value string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	next := u.stated.Clone()
	if next == nil {
		next = http.Header{}
	}
	next.Del(name)
	if value != "" {
		next.Set(name, value)
	}
	u.stated = next
}

func (u *fakeUpstream) setProbeDelay(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.probeDelay = d
}

// maxRunsWithin returns the largest number of runs that started within any time span.
func (u *fakeUpstream) maxRunsWithin(span time.Duration) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	most, first := 0, 0
	for i, at := range u.runTimes {
		for at.Sub(u.runTimes[first]) > span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (u *fakeUpstream) setID(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.id = id
}

func (u *fakeUpstream) setHandler(h http.HandlerFunc) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.handler = h
}
