package compare

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// policies are the selection policies of the nodes. The first is the one under test, the others are
// the baselines.
var policies = []string{"adaptive", "random", "roundrobin", "leastloaded", "twochoices"}

// scenarios are in the order in which a deployment runs them.
var scenarios = []string{"steady", "slowdown", "lying", "coldrestart", "domain"}

// sites are the names of the configuration directories of the sites.
var sites = []string{"association", "lanterns"}

// loads are in percent of the capacity of a site.
var loads = []int{50, 70, 90, 105}

// Grid selects the cells to run: all combinations of its values.
type Grid struct {
	Sites     []string
	Policies  []string
	Scenarios []string
	Loads     []int
	Seeds     []uint64
	// Duration is the length of the measured part of one cell, WarmUp that of the unmeasured part
	// before it.
	Duration time.Duration
	WarmUp   time.Duration
}

// FullGrid returns the grid of all known sites, policies, scenarios and loads.
func FullGrid() Grid {
	return Grid{
		Sites: sites, Policies: policies, Scenarios: scenarios, Loads: loads,
		Seeds: []uint64{1, 2, 3}, Duration: 10 * time.Second, WarmUp: 2 * time.Second,
	}
}

// DefaultGrid returns a part of the full grid that takes at most ten minutes.
func DefaultGrid() Grid {
	g := FullGrid()
	g.Sites = sites[:1]
	g.Loads = []int{90}
	g.Seeds = []uint64{1, 2}
	g.Duration, g.WarmUp = 7*time.Second, time.Second
	return g
}

// Validate returns an error if a value is unknown or out of range, or if the grid is empty.
func (g Grid) Validate() error {
	knownValues := map[string][]string{"site": sites, "policy": policies, "scenario": scenarios}
	gridValues := map[string][]string{"site": g.Sites, "policy": g.Policies, "scenario": g.Scenarios}
	for kind, values := range gridValues {
		for _, v := range values {
			if !slices.Contains(knownValues[kind], v) {
				return errors.Newf("unknown %s %q, known are %s", kind, v, strings.Join(knownValues[kind], ", "))
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

// CellCount returns the number of cells of the whole grid.
func (g Grid) CellCount() int {
	return len(g.Sites) * len(g.Policies) * len(g.Scenarios) * len(g.Loads) * len(g.Seeds)
}

// Omitted describes what the grid leaves out of the full grid.
func (g Grid) Omitted() string {
	full := FullGrid()
	var parts []string
	addMissing := func(kind string, known, selected []string) {
		var missing []string
		for _, v := range known {
			if !slices.Contains(selected, v) {
				missing = append(missing, v)
			}
		}
		if len(missing) > 0 {
			parts = append(parts, kind+":"+strings.Join(missing, "+"))
		}
	}
	addMissing("sites", full.Sites, g.Sites)
	addMissing("policies", full.Policies, g.Policies)
	addMissing("scenarios", full.Scenarios, g.Scenarios)
	addMissing("loads", toStrings(full.Loads), toStrings(g.Loads))
	addMissing("seeds", toStrings(full.Seeds), toStrings(g.Seeds))
	if g.Duration < full.Duration {
		parts = append(parts, fmt.Sprintf("cells of %s instead of %s", g.Duration, full.Duration))
	}
	if len(parts) == 0 {
		return "nothing"
	}
	return strings.Join(parts, ", ")
}

func toStrings[T any](values []T) []string {
	var all []string
	for _, v := range values {
		all = append(all, fmt.Sprint(v))
	}
	return all
}

// cell is one measurement of one policy.
type cell struct {
	Site     string
	Policy   string
	Scenario string
	Load     int
	Seed     uint64
}

// scheduleSeed returns the seed of the request schedule of the cell. It doesn't depend on the policy,
// so that all policies get the same requests.
func (c cell) scheduleSeed() uint64 {
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%s/%s/%d/%d", c.Site, c.Scenario, c.Load, c.Seed)
	return uint64(h.Sum32())
}

// deploymentCells returns the cells that the deployment of a site and a policy runs.
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
