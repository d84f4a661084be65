package compare

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/load"
)

// Guards against a summary that names the wrong baseline and against a report
// that leaves out what it does not show.
func TestSummaryAgainstBestBaseline(t *testing.T) {
	is := is.New(t)
	var all []result
	// The histogram is exact below 2,048 µs.
	for policy, micros := range map[string][]int64{"adaptive": {400, 600}, "random": {1800, 1900}, "twochoices": {1400, 1600}} {
		for i, us := range micros {
			h := hdrhistogram.New(1, 1e8, 3)
			is.NoErr(h.RecordValue(us))
			r := result{cell: cell{Site: "association", Policy: policy, Scenario: "slowdown", Load: 90, Seed: uint64(i)}}
			r.Total, r.Goodput = load.RouteReport{AnsweredMicros: h, AllMicros: h}, float64(2000-us)
			all = append(all, r)
		}
	}
	groups := group(all)
	is.Equal(len(groups), 3)
	lines := summary(groups)
	last := lines[len(lines)-1]
	is.True(strings.Contains(last, "p99=0.5ms best=twochoices bestp99=1.5ms ratio=3.00"))
	is.True(strings.Contains(last, "p99all=0.5ms bestp99all=1.5ms"))
	path, err := writeReport(t.TempDir(), groups, DefaultGrid())
	is.NoErr(err)
	text, err := os.ReadFile(path)
	is.NoErr(err)
	is.True(strings.Contains(string(text), "sites:lanterns"))
	is.Equal(strings.Count(string(text), "<svg"), 1)
}

// Guards against policies that are compared under different requests, and
// against two cells of a deployment that share their tokens.
func TestScheduleDependsOnTheCellOnly(t *testing.T) {
	is := is.New(t)
	g := FullGrid()
	a, b := g.deploymentCells("association", "adaptive"), g.deploymentCells("association", "random")
	seen := make(map[uint64]bool)
	for i := range a {
		is.Equal(a[i].schedule(), b[i].schedule())
		is.True(!seen[a[i].schedule()])
		seen[a[i].schedule()] = true
	}
	g.Duration = 10 * time.Millisecond
	is.True(g.Validate() != nil)
}
