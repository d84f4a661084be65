package quotas_test

import (
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/mulberrylink/mulberrylink/coordination/quota"
)

// BenchmarkAcquire measures the processor time of a node and the leader together for one request that needs
// an ask. The elapsed time is that of the minimum time between the messages of a node.
func BenchmarkAcquire(b *testing.B) {
	h := newHost(b)
	h.leads.Store(true)
	const nodes = 50
	before := processorTime(b)
	var wg sync.WaitGroup
	n := b.N/nodes + 1
	b.ReportAllocs()
	for range nodes {
		c := newClient(b, h)
		wg.Go(func() {
			for range n {
				if v := acquire(c, "a"); v != quota.Granted {
					b.Error(v)
				}
			}
		})
	}
	wg.Wait()
	b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(n*nodes), "cpu-us/op")
}

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
