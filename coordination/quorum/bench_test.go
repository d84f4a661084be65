package quorum

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

// BenchmarkPropose measures the throughput and latency of proposals of 100 bytes with real files, by
// group size and number of concurrent proposers.
func BenchmarkPropose(b *testing.B) {
	for _, size := range []int{3, 5} {
		for _, n := range []int{1, 16, 256} {
			b.Run(fmt.Sprintf("members=%d/proposers=%d", size, n), func(b *testing.B) { benchPropose(b, size, n) })
		}
	}
}

func benchPropose(b *testing.B, size, n int) {
	g := newGroupWith(b, size, true)
	l := g.leader()
	tasks := make(chan struct{}, n)
	latency := newHistogram()
	var mu sync.Mutex
	var wg sync.WaitGroup
	b.ResetTimer()
	for range n {
		wg.Go(func() {
			for range tasks {
				start := time.Now()
				_, st := l.Propose(context.Background(), make([]byte, 100))
				mu.Lock()
				if st != Committed {
					b.Errorf("status %v", st)
				}
				_ = latency.RecordValue(time.Since(start).Microseconds())
				mu.Unlock()
			}
		})
	}
	for range b.N {
		tasks <- struct{}{}
	}
	close(tasks)
	wg.Wait()
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
	b.ReportMetric(float64(latency.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(latency.ValueAtQuantile(99))/1000, "p99-ms")
}

// BenchmarkRestart measures the time from Open until all entries are applied again, on a member that
// was stopped without a leadership transfer.
func BenchmarkRestart(b *testing.B) {
	for _, n := range []int{500, 5000} {
		b.Run(fmt.Sprint("entries=", n), func(b *testing.B) {
			g := newGroup(b, 3)
			l := g.leader()
			for range n {
				if _, st := l.Propose(context.Background(), make([]byte, 100)); st != Committed {
					b.Fatal(st)
				}
			}
			follower := "h1"
			if l.cfg.Addr == follower {
				follower = "h2"
			}
			want := l.Status().Applied
			latency, opened := newHistogram(), newHistogram()
			for b.Loop() {
				g.kill(follower)
				start := time.Now()
				h := g.open(follower)
				_ = opened.RecordValue(time.Since(start).Microseconds())
				for h.Status().Applied < want {
					time.Sleep(100 * time.Microsecond)
				}
				_ = latency.RecordValue(time.Since(start).Microseconds())
			}
			b.ReportMetric(float64(opened.ValueAtQuantile(50))/1000, "open-p50-ms")
			b.ReportMetric(float64(latency.ValueAtQuantile(50))/1000, "applied-p50-ms")
			b.ReportMetric(float64(latency.Max())/1000, "applied-max-ms")
		})
	}
}

// BenchmarkNewLeader measures the time from the loss of the leader until another member has committed
// a proposal. Run it with -benchtime 30x.
func BenchmarkNewLeader(b *testing.B) {
	g := newGroup(b, 3)
	latency := newHistogram()
	for b.Loop() {
		l := g.leader()
		addr := l.cfg.Addr
		g.kill(addr)
		start := time.Now()
		for committed := false; !committed; time.Sleep(time.Millisecond) {
			for _, h := range g.hosts {
				if _, st := h.Propose(timeout(b, time.Second), []byte("x")); st == Committed {
					committed = true
					break
				}
			}
		}
		_ = latency.RecordValue(time.Since(start).Microseconds())
		g.open(addr)
		time.Sleep(3 * defaultHeartbeatInterval)
	}
	b.ReportMetric(float64(latency.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(latency.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(latency.Max())/1000, "max-ms")
}
