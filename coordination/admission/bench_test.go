package admission_test

import (
	"context"
	"testing"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/admission"
)

// TestAllocations guards against allocations for an admitted request beyond its
// permit.
func TestAllocations(t *testing.T) {
	g := admission.New(admission.Config{Clock: clock{}})
	g.Announce(6, 200, mulberrylink.UpstreamUp, 1)
	r := &mulberrylink.Request{}
	n := testing.AllocsPerRun(100, func() { runRequest(g, r) })
	if n > 1 {
		t.Fatalf("%v allocations for one request", n)
	}
}

func BenchmarkGate(b *testing.B) {
	g := admission.New(admission.Config{Clock: clock{}})
	g.Announce(6, 200, mulberrylink.UpstreamUp, 1)
	r := &mulberrylink.Request{}
	b.ReportAllocs()
	for b.Loop() {
		runRequest(g, r)
	}
}

func runRequest(g *admission.Gate, r *mulberrylink.Request) {
	p, _ := g.Acquire(context.Background(), r, false)
	p.Responded()
	p.Done(admission.Completion{Class: admission.Success})
}
