package selection_test

import (
	"testing"
	"time"

	"github.com/mulberrylink/mulberrylink"
)

func BenchmarkPick(b *testing.B) {
	p := newFixture(nodes(6, 4), nil)
	res := mulberrylink.Result{Answer: &mulberrylink.Answer{Status: 200}, Load: mulberrylink.Load{Limit: 6}}
	b.ReportAllocs()
	for b.Loop() {
		n, _ := p.Pick(request, nil)
		p.Observe(n.Name, res, 10*time.Millisecond)
	}
}
