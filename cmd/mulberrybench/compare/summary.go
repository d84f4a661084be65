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

// spread is the figures of one group over its seeds.
type spread struct {
	groupKey
	Seeds             int
	P50, P99, P999    float64 // medians in milliseconds
	P99Low, P99High   float64
	Goodput           float64 // median
	Untrue            int
	Duplicates, Wrong int
	Falls             int
	P99All            float64 // median, see load.RouteReport.AllMicros
	Lost              float64 // median share of requests without an answer
}

// group returns the spread of every group, sorted.
func group(all []result) []spread {
	members := make(map[groupKey][]result)
	for _, r := range all {
		k := groupKey{Site: r.Site, Scenario: r.Scenario, Load: r.Load, Policy: r.Policy}
		members[k] = append(members[k], r)
	}
	var groups []spread
	for k, some := range members {
		groups = append(groups, spreadOf(k, some))
	}
	slices.SortFunc(groups, func(a, b spread) int {
		return cmp.Or(
			cmp.Compare(a.Site, b.Site),
			cmp.Compare(slices.Index(scenarios, a.Scenario), slices.Index(scenarios, b.Scenario)),
			cmp.Compare(a.Load, b.Load),
			cmp.Compare(slices.Index(policies, a.Policy), slices.Index(policies, b.Policy)),
		)
	})
	return groups
}

func spreadOf(k groupKey, some []result) spread {
	s := spread{groupKey: k, Seeds: len(some)}
	var p50, p99, p999, goodput, p99all, lost []float64
	for _, r := range some {
		p50 = append(p50, r.Total.Quantile(50))
		p99 = append(p99, r.Total.Quantile(99))
		p999 = append(p999, r.Total.Quantile(99.9))
		goodput = append(goodput, r.Goodput)
		p99all = append(p99all, r.Total.QuantileAll(99))
		lost = append(lost, r.Total.UnsuccessfulShare())
		s.Falls += r.Falls
		s.Untrue += r.Verdict.FalseNotRun
		s.Duplicates += r.Verdict.Duplicates
		s.Wrong += r.Verdict.Wrong
	}
	s.P50, s.P99, s.P999, s.Goodput = median(p50), median(p99), median(p999), median(goodput)
	s.P99All, s.Lost = median(p99all), median(lost)
	s.P99Low, s.P99High = slices.Min(p99), slices.Max(p99)
	return s
}

// median returns the mean of the two middle values when their number is even.
func median(values []float64) float64 {
	slices.Sort(values)
	n := len(values)
	return (values[(n-1)/2] + values[n/2]) / 2
}

// String returns one line of key=value pairs.
func (s spread) String() string {
	return fmt.Sprintf("spread site=%s scenario=%s load=%d policy=%s seeds=%d p50=%.1fms p99=%.1fms p99min=%.1fms p99max=%.1fms p999=%.1fms goodput=%.1f untrue=%d duplicates=%d falls=%d p99all=%.1fms lost=%.4f",
		s.Site, s.Scenario, s.Load, s.Policy, s.Seeds, s.P50, s.P99, s.P99Low, s.P99High, s.P999, s.Goodput, s.Untrue, s.Duplicates,
		s.Falls, s.P99All, s.Lost)
}

// summary returns the spreads and, for each scenario and load, the adaptive
// policy against the best baseline for each figure.
func summary(groups []spread) []string {
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
			s.P99All, lowest(groups, s, func(o spread) float64 { return o.P99All }),
			s.Lost, lowest(groups, s, func(o spread) float64 { return o.Lost }), s.Falls))
	}
	return lines
}

// bestBaseline returns the baseline with the lowest p99 and the one with the
// highest goodput.
func bestBaseline(groups []spread, of spread) (latency, goodput spread, ok bool) {
	for _, s := range groups {
		if s.Site != of.Site || s.Scenario != of.Scenario || s.Load != of.Load || s.Policy == of.Policy {
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

// lowest returns the lowest figure among the baselines.
func lowest(groups []spread, of spread, figure func(spread) float64) float64 {
	low := math.Inf(1)
	for _, s := range groups {
		if sameChart(s, of) && s.Policy != of.Policy {
			low = min(low, figure(s))
		}
	}
	return low
}
