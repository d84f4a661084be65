package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// sendLong sends a request of a route with a timeout of 8 s.
func (n *node) sendLong(method, path, id string) response {
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+n.outbound+path, http.NoBody)
	if err != nil {
		return response{err: err}
	}
	return sendRequest(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, r, id, 8*time.Second)
}

// Guards against requests that are taken after the stop signal and cut off without a response at the
// end of the grace period, and against refusals of requests that have enough time.
func TestStopTakesOnlyRequestsThatFinish(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	entry, other := d.addNode("n1", "d1", "desk", 4), d.addNode("n2", "d2", "archive", 16)
	d.waitReady(entry)
	other.upstream.setHandler(func(_ http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/longwrite/") {
			time.Sleep(4300 * time.Millisecond)
			return
		}
		time.Sleep(20 * time.Millisecond)
	})
	for i := range 4 { // the service time of the route becomes known
		is.Equal(entry.sendLong("GET", "/longread/1", fmt.Sprint("before-", i)).status, http.StatusOK)
	}
	var requests sync.WaitGroup
	before := make(chan response, 1)
	requests.Go(func() { before <- entry.sendLong("POST", "/longwrite/1", "before") })
	time.Sleep(100 * time.Millisecond)
	stopped := make(chan struct{})
	go func() { defer close(stopped); entry.g.Shutdown(context.Background()) }()
	start := time.Now()
	for i := 1; ; i++ {
		time.Sleep(250 * time.Millisecond)
		id, sentAt := fmt.Sprint("stop-", i), time.Since(start)
		if sentAt > 4*time.Second { // the node ends with the first request, after 4.2 s
			break
		}
		expect := func(name string, resp response, mayReject bool) {
			runs := other.upstream.runsOf(id + name)
			if resp.status != http.StatusOK && (!mayReject || resp.status != http.StatusServiceUnavailable || runs > 0) {
				t.Errorf("%s sent after %s: status %d, %d runs, error %v", name, sentAt, resp.status, runs, resp.err)
			}
		}
		requests.Go(func() { expect("longwrite", entry.sendLong("POST", "/longwrite/1", id+"longwrite"), true) })
		expect("write", entry.send("POST", "/write/1", id+"write", ""), sentAt > 3*time.Second)
		expect("longread", entry.sendLong("GET", "/longread/1", id+"longread"), sentAt > 1500*time.Millisecond)
	}
	requests.Wait()
	is.Equal((<-before).status, http.StatusOK)
	<-stopped
}

// Guards against a request that is cut off because it arrived while the idle node closed its
// connections.
func TestStopWaitsForRequestsOnTheirWay(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	entry, other := d.addNode("n1", "d1", "desk", 4), d.addNode("n2", "d2", "archive", 4)
	d.waitReady(entry)
	other.upstream.setHandler(func(_ http.ResponseWriter, _ *http.Request) { time.Sleep(800 * time.Millisecond) })
	conn, err := net.Dial("tcp", entry.outbound)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	stopped := make(chan struct{})
	go func() { defer close(stopped); entry.g.Shutdown(context.Background()) }()
	time.Sleep(2300 * time.Millisecond)
	_, err = fmt.Fprint(conn, "POST /write/1 HTTP/1.1\r\nHost: shop\r\n")
	is.NoErr(err)
	time.Sleep(350 * time.Millisecond) // the node closes idle connections after 2.5 s
	_, err = fmt.Fprint(conn, "Test-Id: late\r\nTest-Wait: 2000\r\nContent-Length: 0\r\n\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	is.Equal(resp.StatusCode, http.StatusOK)
	<-stopped
}

// Guards against a request that was taken before the stop signal, outlasts the grace period and gets
// no response.
func TestStopRespondsToRequestsThatOutlastIt(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	entry, other := d.addNode("n1", "d1", "desk", 4), d.addNode("n2", "d2", "archive", 4)
	d.waitReady(entry)
	other.upstream.setHandler(func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(7 * time.Second):
		case <-r.Context().Done():
		}
	})
	responses := make(chan response, 2)
	go func() { responses <- entry.sendLong("POST", "/longwrite/1", "w") }()
	go func() { responses <- entry.sendLong("GET", "/longread/1", "r") }()
	waitFor(t, time.Second, "runs", func() bool { return other.upstream.runsOf("w")+other.upstream.runsOf("r") == 2 })
	start := time.Now()
	entry.g.Shutdown(context.Background())
	is.True(time.Since(start) < 6*time.Second)
	for range 2 {
		resp := <-responses
		is.NoErr(resp.err)
		is.Equal(resp.status, http.StatusBadGateway)
	}
}
