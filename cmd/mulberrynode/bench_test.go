package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"runtime/debug"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// BenchmarkPath compares the latency of requests sent directly to an upstream, through the node
// beside it, and through two nodes. It sends one request at a time, over each path in turn. The
// metrics that start with "added" are the added latency that the nodes themselves measure.
func BenchmarkPath(b *testing.B) {
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent)) // the value that the program sets
	g := newFakeGroup()
	entry := startNode(b, g, "a", "d1")
	admitting := startNode(b, g, "b", "d1")
	upstream := announceUpstream(b, admitting, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })
	paths := []struct{ name, addr string }{
		{"direct", upstream.Listener.Addr().String()},
		{"one", admitting.front.Addr()},
		{"two", entry.front.Addr()},
	}
	latencies := make([]*hdrhistogram.Histogram, len(paths))
	for i := range latencies {
		latencies[i] = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
	}
	for b.Loop() {
		for i, p := range paths {
			req := httptest.NewRequest("GET", "http://"+p.addr+"/patterns", nil)
			req.RequestURI, req.Host = "", "archive"
			start := time.Now()
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				b.Fatal(err)
			}
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				b.Fatal(resp.Status)
			}
			latencies[i].RecordValue(time.Since(start).Microseconds())
		}
	}
	for name, n := range map[string]*node{"added-one": admitting, "added-two": entry} {
		n.stats.mu.Lock()
		b.ReportMetric(float64(n.stats.addedLatency.ValueAtQuantile(50)), name+"-p50-us")
		b.ReportMetric(float64(n.stats.addedLatency.ValueAtQuantile(99)), name+"-p99-us")
		n.stats.mu.Unlock()
	}
	for i, p := range paths {
		b.ReportMetric(float64(latencies[i].ValueAtQuantile(50)), p.name+"-p50-us")
		b.ReportMetric(float64(latencies[i].ValueAtQuantile(99)), p.name+"-p99-us")
	}
}
