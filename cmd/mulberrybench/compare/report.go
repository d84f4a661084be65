package compare

import (
	_ "embed"
	"html/template"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

//go:embed report.tmpl
var reportText string

var reportTemplate = template.Must(template.New("report").Parse(reportText))

// Sizes of a chart in pixels.
const (
	barHeight  = 16
	barStep    = 22
	labelWidth = 110
	plotWidth  = 520
)

// chart is the p99 of all policies in one scenario at one load.
type chart struct {
	Title  string
	Height int
	Bars   []bar
}

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
func writeReport(run string, groups []spread, g Grid) (string, error) {
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
	}{g.Omitted(), charts(groups)}
	err = errors.Join(reportTemplate.Execute(f, data), f.Close())
	return path, errors.Wrap(err, "write report")
}

// charts expects the groups in the order of group: policies of one scenario and
// load follow one another.
func charts(groups []spread) []chart {
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

func sameChart(a, b spread) bool {
	return a.Site == b.Site && a.Scenario == b.Scenario && a.Load == b.Load
}

func newChart(some []spread) chart {
	longest := 0.0
	for _, s := range some {
		longest = max(longest, s.P99High)
	}
	scale := plotWidth / max(longest, 1)
	c := chart{Title: title(some[0]), Height: len(some) * barStep}
	for i, s := range some {
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

func title(s spread) string {
	return s.Site + ", " + s.Scenario + ", " + texts([]int{s.Load})[0] + "% of capacity"
}
