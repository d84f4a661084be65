package load

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the histograms.
const (
	lowestMicros  = 1
	highestMicros = 120_000_000
	digits        = 3
)

// RouteReport holds the figures of one route.
type RouteReport struct {
	Route    Route
	Sent     int
	Answered int
	Failed   int
	NotRun   int
	Unknown  int
	Wrong    int
	// Missed shots were not sent because too many requests were in flight.
	Missed int
	// Resent counts further sends of keyed requests and to other nodes.
	Resent int
	// Reasons counts the reasons of outcomes other than answered.
	Reasons map[string]int
	// AnsweredMicros holds latencies of answered requests, from the intended start.
	AnsweredMicros *hdrhistogram.Histogram
	// AllMicros holds the latencies of all requests; one that was refused, failed,
	// ended as unknown or was missed counts with the timeout of its caller, so
	// that failing fast does not look like a short latency.
	AllMicros *hdrhistogram.Histogram
}

// Report is the result of a run.
type Report struct {
	Routes []RouteReport
	// Calls holds every request, also those of the warm-up.
	Calls   []Call
	Elapsed time.Duration
	warm    time.Duration
	limit   time.Duration // timeout of a caller
	last    time.Duration // latest intended start
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, digits)
}

func newReport(mix []Route, warm, limit time.Duration) *Report {
	rep := &Report{warm: warm, limit: limit}
	for _, r := range mix {
		rep.Routes = append(rep.Routes, RouteReport{Route: r, Reasons: make(map[string]int), AnsweredMicros: newHistogram(), AllMicros: newHistogram()})
	}
	return rep
}

func (rep *Report) add(c Call, first Attempt) {
	rep.Calls = append(rep.Calls, c)
	if c.At < rep.warm {
		return
	}
	rep.last = max(rep.last, c.At)
	r := &rep.Routes[c.Route]
	r.Sent++
	r.Resent += len(c.Attempts) - 1
	for _, s := range c.Attempts {
		if s.Outcome == Wrong {
			r.Wrong++
		}
	}
	took := rep.limit
	switch first.Outcome {
	case Answered:
		r.Answered++
		took = first.End.Sub(c.Start)
		record(r.AnsweredMicros, took)
	case Failed:
		r.Failed++
	case NotRun:
		r.NotRun++
	case Unknown:
		r.Unknown++
	case Wrong:
	}
	record(r.AllMicros, took)
	if first.Reason != "" {
		r.Reasons[first.Reason]++
	}
}

// record counts a value above the range as its end.
func record(h *hdrhistogram.Histogram, took time.Duration) {
	_ = h.RecordValue(min(took.Microseconds(), highestMicros))
}

// miss counts a shot that was not sent.
func (rep *Report) miss(s Arrival) {
	if s.At < rep.warm {
		return
	}
	r := &rep.Routes[s.Route]
	r.Missed++
	record(r.AllMicros, rep.limit)
}

// Total returns the sum over all routes.
func (rep *Report) Total() RouteReport {
	t := RouteReport{Route: Route{Service: "all"}, Reasons: make(map[string]int), AnsweredMicros: newHistogram(), AllMicros: newHistogram()}
	for _, r := range rep.Routes {
		t.Sent += r.Sent
		t.Answered += r.Answered
		t.Failed += r.Failed
		t.NotRun += r.NotRun
		t.Unknown += r.Unknown
		t.Wrong += r.Wrong
		t.Missed += r.Missed
		t.Resent += r.Resent
		for k, n := range r.Reasons {
			t.Reasons[k] += n
		}
		t.AnsweredMicros.Merge(r.AnsweredMicros)
		t.AllMicros.Merge(r.AllMicros)
	}
	return t
}

// Measured returns the time between the end of the warm-up and the last shot.
func (rep *Report) Measured() time.Duration { return rep.last - rep.warm }

// Quantile returns a latency in milliseconds.
func (r RouteReport) Quantile(q float64) float64 {
	return float64(r.AnsweredMicros.ValueAtQuantile(q)) / 1000
}

// QuantileAll returns a latency in milliseconds over all requests.
func (r RouteReport) QuantileAll(q float64) float64 {
	return float64(r.AllMicros.ValueAtQuantile(q)) / 1000
}

// UnsuccessfulShare returns the share of requests that were not answered with status 2xx.
func (r RouteReport) UnsuccessfulShare() float64 {
	if r.Sent+r.Missed == 0 {
		return 0
	}
	return 1 - float64(r.Answered)/float64(r.Sent+r.Missed)
}

// String returns one line of key=value pairs.
func (r RouteReport) String() string {
	name := r.Route.Service
	if r.Route.Path != "" {
		name = r.Route.Name()
	}
	return fmt.Sprintf("route=%s sent=%d answered=%d failed=%d notrun=%d unknown=%d wrong=%d missed=%d resent=%d p50=%.1fms p99=%.1fms p999=%.1fms max=%.1fms reasons=%s",
		name, r.Sent, r.Answered, r.Failed, r.NotRun, r.Unknown, r.Wrong, r.Missed, r.Resent,
		r.Quantile(50), r.Quantile(99), r.Quantile(99.9), float64(r.AnsweredMicros.Max())/1000, reasonList(r.Reasons))
}

func reasonList(reasons map[string]int) string {
	var parts []string
	for k, n := range reasons {
		parts = append(parts, fmt.Sprintf("%s:%d", k, n))
	}
	sort.Strings(parts)
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ",")
}

// Summary returns one line for each route and one for all.
func (rep *Report) Summary() string {
	var b strings.Builder
	for _, r := range rep.Routes {
		b.WriteString(r.String() + "\n")
	}
	b.WriteString(rep.Total().String() + "\n")
	return b.String()
}
