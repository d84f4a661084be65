package faults

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/deployment"
	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/journal"
	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/load"
)

// figureNames holds the names of the figures that an expect statement can name, besides
// notrun.REASON.
var figureNames = []string{
	"duplicates", "untrue", "phantoms", "wrong",
	"answered", "lookups", "keyed", "failed", "unknown", "notrun", "falls", "deaths", "entrylost", "lostlookups", "innocents",
}

// evaluate prints the figures of the run and checks them and the executions against the
// expectations.
func (r *run) evaluate(ctx context.Context, rep *load.Report, entries []journal.Entry, begin time.Time, unansweredResends int) {
	v := load.Check(rep, entries)
	figures := outcomeFigures(rep, r.disruptedAddrs)
	figures["duplicates"], figures["untrue"] = float64(v.Duplicates), float64(v.FalseNotRun)
	figures["phantoms"], figures["wrong"] = float64(v.NeverRan), float64(v.Wrong)
	figures["innocents"] = float64(unansweredResends)
	figures["falls"], figures["deaths"] = r.upstreamFigures(ctx)
	r.print("%s", rep.Total())
	var fields []string
	for _, name := range figureNames {
		fields = append(fields, name+"="+formatNumber(figures[name]))
	}
	r.print("step=judge executions=%d %s", v.Executions, strings.Join(fields, " "))
	if !v.OK() {
		r.recordFailure(errors.Newf("outcomes are not correct: %q", v.Notes))
	}
	for _, t := range r.scenario.Thresholds {
		if !t.holds(figures[t.Name]) {
			r.recordFailure(errors.Newf("line %d: %s is %s, expected %s%s", t.Line, t.Name, formatNumber(figures[t.Name]), t.Op, formatNumber(t.Value)))
		}
	}
	for _, t := range r.scenario.TimingChecks {
		r.recordFailure(r.checkTiming(t, entries, begin))
	}
}

// lostByEntryNode reports whether an attempt got no response because the scenario killed or froze
// its entry node.
func lostByEntryNode(a load.Attempt, disrupted map[string]bool) bool {
	return a.Outcome == load.Unknown && a.Reason == "broken" && disrupted[a.EntryAddr]
}

// outcomeFigures returns the figures of the outcomes that callers got. disrupted holds the
// addresses of the entry nodes that the scenario killed or froze. A request that ended without a
// response from one of them counts as entrylost and not in the shares, because its caller did not
// send it to another node.
func outcomeFigures(rep *load.Report, disrupted map[string]bool) map[string]float64 {
	figures := make(map[string]float64)
	totals := make(map[string]float64)
	for _, c := range rep.Calls {
		if lostByEntryNode(c.Last(), disrupted) {
			figures["entrylost"]++
			continue
		}
		kind := "lookups"
		if rep.Routes[c.Route].Route.Keyed {
			kind = "keyed"
		}
		totals["answered"]++
		totals[kind]++
		if slices.ContainsFunc(c.Attempts, func(a load.Attempt) bool { return a.Outcome == load.Answered }) {
			figures["answered"]++
			figures[kind]++
			continue
		}
		switch c.Last().Outcome {
		case load.Failed:
			figures["failed"]++
		case load.NotRun:
			figures["notrun"]++
		default:
			figures["unknown"]++
			if rep.Routes[c.Route].Route.Method == http.MethodGet {
				figures["lostlookups"]++
			}
		}
	}
	for name, n := range totals {
		figures[name] /= n
	}
	for _, c := range rep.Calls {
		for _, a := range c.Attempts {
			if a.Outcome == load.NotRun {
				figures["notrun."+a.Reason]++
			}
		}
	}
	return figures
}

// upstreamFigures returns the number of overloads of all upstreams during cold starts, and the
// number of upstreams that exited without a step that ends them.
func (r *run) upstreamFigures(ctx context.Context) (overloads, crashes float64) {
	overloads = float64(r.overloads)
	for _, u := range r.d.OfKind(deployment.KindUpstream) {
		switch {
		case r.endedProcesses[u.Name]:
		case !u.Alive(r.Run):
			crashes++
		default:
			s, err := deployment.UpstreamStats(ctx, u.Addr)
			r.recordFailure(errors.Wrap(err, u.Name))
			overloads += float64(s.Overloads)
		}
	}
	return overloads, crashes
}

func (t Threshold) holds(x float64) bool {
	switch t.Op {
	case ">=":
		return x >= t.Value
	case "<=":
		return x <= t.Value
	default:
		return x == t.Value
	}
}

// checkTiming checks when the executions of the target started.
func (r *run) checkTiming(t TimingCheck, entries []journal.Entry, begin time.Time) error {
	after, ok := r.stepDone[t.After]
	until := begin.Add(maxDuration)
	if t.Until > 0 {
		until = begin.Add(t.Until)
	}
	if !ok {
		return errors.Newf("line %d: the step at %s did not run", t.Line, t.After)
	}
	matches := r.entryMatcher(t.Target)
	ranBefore, first, last := false, time.Duration(-1), time.Duration(-1)
	for _, e := range entries {
		switch {
		case !matches(e) || !e.Time.Before(until):
		case e.Time.Before(after):
			ranBefore = true
		default:
			delay := e.Time.Sub(after)
			last = max(last, delay)
			if first < 0 || delay < first {
				first = delay
			}
		}
	}
	r.print("step=%s target=%s first=%s last=%s", t.Kind, t.Target, first.Round(time.Millisecond), last.Round(time.Millisecond))
	switch {
	case t.Kind == "work" && (first < 0 || first > t.Within):
		return errors.Newf("line %d: no execution of target %s within %s", t.Line, t.Target, t.Within)
	case t.Kind == "quiet" && !ranBefore:
		return errors.Newf("line %d: no execution of target %s before the step, so the check proves nothing", t.Line, t.Target)
	case t.Kind == "quiet" && last > t.Within:
		return errors.Newf("line %d: an execution of target %s started %s after the step, the limit is %s", t.Line, t.Target, last, t.Within)
	}
	return nil
}

// entryMatcher returns a function that reports whether an execution belongs to the target.
func (r *run) entryMatcher(target string) func(journal.Entry) bool {
	if target == "keyed" {
		return func(e journal.Entry) bool { return e.Key != "" }
	}
	names := make(map[string]bool)
	for _, u := range r.d.OfKind(deployment.KindUpstream) {
		names[u.Name] = u.Name == target || u.Domain == target
	}
	return func(e journal.Entry) bool { return names[e.Upstream] }
}

// formatNumber formats a count or a share.
func formatNumber(x float64) string { return strconv.FormatFloat(x, 'g', 4, 64) }
