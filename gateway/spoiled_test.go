package gateway_test

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

var spoiledSeed = flag.Uint64("spoiled.seed", 1, "seed of TestSpoiledResponses")

// spoiledCount is the number of responses in TestSpoiledResponses.
const spoiledCount = 400

// rawResponses are responses as an upstream sends them. ID stands for the identifier of the request.
var rawResponses = []string{
	"HTTP/1.1 200 OK\r\nTest-Id: ID\r\nTest-Signed: yes\r\nContent-Length: 12\r\n\r\nhello caller",
	"HTTP/1.1 201 Created\r\nTest-Id: ID\r\nTest-Signed: yes\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n caller\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTest-Id: ID\r\nTest-Signed: yes\r\nConnection: close\r\n\r\nhello caller",
	"HTTP/1.1 500 Internal Server Error\r\nTest-Id: ID\r\nTest-Signed: yes\r\nContent-Length: 6\r\n\r\nfailed",
	"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nTest-Id: ID\r\nTest-Signed: yes\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 204 No Content\r\nTest-Id: ID\r\nTest-Signed: yes\r\n\r\n",
	"HTTP/1.1 503 Service Unavailable\r\nTest-Id: ID\r\nTest-Notrun: full\r\nContent-Length: 0\r\n\r\n",
}

// spoil changes a response at one or two places.
func spoil(r *rand.Rand, b []byte) []byte {
	for range 1 + r.IntN(2) {
		i := r.IntN(len(b) + 1)
		j := min(len(b), i+1+r.IntN(12))
		switch r.IntN(8) {
		case 0:
			b = b[:i]
		case 1:
			b = append(bytes.Clone(b[:i]), b[j:]...)
		case 2:
			b = append(bytes.Clone(b[:j]), b[i:]...)
		case 3:
			b = append(bytes.Clone(b), "HTTP/1.1 200 OK\r\nTest-Signed: yes\r\nContent-Length: 1\r\n\r\nx"...)
		case 4:
			b = append(append(bytes.Clone(b[:i]), "\r\n"...), b[i:]...)
		case 5:
			if k := bytes.Index(b, []byte("HTTP/1.1 ")) + len("HTTP/1.1 "); k+3 <= len(b) {
				b = bytes.Clone(b)
				b[k+r.IntN(3)] = byte('0' + r.IntN(10)) // a digit of the status
			}
		default:
			if i < len(b) {
				b = bytes.Clone(b)
				b[i] = "0123456789 \r\n:aH\x00\xff"[r.IntN(18)]
			}
		}
		if len(b) == 0 {
			return b
		}
	}
	return b
}

// parseRaw returns the final response in raw and its body, and false if there is none that is whole.
func parseRaw(raw []byte, id string) (status int, body string, ok bool) {
	br := bufio.NewReader(bytes.NewReader(raw))
	for {
		resp, err := http.ReadResponse(br, &http.Request{Method: http.MethodPost})
		if err != nil {
			return 0, "", false
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.Header.Get("Test-Id") != id && err == nil {
			continue // belongs to another request
		}
		return resp.StatusCode, string(data), err == nil && resp.StatusCode >= 200 && resp.StatusCode <= 599
	}
}

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
		raw := spoil(r, []byte(strings.ReplaceAll(rawResponses[r.IntN(len(rawResponses))], "ID", id)))
		up.mu.Lock()
		up.bytes[id], up.keep[id] = raw, r.IntN(8) == 0
		up.mu.Unlock()
		node := []*node{entry, other}[i%2]
		status, body, own, err := node.exchangeRaw(id)
		if err != nil {
			continue // the connection ended early
		}
		wantStatus, wantBody, valid := parseRaw(raw, id)
		if !own && (!valid || status != wantStatus || body != wantBody) {
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
