package rollout

import (
	"cmp"
	"math"
	"slices"
)

const (
	// slowBuckets is the number of buckets above the median of the old version from which a service time
	// is slow, at least twice the median. Slow versions take several times as long, and the spread within
	// one version counts on both sides.
	slowBuckets = 3
	// priorResults is the weight of the share of bad results since the start, in results.
	priorResults = 20
	// skew is the relative error of the expected share within a slice: reports of the nodes arrive up to
	// 0.15 s apart, and a burst starts and ends within a slice.
	skew = 0.25
	// minMedian is the number of results of the old version from which its median is used.
	minMedian = 10
	// minExcess is the number of bad results beyond the expected ones that a verdict needs, and minRise
	// the rise of their share.
	minExcess = 5
	minRise   = 0.03
	// verdictDeviations is the excess beyond verdictOffset, in standard deviations, that a verdict needs. The
	// offset is for small numbers, whose distribution has a longer tail than the normal one. The results are compared
	// ten times a second for the whole rollout, and overdispersion is the factor by which the variance of
	// bad results exceeds that of independent ones: hosts are slow for some hundred milliseconds.
	verdictDeviations = 3.5
	verdictOffset     = 2
	overdispersion    = 2
	// soloExcess and soloDeviations apply without the quarter of the upstreams that contributes most.
	soloExcess     = 3
	soloDeviations = 2.5
	// suspectExcess, suspectDeviations and their values without these upstreams are the
	// excess from which the ramp waits.
	suspectExcess, suspectDeviations         = 3, 1.5
	suspectSoloExcess, suspectSoloDeviations = 0.9, 0.7
	// finalExcess, finalDeviations and their values without these upstreams apply when
	// there is no more time to wait.
	finalExcess, finalDeviations         = 3, 3
	finalSoloExcess, finalSoloDeviations = 1.3, 2
)

// tally is the sum of results of one version on one route.
type tally struct {
	failed uint32
	times  [bucketCount]uint32
}

func (t *tally) add(c, base *Counts) {
	var zero Counts
	if base == nil {
		base = &zero
	}
	t.failed += since(c.Failed, base.Failed)
	for i, n := range c.Times {
		earlier := uint32(0)
		if i < len(base.Times) {
			earlier = base.Times[i]
		}
		t.times[i] += since(n, earlier)
	}
}

// since returns how much a counter has grown.
func since(n, earlier uint32) uint32 {
	if n < earlier {
		return 0
	}
	return n - earlier
}

func (t *tally) total() uint32 {
	n := t.failed
	for _, c := range t.times {
		n += c
	}
	return n
}

// bad returns the number of failures and of results in the slow buckets.
func (t *tally) bad(slowFrom int) uint32 {
	n := t.failed
	for i := slowFrom; i < bucketCount; i++ {
		n += t.times[i]
	}
	return n
}

// medianBucket returns the bucket of the median service time, or false with too few results.
func (t *tally) medianBucket() (int, bool) {
	answered := t.total() - t.failed
	if answered < minMedian {
		return 0, false
	}
	seen := uint32(0)
	for i, n := range t.times {
		if seen += n; 2*seen >= answered {
			return i, true
		}
	}
	return 0, false
}

// slice holds the results of both versions within a short time: the new ones by route and node, the old
// ones by route.
type slice struct {
	fresh map[string]map[string]*tally
	old   map[string]*tally
}

// newSlice returns the growth of the reports since earlier ones, by node. A node without an earlier
// report is left out, because its first one may cover a longer time.
func newSlice(to string, reports, earlier map[string]*Report) *slice {
	s := &slice{fresh: make(map[string]map[string]*tally), old: make(map[string]*tally)}
	for node, r := range reports {
		base := earlier[node]
		switch {
		case base == nil:
			continue
		case base.Epoch != r.Epoch:
			base = nil // a restarted process counts from zero
		}
		for i := range r.Counts {
			c := &r.Counts[i]
			s.tally(c, to, node).add(c, base.find(c))
		}
	}
	return s
}

func (s *slice) tally(c *Counts, to, node string) *tally {
	if c.Release != to {
		if s.old[c.Route] == nil {
			s.old[c.Route] = &tally{}
		}
		return s.old[c.Route]
	}
	if s.fresh[c.Route] == nil {
		s.fresh[c.Route] = make(map[string]*tally)
	}
	if s.fresh[c.Route][node] == nil {
		s.fresh[c.Route][node] = &tally{}
	}
	return s.fresh[c.Route][node]
}

// results returns the numbers of results of the new and the old version.
func (s *slice) results() (fresh, old uint32) {
	for _, byNode := range s.fresh {
		for _, t := range byNode {
			fresh += t.total()
		}
	}
	for _, t := range s.old {
		old += t.total()
	}
	return fresh, old
}

// find returns the counts of the same version and route. r may be nil.
func (r *Report) find(c *Counts) *Counts {
	if r == nil {
		return nil
	}
	for i := range r.Counts {
		if r.Counts[i].Release == c.Release && r.Counts[i].Route == c.Route {
			return &r.Counts[i]
		}
	}
	return nil
}

// evidence is the excess of bad results of the new version over the number that is expected from the old
// one, with its variance.
type evidence struct {
	results, badResults uint32
	excess, variance    float64
}

func (e *evidence) add(other evidence) {
	e.results += other.results
	e.badResults += other.badResults
	e.excess += other.excess
	e.variance += other.variance
}

func (e evidence) exceeds(excess, deviations float64) bool {
	return e.excess >= excess && e.excess >= deviations*math.Sqrt(overdispersion*e.variance)
}

// significant reports whether the excess is enough for a verdict.
func (e evidence) significant() bool {
	return e.excess >= minExcess && e.excess >= verdictOffset+verdictDeviations*math.Sqrt(overdispersion*e.variance)
}

// evidenceMap holds evidence by route and node.
type evidenceMap map[string]map[string]evidence

func (m evidenceMap) add(other evidenceMap) {
	for route, byNode := range other {
		if m[route] == nil {
			m[route] = make(map[string]evidence)
		}
		for node, e := range byNode {
			sum := m[route][node]
			sum.add(e)
			m[route][node] = sum
		}
	}
}

// results returns the number of results of the new version.
func (m evidenceMap) results() uint32 {
	n := uint32(0)
	for _, byNode := range m {
		for _, e := range byNode {
			n += e.results
		}
	}
	return n
}

// baseline is the results of the old version since the start of the comparison, by route.
type baseline map[string]*tally

func (b baseline) add(s *slice) {
	for route, t := range s.old {
		if b[route] == nil {
			b[route] = &tally{}
		}
		b[route].failed += t.failed
		for i, n := range t.times {
			b[route].times[i] += n
		}
	}
}

// route returns the bucket from which a service time is slow on a route, and the share of bad results.
func (b baseline) route(name string) (slowFrom int, share float64) {
	t := b[name]
	if t == nil {
		t = &tally{}
	}
	slowFrom = bucketCount
	if median, ok := t.medianBucket(); ok {
		slowFrom = min(bucketCount, median+slowBuckets)
	}
	return slowFrom, (float64(t.bad(slowFrom)) + 0.5) / (float64(t.total()) + 1)
}

// compare returns the evidence of a slice. The expected share of bad results is that of the old version
// in the slice, with the one since the start as a prior: many slices have few results.
func (b baseline) compare(s *slice) evidenceMap {
	m := make(evidenceMap)
	for route, byNode := range s.fresh {
		slowFrom, prior := b.route(route)
		old := s.old[route]
		if old == nil {
			old = &tally{}
		}
		weight := float64(old.total()) + priorResults
		p := (float64(old.bad(slowFrom)) + priorResults*prior) / weight
		all := 0.0
		for _, t := range byNode {
			all += float64(t.total())
		}
		m[route] = make(map[string]evidence)
		for node, t := range byNode {
			n, bad := float64(t.total()), t.bad(slowFrom)
			variance := n*p*(1-p)*(1+all/weight) + n*all*skew*skew*p*p
			m[route][node] = evidence{results: t.total(), badResults: bad, excess: float64(bad) - n*p, variance: variance}
		}
	}
	return m
}

// uncontrolledRise is by how much the share of bad results must exceed that of the old version before, in
// each slice for uncontrolledTime, while the old version gets no requests. A burst that hits every
// upstream is shorter.
const uncontrolledRise = 0.2

// rises reports whether the share of bad results in a slice without results of the old version is much
// higher than before, also without the worst upstream.
func (b baseline) rises(s *slice) bool {
	byNode := make(map[string]evidence)
	for route, nodes := range s.fresh {
		slowFrom, prior := b.route(route)
		for node, t := range nodes {
			e := byNode[node]
			e.add(evidence{results: t.total(), badResults: t.bad(slowFrom), excess: float64(t.bad(slowFrom)) - (prior+uncontrolledRise)*float64(t.total())})
			byNode[node] = e
		}
	}
	all, worst := sumNodes(byNode)
	return all.excess > 0 && (len(byNode) == 1 || all.excess > byNode[worst].excess)
}

// sumNodes returns the sum of the evidence, and the node with the highest excess.
func sumNodes(byNode map[string]evidence) (all evidence, worst string) {
	highest := math.Inf(-1)
	for node, e := range byNode {
		all.add(e)
		if e.excess > highest || e.excess == highest && node < worst {
			highest, worst = e.excess, node
		}
	}
	return all, worst
}

// verdict is the result of a comparison.
type verdict struct {
	evidence
	bad     bool
	likely  bool // bad if there is no more time to wait
	suspect bool
	route   string // empty for all routes
}

func (v *verdict) level() int {
	switch {
	case v.bad:
		return 3
	case v.likely:
		return 2
	case v.suspect:
		return 1
	}
	return 0
}

// worse reports whether v is to be reported instead of other.
func (v *verdict) worse(other *verdict) bool {
	return v.level() > other.level()
}

// judge returns the verdict for all routes together, or that for one route if it is worse.
func (m evidenceMap) judge() verdict {
	pooled := make(map[string]evidence)
	for _, byNode := range m {
		for node, e := range byNode {
			sum := pooled[node]
			sum.add(e)
			pooled[node] = sum
		}
	}
	result := judgeNodes(pooled)
	for route, byNode := range m {
		v := judgeNodes(byNode)
		if v.route = route; v.worse(&result) {
			result = v
		}
	}
	return result
}

// withoutWorst returns the sum of the evidence without the quarter of the nodes with the highest excess,
// rounded up. A bad version is bad on all of its upstreams.
func withoutWorst(byNode map[string]evidence) (sum evidence) {
	all := make([]evidence, 0, len(byNode))
	for _, e := range byNode {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b evidence) int { return cmp.Compare(b.excess, a.excess) })
	for _, e := range all[(len(all)+3)/4:] {
		sum.add(e)
	}
	return sum
}

func judgeNodes(byNode map[string]evidence) verdict {
	all, _ := sumNodes(byNode)
	v := verdict{evidence: all}
	others := withoutWorst(byNode)
	alone := len(byNode) == 1
	v.suspect = all.exceeds(suspectExcess, suspectDeviations) && (alone || others.exceeds(suspectSoloExcess, suspectSoloDeviations))
	if all.excess < minRise*float64(all.results) {
		return v
	}
	if alone {
		v.bad = all.significant() && all.excess >= 2*minExcess // the host may be at fault
		return v
	}
	v.bad = all.significant() && others.exceeds(soloExcess, soloDeviations)
	v.likely = all.exceeds(finalExcess, finalDeviations) && others.exceeds(finalSoloExcess, finalSoloDeviations)
	return v
}
