package gateway_test

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/internal/testresponse"
)

var spoiledSeed = flag.Uint64("spoiled.seed", 1, "seed of TestSpoiledResponses")

// spoiledCount is the number of responses in TestSpoiledResponses.
const spoiledCount = 400

// rawUpstream writes the bytes that it holds for each request.
type rawUpstream struct {
	mu    sync.Mutex
	bytes map[string][]byte
	keep  map[string]bool // the connection stays open
}

func (u *rawUpstream) serve(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	raw, keep := u.bytes[r.Header.Get("Test-Id")], u.keep[r.Header.Get("Test-Id")]
	u.mu.Unlock()
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = conn.Write(raw)
	if keep {
		time.Sleep(250 * time.Millisecond)
	}
	_ = conn.Close()
}

// Guards against a caller that takes for the response of an upstream what is none, or that gets bytes
// outside of a response: responses of an upstream are changed at random places, and the caller must
// read exactly one response to each request, whole or visibly broken.
func TestSpoiledResponses(t *testing.T) {
	d := newDeployment(t)
	entry, other := d.addNode("n1", "d1", "desk", 4), d.addNode("n2", "d2", "archive", 4)
	d.waitReady(entry, other)
	up := &rawUpstream{bytes: map[string][]byte{}, keep: map[string]bool{}}
	other.upstream.setHandler(up.serve)
	r := rand.New(rand.NewPCG(*spoiledSeed, 1))
	answered := 0
	for i := range spoiledCount {
		id := fmt.Sprintf("s%d", i)
		examples := testresponse.Examples("Test-Id: "+id, "Test-Signed: yes")
		raw := testresponse.Spoil(r, examples[r.IntN(len(examples))])
		up.mu.Lock()
		up.bytes[id], up.keep[id] = []byte(raw), r.IntN(8) == 0
		up.mu.Unlock()
		node := []*node{entry, other}[i%2]
		status, body, own, err := node.exchangeRaw(id)
		if err != nil {
			continue // the connection ended early
		}
		want, wantErr := testresponse.ReadFinal(raw, func(r testresponse.Response) bool { return slices.Contains(r.Fields["test-id"], id) })
		if !own && (wantErr != nil || status != want.Status || body != want.Body) {
			t.Errorf("seed %d, %s via %s: status %d, body %q; the upstream sent %q", *spoiledSeed, id, node.name, status, body, raw)
		}
		if !own {
			answered++
		}
	}
	t.Logf("%d of %d responses were relayed", answered, spoiledCount)
	if answered < spoiledCount/10 {
		t.Errorf("only %d responses were relayed", answered)
	}
}

// exchangeRaw sends a request and reads everything until the node closes the connection. own is true if
// the node itself made the response. The error is that of a response that ends early.
func (n *node) exchangeRaw(id string) (status int, body string, own bool, err error) {
	conn, err := net.Dial("tcp", n.outbound)
	if err != nil {
		return 0, "", false, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := fmt.Fprintf(conn, "POST /write/1 HTTP/1.1\r\nHost: shop\r\nTest-Id: %s\r\nTest-Wait: 200\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", id); err != nil {
		return 0, "", false, err
	}
	br := bufio.NewReader(conn)
	resp, err := http.ReadResponse(br, &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, "", false, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", false, err
	}
	if rest, err := io.ReadAll(br); err != nil || len(rest) > 0 {
		return resp.StatusCode, fmt.Sprintf("%s, then %q, %v", data, rest, err), false, nil
	}
	return resp.StatusCode, string(data), resp.Header.Get("Mulberry-Outcome") != "", nil
}

// Guards against a caller that sends a request again that runs at most once, because the upstream ran
// it and answered with a status that says it was not run, without stating so.
func TestRefusalThatTheUpstreamDoesNotState(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	entry, other := d.addNode("n1", "d1", "desk", 4), d.addNode("n2", "d2", "archive", 4)
	d.waitReady(entry, other)
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		other.upstream.setHandler(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Test-Id", r.Header.Get("Test-Id"))
			w.Header().Set("Test-Signed", "yes")
			w.WriteHeader(status)
		})
		for _, n := range []*node{entry, other} {
			resp := n.send("POST", "/write/1", fmt.Sprintf("%s-%d", n.name, status), "")
			is.NoErr(resp.err)
			is.Equal(resp.status, http.StatusBadGateway)
			is.Equal(resp.header.Get("Mulberry-Outcome"), "unknown")
			is.Equal(resp.header.Get("Test-Signed"), "")
			resp = n.send("GET", "/read/1", fmt.Sprintf("%s-%d-read", n.name, status), "")
			is.Equal(resp.status, status) // an idempotent request may run again
		}
	}
}
