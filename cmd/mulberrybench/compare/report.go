package compare

import (
	_ "embed"
	"html/template"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

//go:embed report.tmpl
var reportSource string

var reportTemplate = template.Must(template.New("report").Parse(reportSource))

// Sizes of a chart in pixels. The template repeats the bar height and the label width.
const (
	barHeight  = 16
	barStep    = 22
	labelWidth = 110
	plotWidth  = 520
)

// chart shows the p99 latency of all policies on one site, in one scenario at one load. The template
// reads its fields and those of bar by name.
type chart struct {
	Title  string
	Height int
	Bars   []bar
}

// bar is the row of one policy in a chart.
type bar struct {
	Policy string
	Y      int
	TextY  int
	Width  float64
	Low    float64
	High   float64
	P99    float64
	Good   float64
	Class  string
}

// writeReport writes the HTML report and returns its path.
func writeReport(run string, groups []groupStats, g Grid) (string, error) {
	dir := filepath.Join(run, "report")
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", errors.Wrap(err, "write report")
	}
	path := filepath.Join(dir, "compare.html")
	f, err := os.Create(path)
	if err != nil {
		return "", errors.Wrap(err, "write report")
	}
	data := struct {
		Omitted string
		Charts  []chart
	}{g.Omitted(), newCharts(groups)}
	err = errors.Join(reportTemplate.Execute(f, data), f.Close())
	return path, errors.Wrap(err, "write report")
}

// newCharts returns a chart for each site, scenario and load. The groups must be in the order of
// groupResults, in which the policies of one chart are consecutive.
func newCharts(groups []groupStats) []chart {
	var all []chart
	for from := 0; from < len(groups); {
		to := from
		for to < len(groups) && sameChart(groups[from], groups[to]) {
			to++
		}
		all = append(all, newChart(groups[from:to]))
		from = to
	}
	return all
}

func sameChart(a, b groupStats) bool {
	return a.Site == b.Site && a.Scenario == b.Scenario && a.Load == b.Load
}

func newChart(stats []groupStats) chart {
	longest := 0.0
	for _, s := range stats {
		longest = max(longest, s.P99High)
	}
	scale := plotWidth / max(longest, 1)
	c := chart{Title: chartTitle(stats[0]), Height: len(stats) * barStep}
	for i, s := range stats {
		class := "baseline"
		if s.Policy == policies[0] {
			class = "adaptive"
		}
		c.Bars = append(c.Bars, bar{
			Policy: s.Policy, Y: i * barStep, TextY: i*barStep + barHeight - 4, Width: s.P99 * scale,
			Low: labelWidth + s.P99Low*scale, High: labelWidth + s.P99High*scale,
			P99: s.P99, Good: s.Goodput, Class: class,
		})
	}
	return c
}

func chartTitle(s groupStats) string {
	return s.Site + ", " + s.Scenario + ", " + toStrings([]int{s.Load})[0] + "% of capacity"
}
