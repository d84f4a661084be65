package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/coordination/integrity"
	"github.com/mulberrylink/mulberrylink/gateway"
	"github.com/mulberrylink/mulberrylink/protocol/hop"
)

// Guards against a malformed response that is forgotten like a failure of the moment, against failures
// that count as malformed, and against a record that is lost with the process of one node or that
// outlasts the upstream.
func TestMalformedResponsesAreRemembered(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	entry, n := d.addNode("n1", "d1", "desk", 4), d.addNode("n2", "d2", "archive", 4)
	d.waitReady(entry, n)
	up := &rawUpstream{bytes: map[string][]byte{}}
	n.upstream.setHandler(up.serve)
	estimateAfter := func(id, raw string) hop.Integrity {
		up.mu.Lock()
		up.bytes[id] = []byte(strings.ReplaceAll(raw, "ID", id))
		up.mu.Unlock()
		return n.sendHop(t, "POST", "/write/1", id).Integrity
	}
	const sound = "HTTP/1.1 200 OK\r\nTest-Id: ID\r\nTest-Signed: yes\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"
	for i, raw := range []string{
		sound, strings.Replace(sound, "200 OK", "500 Failed", 1), "", // closed without a response
		strings.Replace(sound, "200 OK", "503 Full\r\nTest-Notrun: full", 1),
	} {
		is.Equal(estimateAfter(fmt.Sprintf("other%d", i), raw), hop.Integrity{})
	}
	before := 0.0
	for i, raw := range []string{
		strings.Replace(sound, "HTTP/1.1", "HTTP/7.3", 1), strings.Replace(sound, "200 OK", "000 OK", 1), strings.Replace(sound, "Test-Signed: yes\r\n", "", 1),
		strings.Replace(sound, "Content-Length: 2", "Content-Length: 3", 1), strings.Replace(sound, "Content-Length: 2\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\nx\r\n", 1),
	} {
		got := estimateAfter(fmt.Sprintf("malformed%d", i), raw).Malformed
		is.True(got > before) // each form counts
		before = got
	}
	known := estimateAfter("sound", sound)
	is.True(known.Malformed < before) // a well-formed response lowers the rate
	is.Equal(entry.send("GET", "/read/1", "sound", "").status, http.StatusOK)

	n = d.restartNode(n)
	waitFor(t, 2*time.Second, "estimate known from the entry node", func() bool {
		entry.send("GET", "/read/1", "sound", "")
		return n.sendHop(t, "POST", "/write/1", "sound").Integrity.Instance == known.Instance
	})

	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	next := &fakeUpstream{id: "i-next", service: "archive", addr: lis.Addr().String(), runs: map[string]int{}}
	next.srv = &http.Server{Handler: http.HandlerFunc(next.serve)}
	go func() { _ = next.srv.Serve(lis) }()
	t.Cleanup(func() { _ = next.srv.Close() })
	n.announce(gateway.Heartbeat{ID: "i-next", Service: "archive", Addr: next.addr, Slots: 4, Seq: 1, Incarnation: 2})
	entry.send("GET", "/read/1", "next", "")
	is.Equal(n.sendHop(t, "POST", "/write/1", "next").Integrity, hop.Integrity{})
	is.Equal(next.runsOf("next"), 2)
}

// Guards against requests of any kind that run on an upstream with malformed responses while another one
// has room, also as hedged requests, at all entry nodes, and against one that stays in reserve when the
// other has none.
func TestUpstreamWithMalformedResponsesIsPassedOver(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	entry, faulty, sound := d.addNode("n1", "d1", "desk", 4), d.addNode("n2", "d1", "archive", 12), d.addNode("n3", "d1", "archive", 12)
	d.waitReady(entry, faulty, sound)
	up := &rawUpstream{bytes: map[string][]byte{"bad": []byte("HTTP/1.1 000 OK\r\n\r\n")}}
	runWellFormed := func(name string) {
		for i := range 30 {
			faulty.sendHop(t, "POST", "/write/1", fmt.Sprintf("%s%d", name, i))
		}
	}
	runWellFormed("earlier")
	faulty.upstream.setHandler(up.serve)
	known := faulty.sendHop(t, "POST", "/write/1", "bad").Integrity
	is.True(known.Missing > 90)
	faulty.upstream.setHandler(nil)
	runWellFormed("later") // its recent failure rate is low again
	send := func(name string, nodes ...*node) {
		for i := range 20 {
			for _, n := range nodes {
				is.Equal(n.send("GET", "/read/1", fmt.Sprintf("%s-read-%d", name, i), "").status, http.StatusOK)
				is.Equal(n.send("POST", "/write/1", fmt.Sprintf("%s-write-%d", name, i), "").status, http.StatusOK)
			}
		}
	}
	before, since := faulty.upstream.totalRuns(), time.Now()
	send("reserve", entry, faulty, sound)
	trials := 1 + int(time.Since(since)/integrity.Estimate{Required: known.Required}.TrialInterval())
	t.Logf("%d runs, %d trials allowed", faulty.upstream.totalRuns()-before, trials)
	is.True(faulty.upstream.totalRuns()-before <= trials)

	before = faulty.upstream.totalRuns()
	waitFor(t, 2*time.Second, "trial", func() bool { // none is due during the next requests
		faulty.send("GET", "/read/1", "trial", "")
		return faulty.upstream.totalRuns() > before
	})
	sound.upstream.setHandler(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(60 * time.Millisecond) // late enough to be hedged, and in time
		_, _ = w.Write([]byte("late"))
	})
	var hedged atomic.Int32
	faulty.upstream.setHandler(func(_ http.ResponseWriter, r *http.Request) {
		if sound.upstream.runsOf(r.Header.Get("Test-Id")) > 0 {
			hedged.Add(1)
		}
	})
	for _, n := range []*node{sound, faulty, entry} { // sound does not know of the reserve yet
		is.Equal(n.send("GET", "/read/1", "late-"+n.name, "").status, http.StatusOK)
	}
	is.Equal(hedged.Load(), int32(0))
	faulty.upstream.setHandler(nil)

	sound.upstream.setHandler(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	for i := range 12 {
		go sound.send("POST", "/write/1", fmt.Sprintf("long-%d", i), "")
	}
	waitFor(t, 2*time.Second, "full upstream", func() bool { return sound.upstream.maxConcurrent() == 12 })
	is.Equal(faulty.send("GET", "/read/1", "no-room", "").status, http.StatusOK)
	is.Equal(faulty.upstream.runsOf("no-room"), 1)
}
