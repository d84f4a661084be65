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

// figureNames are the figures that a scenario can bound, besides
// notrun.REASON.
var figureNames = []string{
	"duplicates", "untrue", "phantoms", "wrong",
	"answered", "lookups", "keyed", "failed", "unknown", "notrun", "falls", "deaths", "entrylost", "lostlookups", "innocents",
}

// judge checks the outcome against the expectations.
func (r *run) judge(ctx context.Context, rep *load.Report, lines []journal.Entry, begin time.Time, innocents int) {
	v := load.Check(rep, lines)
	figures := outcomes(rep, r.hit)
	figures["duplicates"], figures["untrue"] = float64(v.Duplicates), float64(v.FalseNotRun)
	figures["phantoms"], figures["wrong"] = float64(v.NeverRan), float64(v.Wrong)
	figures["innocents"] = float64(innocents)
	figures["falls"], figures["deaths"] = r.countUpstreams(ctx)
	r.print("%s", rep.Total())
	var text []string
	for _, name := range figureNames {
		text = append(text, name+"="+number(figures[name]))
	}
	r.print("step=judge executions=%d %s", v.Executions, strings.Join(text, " "))
	if !v.OK() {
		r.fault(errors.Newf("outcomes are not correct: %q", v.Notes))
	}
	for _, b := range r.script.Thresholds {
		if !b.holds(figures[b.Name]) {
			r.fault(errors.Newf("line %d: %s is %s, expected %s%s", b.Line, b.Name, number(figures[b.Name]), b.Op, number(b.Value)))
		}
	}
	for _, t := range r.script.TimingChecks {
		r.fault(r.checkTrace(t, lines, begin))
	}
}

// lostEntry reports whether the caller got no answer from an entry node that
// the scenario killed or froze.
func lostEntry(s load.Attempt, hit map[string]bool) bool {
	return s.Outcome == load.Unknown && s.Reason == "broken" && hit[s.EntryAddr]
}

// outcomes returns the figures of what callers were told in the end. hit holds
// the addresses of the entry nodes that the scenario killed or froze. A request
// that ended without an answer from one of them counts as entrylost and not in
// the shares: its caller did not send it to another node.
func outcomes(rep *load.Report, hit map[string]bool) map[string]float64 {
	figures := make(map[string]float64)
	sent := make(map[string]float64)
	for _, c := range rep.Calls {
		if lostEntry(c.Last(), hit) {
			figures["entrylost"]++
			continue
		}
		kind := "lookups"
		if rep.Routes[c.Route].Route.Keyed {
			kind = "keyed"
		}
		sent["answered"]++
		sent[kind]++
		if slices.ContainsFunc(c.Attempts, func(s load.Attempt) bool { return s.Outcome == load.Answered }) {
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
	for name, n := range sent {
		figures[name] /= n
	}
	for _, c := range rep.Calls {
		for _, s := range c.Attempts {
			if s.Outcome == load.NotRun {
				figures["notrun."+s.Reason]++
			}
		}
	}
	return figures
}

// countUpstreams returns the falls of all upstreams, and how many ended
// without the scenario.
func (r *run) countUpstreams(ctx context.Context) (falls, deaths float64) {
	falls = float64(r.falls)
	for _, u := range r.d.OfKind(deployment.KindUpstream) {
		switch {
		case r.down[u.Name]:
		case !u.Alive(r.Run):
			deaths++
		default:
			s, err := deployment.UpstreamStats(ctx, u.Addr)
			r.fault(errors.Wrap(err, u.Name))
			falls += float64(s.Overloads)
		}
	}
	return falls, deaths
}

func (b Threshold) holds(x float64) bool {
	switch b.Op {
	case ">=":
		return x >= b.Value
	case "<=":
		return x <= b.Value
	default:
		return x == b.Value
	}
}

// checkTrace judges when executions of the target started.
func (r *run) checkTrace(t TimingCheck, lines []journal.Entry, begin time.Time) error {
	after, ok := r.done[t.After]
	until := begin.Add(maxFor)
	if t.Until > 0 {
		until = begin.Add(t.Until)
	}
	if !ok {
		return errors.Newf("line %d: the step at %s was not done", t.Line, t.After)
	}
	inside := r.matcher(t.Target)
	worked, first, last := false, time.Duration(-1), time.Duration(-1)
	for _, e := range lines {
		switch {
		case !inside(e) || !e.Time.Before(until):
		case e.Time.Before(after):
			worked = true
		default:
			d := e.Time.Sub(after)
			last = max(last, d)
			if first < 0 || d < first {
				first = d
			}
		}
	}
	r.print("step=%s target=%s first=%s last=%s", t.Kind, t.Target, first.Round(time.Millisecond), last.Round(time.Millisecond))
	switch {
	case t.Kind == "work" && (first < 0 || first > t.Within):
		return errors.Newf("line %d: %s got no work within %s", t.Line, t.Target, t.Within)
	case t.Kind == "quiet" && !worked:
		return errors.Newf("line %d: %s got no work before, so the check shows nothing", t.Line, t.Target)
	case t.Kind == "quiet" && last > t.Within:
		return errors.Newf("line %d: %s got new work after %s, the bound is %s", t.Line, t.Target, last, t.Within)
	}
	return nil
}

// matcher returns whether an execution belongs to the target.
func (r *run) matcher(target string) func(journal.Entry) bool {
	if target == "keyed" {
		return func(e journal.Entry) bool { return e.Key != "" }
	}
	names := make(map[string]bool)
	for _, u := range r.d.OfKind(deployment.KindUpstream) {
		names[u.Name] = u.Name == target || u.Domain == target
	}
	return func(e journal.Entry) bool { return names[e.Upstream] }
}

// number formats a count or a share.
func number(x float64) string { return strconv.FormatFloat(x, 'g', 4, 64) }
