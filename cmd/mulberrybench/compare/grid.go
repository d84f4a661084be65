package compare

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Policies of the nodes; the first is the one under test.
var policies = []string{"adaptive", "random", "roundrobin", "leastloaded", "twochoices"}

// Scenarios, in the order in which a deployment runs them.
var scenarios = []string{"steady", "slowdown", "lying", "coldrestart", "domain"}

// Sites by the name of their directory.
var sites = []string{"association", "lanterns"}

// loads in percent of capacity.
var loads = []int{50, 70, 90, 105}

// Grid says which cells to run.
type Grid struct {
	Sites     []string
	Policies  []string
	Scenarios []string
	Loads     []int
	Seeds     []uint64
	// Duration is the measured part of one cell and WarmUp the part before it.
	Duration time.Duration
	WarmUp   time.Duration
}

// FullGrid is everything.
func FullGrid() Grid {
	return Grid{
		Sites: sites, Policies: policies, Scenarios: scenarios, Loads: loads,
		Seeds: []uint64{1, 2, 3}, Duration: 10 * time.Second, WarmUp: 2 * time.Second,
	}
}

// DefaultGrid fits in ten minutes.
func DefaultGrid() Grid {
	g := FullGrid()
	g.Sites = sites[:1]
	g.Loads = []int{90}
	g.Seeds = []uint64{1, 2}
	g.Duration, g.WarmUp = 7*time.Second, time.Second
	return g
}

// Validate returns an error that names the first unknown value.
func (g Grid) Validate() error {
	known := map[string][]string{"site": sites, "policy": policies, "scenario": scenarios}
	given := map[string][]string{"site": g.Sites, "policy": g.Policies, "scenario": g.Scenarios}
	for kind, values := range given {
		for _, v := range values {
			if !slices.Contains(known[kind], v) {
				return errors.Newf("unknown %s %q, known are %s", kind, v, strings.Join(known[kind], ", "))
			}
		}
	}
	for _, l := range g.Loads {
		if l < 1 || l > 200 {
			return errors.Newf("load %d is not a percentage from 1 to 200", l)
		}
	}
	if g.Duration < time.Second || g.CellCount() == 0 {
		return errors.New("the grid is empty or its cells are shorter than 1s")
	}
	return nil
}

// CellCount returns the number of cells.
func (g Grid) CellCount() int {
	return len(g.Sites) * len(g.Policies) * len(g.Scenarios) * len(g.Loads) * len(g.Seeds)
}

// Omitted describes what the grid leaves out of the full one.
func (g Grid) Omitted() string {
	full := FullGrid()
	var parts []string
	missing := func(kind string, all, have []string) {
		var out []string
		for _, v := range all {
			if !slices.Contains(have, v) {
				out = append(out, v)
			}
		}
		if len(out) > 0 {
			parts = append(parts, kind+":"+strings.Join(out, "+"))
		}
	}
	missing("sites", full.Sites, g.Sites)
	missing("policies", full.Policies, g.Policies)
	missing("scenarios", full.Scenarios, g.Scenarios)
	missing("loads", texts(full.Loads), texts(g.Loads))
	missing("seeds", texts(full.Seeds), texts(g.Seeds))
	if g.Duration < full.Duration {
		parts = append(parts, fmt.Sprintf("cells of %s instead of %s", g.Duration, full.Duration))
	}
	if len(parts) == 0 {
		return "nothing"
	}
	return strings.Join(parts, ", ")
}

func texts[T any](values []T) []string {
	var all []string
	for _, v := range values {
		all = append(all, fmt.Sprint(v))
	}
	return all
}

// cell is one measurement.
type cell struct {
	Site     string
	Policy   string
	Scenario string
	Load     int
	Seed     uint64
}

// schedule returns the seed of the cell's schedule. It does not depend on the
// policy, so that all policies get the same requests.
func (c cell) schedule() uint64 {
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%s/%s/%d/%d", c.Site, c.Scenario, c.Load, c.Seed)
	return uint64(h.Sum32())
}

// deploymentCells returns the cells of one deployment.
func (g Grid) deploymentCells(site, policy string) []cell {
	var all []cell
	for _, s := range g.Scenarios {
		for _, l := range g.Loads {
			for _, seed := range g.Seeds {
				all = append(all, cell{Site: site, Policy: policy, Scenario: s, Load: l, Seed: seed})
			}
		}
	}
	return all
}
