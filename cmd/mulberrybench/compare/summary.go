package compare

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// groupKey identifies the cells that differ only in the seed.
type groupKey struct {
	Site     string
	Scenario string
	Load     int
	Policy   string
}

// groupStats holds the aggregated results of one group over its seeds.
type groupStats struct {
	groupKey
	Seeds             int
	P50, P99, P999    float64 // medians in milliseconds
	P99Low, P99High   float64 // lowest and highest seed
	Goodput           float64 // median, responses with status 2xx per second
	FalseNotRun       int
	Duplicates, Wrong int
	Overloads         int
	P99All            float64 // median, see load.RouteReport.AllMicros
	UnsuccessfulShare float64 // median share of requests without a 2xx response
}

// groupResults returns the statistics of every group, ordered by site, scenario, load and policy.
func groupResults(results []result) []groupStats {
	byKey := make(map[groupKey][]result)
	for _, r := range results {
		k := groupKey{Site: r.Site, Scenario: r.Scenario, Load: r.Load, Policy: r.Policy}
		byKey[k] = append(byKey[k], r)
	}
	var groups []groupStats
	for k, cells := range byKey {
		groups = append(groups, newGroupStats(k, cells))
	}
	slices.SortFunc(groups, func(a, b groupStats) int {
		return cmp.Or(
			cmp.Compare(a.Site, b.Site),
			cmp.Compare(slices.Index(scenarios, a.Scenario), slices.Index(scenarios, b.Scenario)),
			cmp.Compare(a.Load, b.Load),
			cmp.Compare(slices.Index(policies, a.Policy), slices.Index(policies, b.Policy)),
		)
	})
	return groups
}

func newGroupStats(k groupKey, results []result) groupStats {
	s := groupStats{groupKey: k, Seeds: len(results)}
	var p50, p99, p999, goodput, p99all, unsuccessful []float64
	for _, r := range results {
		p50 = append(p50, r.Total.Quantile(50))
		p99 = append(p99, r.Total.Quantile(99))
		p999 = append(p999, r.Total.Quantile(99.9))
		goodput = append(goodput, r.Goodput)
		p99all = append(p99all, r.Total.QuantileAll(99))
		unsuccessful = append(unsuccessful, r.Total.UnsuccessfulShare())
		s.Overloads += r.Overloads
		s.FalseNotRun += r.Verdict.FalseNotRun
		s.Duplicates += r.Verdict.Duplicates
		s.Wrong += r.Verdict.Wrong
	}
	s.P50, s.P99, s.P999, s.Goodput = median(p50), median(p99), median(p999), median(goodput)
	s.P99All, s.UnsuccessfulShare = median(p99all), median(unsuccessful)
	s.P99Low, s.P99High = slices.Min(p99), slices.Max(p99)
	return s
}

// median sorts values and returns their median: the mean of the two middle values if their number is
// even.
func median(values []float64) float64 {
	slices.Sort(values)
	n := len(values)
	return (values[(n-1)/2] + values[n/2]) / 2
}

// String returns one line of key=value pairs.
func (s groupStats) String() string {
	return fmt.Sprintf("spread site=%s scenario=%s load=%d policy=%s seeds=%d p50=%.1fms p99=%.1fms p99min=%.1fms p99max=%.1fms p999=%.1fms goodput=%.1f untrue=%d duplicates=%d falls=%d p99all=%.1fms lost=%.4f",
		s.Site, s.Scenario, s.Load, s.Policy, s.Seeds, s.P50, s.P99, s.P99Low, s.P99High, s.P999, s.Goodput, s.FalseNotRun, s.Duplicates,
		s.Overloads, s.P99All, s.UnsuccessfulShare)
}

// summaryLines returns a line for each group and, for each site, scenario and load, a line that
// compares the adaptive policy with the best baseline for each figure.
func summaryLines(groups []groupStats) []string {
	var lines []string
	for _, s := range groups {
		lines = append(lines, s.String())
	}
	for _, s := range groups {
		if s.Policy != policies[0] {
			continue
		}
		latency, goodput, ok := bestBaseline(groups, s)
		if !ok {
			continue
		}
		lines = append(lines, fmt.Sprintf("summary site=%s scenario=%s load=%d p99=%.1fms best=%s bestp99=%.1fms ratio=%.2f goodput=%.1f bestgoodput=%.1f p99all=%.1fms bestp99all=%.1fms lost=%.4f bestlost=%.4f falls=%d",
			s.Site, s.Scenario, s.Load, s.P99, latency.Policy, latency.P99, latency.P99/s.P99, s.Goodput, goodput.Goodput,
			s.P99All, lowestBaseline(groups, s, func(o groupStats) float64 { return o.P99All }),
			s.UnsuccessfulShare, lowestBaseline(groups, s, func(o groupStats) float64 { return o.UnsuccessfulShare }), s.Overloads))
	}
	return lines
}

// bestBaseline returns the baseline with the lowest p99 and the one with the highest goodput, with
// the same site, scenario and load as target. ok is false if there is no baseline.
func bestBaseline(groups []groupStats, target groupStats) (latency, goodput groupStats, ok bool) {
	for _, s := range groups {
		if s.Site != target.Site || s.Scenario != target.Scenario || s.Load != target.Load || s.Policy == target.Policy {
			continue
		}
		if !ok || s.P99 < latency.P99 {
			latency = s
		}
		if !ok || s.Goodput > goodput.Goodput {
			goodput = s
		}
		ok = true
	}
	return latency, goodput, ok
}

// lowestBaseline returns the lowest value of a figure among the baselines with the same site,
// scenario and load as target.
func lowestBaseline(groups []groupStats, target groupStats, figure func(groupStats) float64) float64 {
	low := math.Inf(1)
	for _, s := range groups {
		if sameChart(s, target) && s.Policy != target.Policy {
			low = min(low, figure(s))
		}
	}
	return low
}
