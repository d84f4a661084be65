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

// Guards against a summary that compares with the wrong baseline, and against a report that doesn't
// list the parts of the full grid that were not run.
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
	groups := groupResults(all)
	is.Equal(len(groups), 3)
	lines := summaryLines(groups)
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

// Guards against comparing policies under different request schedules, and against two cells of a
// deployment with the same seed: the request tokens contain the seed, so the cells would share them.
func TestScheduleDependsOnTheCellOnly(t *testing.T) {
	is := is.New(t)
	g := FullGrid()
	a, b := g.deploymentCells("association", "adaptive"), g.deploymentCells("association", "random")
	seen := make(map[uint64]bool)
	for i := range a {
		is.Equal(a[i].scheduleSeed(), b[i].scheduleSeed())
		is.True(!seen[a[i].scheduleSeed()])
		seen[a[i].scheduleSeed()] = true
	}
	g.Duration = 10 * time.Millisecond
	is.True(g.Validate() != nil)
}
