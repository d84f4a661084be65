package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/journal"
	"github.com/mulberrylink/mulberrylink/state/settings"
	"github.com/mulberrylink/mulberrylink/transport/events"
)

// startUpstream serves an upstream with two slots, a queue of one request and the extra settings.
func startUpstream(t *testing.T, extraSettings string) (*Server, *httptest.Server) {
	t.Helper()
	is := is.New(t)
	dir := t.TempDir()
	file := filepath.Join(dir, "upstream.ini")
	text := "[upstream]\nname = u1\nservice = registry\nslots = 2\nshed = 1\n[listen]\nhttp = 127.0.0.1:0\n" +
		"[work]\ndistribution = constant\nmean = 1ms\n[journal]\nfile = " + filepath.Join(dir, "u1.log") + "\n" + extraSettings
	is.NoErr(os.WriteFile(file, []byte(text), 0o644))
	var cfg Settings
	is.NoErr(settings.Load(file, &cfg))
	s, err := New(cfg, events.New(io.Discard, "error", "mulberrybench", "u1"))
	is.NoErr(err)
	srv := httptest.NewServer(s.Handler())
	t.Cleanup(srv.Close)
	return s, srv
}

func get(t *testing.T, url string, header ...string) (int, http.Header) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header
}

// waitFor waits until ok returns true and fails the test after 5 s.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// Guards against a cold upstream that runs more concurrent requests than it can, and against a cold
// start that never ends.
func TestColdStartOverload(t *testing.T) {
	is := is.New(t)
	s, srv := startUpstream(t, "[cold]\nfor = 1m\ncompletions = 2\nslots = 1\nstall = 50ms\n")
	done := make(chan int, 1)
	go func() {
		code, _ := get(t, srv.URL+"/grades", HeaderServiceTime, "100ms")
		done <- code
	}()
	waitFor(t, "the first request runs", func() bool { n, _, _ := s.slots.counts(); return n == 1 })
	code, _ := get(t, srv.URL+"/grades")
	is.Equal(code, http.StatusInternalServerError) // two concurrent requests, one slot while cold
	is.Equal(<-done, http.StatusOK)
	waitFor(t, "the stall is over", func() bool { c, _ := get(t, srv.URL+"/grades"); return c == http.StatusOK })
	get(t, srv.URL+"/grades")
	waitFor(t, "the cold start is over", func() bool { return !s.cold.active(time.Now()) })
	is.Equal(s.Stats().Overloads, 1)
}

// Guards against a shed request that runs, and against a canceled request that stays in the queue.
func TestShedRequestIsNotRun(t *testing.T) {
	is := is.New(t)
	s, srv := startUpstream(t, "[cold]\nfor = 0s\n")
	finished := make(chan struct{}, 2)
	for range 2 {
		go func() {
			get(t, srv.URL+"/grades", HeaderServiceTime, "300ms")
			finished <- struct{}{}
		}()
	}
	waitFor(t, "both slots are taken", func() bool { n, _, _ := s.slots.counts(); return n == 2 })
	ctx, cancel := context.WithCancel(t.Context())
	queued := make(chan error, 1)
	go func() { queued <- s.slots.acquire(ctx) }()
	waitFor(t, "one request waits", func() bool { _, n, _ := s.slots.counts(); return n == 1 })
	code, h := get(t, srv.URL+"/grades?id=shed")
	is.Equal(code, http.StatusServiceUnavailable)
	is.Equal(h.Get(HeaderShed), "true")
	cancel()
	is.Equal(<-queued, context.Canceled)
	<-finished
	<-finished
	waitFor(t, "all slots are free", func() bool { n, q, _ := s.slots.counts(); return n == 0 && q == 0 })
	entries, err := journal.Read(s.cfg.Journal.File)
	is.NoErr(err)
	is.Equal(len(entries), 2) // the shed request has no entry
}

// Guards against an execution without a journal entry because the upstream crashed before it wrote
// one.
func TestJournalIsWrittenBeforeTheWork(t *testing.T) {
	is := is.New(t)
	s, srv := startUpstream(t, "[cold]\nfor = 0s\n")
	entryCounts := make(chan int, 1)
	s.crash = func(string) {
		entries, _ := journal.Read(s.cfg.Journal.File)
		entryCounts <- len(entries)
		panic(http.ErrAbortHandler)
	}
	code, _ := get(t, srv.URL+"/filings?id=a%20b", HeaderCrash, "true", "Idempotency-Key", `"k 1"`)
	is.Equal(code, 0) // no response
	is.Equal(<-entryCounts, 1)
	entries, err := journal.Read(s.cfg.Journal.File)
	is.NoErr(err)
	is.Equal(entries[0].Key, `"k 1"`)
	waitFor(t, "the slot is free", func() bool { n, _, _ := s.slots.counts(); return n == 0 })
}

// Guards against an upload that is stored incompletely, against a response without the token of its
// request, and against a store that exceeds its capacity.
func TestUploadIsStoredWhole(t *testing.T) {
	is := is.New(t)
	s, srv := startUpstream(t, "[cold]\nfor = 0s\n[store]\nbytes = 10\n")
	for path, body := range map[string]string{"/patterns/a": "12345678", "/patterns/b": "87654321"} {
		req, err := http.NewRequest(http.MethodPut, srv.URL+path, strings.NewReader(body))
		is.NoErr(err)
		req.Header.Set(HeaderToken, "tok")
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		resp.Body.Close()
		is.Equal(resp.Header.Get(HeaderSize), "8")
		is.Equal(resp.Header.Get(HeaderToken), "tok")
	}
	_, a := s.store.get("/patterns/a")
	_, b := s.store.get("/patterns/b")
	is.True(a != b) // the capacity of 10 bytes holds one of them
}

// Guards against an endless response that ends by itself, or that goes on after the client has
// closed the connection and keeps a slot.
func TestEndlessResponse(t *testing.T) {
	is := is.New(t)
	s, srv := startUpstream(t, "[cold]\nfor = 0s\n")
	for part := range endlessParts {
		conn, err := net.Dial("tcp", srv.Listener.Addr().String())
		is.NoErr(err)
		_, err = fmt.Fprintf(conn, "GET /grades HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: 1ms\r\n\r\n", HeaderEndless, part, HeaderServiceTime)
		is.NoErr(err)
		_, err = io.CopyN(io.Discard, conn, 1<<20)
		is.NoErr(err)
		is.NoErr(conn.Close())
		waitFor(t, "the slot is free", func() bool { n, _, _ := s.slots.counts(); return n == 0 })
	}
	code, _ := get(t, srv.URL+"/grades", HeaderEndless, "other")
	is.Equal(code, http.StatusBadRequest)
}
