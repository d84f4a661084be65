package load

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms.
const (
	lowestMicros      = 1
	highestMicros     = 120_000_000
	significantDigits = 3
)

// RouteReport holds the results of one route.
type RouteReport struct {
	Route    Route
	Sent     int
	Answered int
	Failed   int
	NotRun   int
	Unknown  int
	Wrong    int
	// Missed counts arrivals that were not sent because too many requests were in flight.
	Missed int
	// Resent counts all attempts after the first ones: resends of keyed requests and failovers.
	Resent int
	// Reasons counts the reasons of outcomes other than answered.
	Reasons map[string]int
	// AnsweredMicros holds the latencies of answered requests, counted from the scheduled start.
	AnsweredMicros *hdrhistogram.Histogram
	// AllMicros holds the latencies of all requests. A request that was missed or got no 2xx
	// response counts with the timeout of its caller, so that failing fast does not look like a
	// short latency.
	AllMicros *hdrhistogram.Histogram
}

// Report is the result of a run.
type Report struct {
	Routes []RouteReport
	// Calls holds every sent request, including those of the warm-up.
	Calls         []Call
	Elapsed       time.Duration
	warmUp        time.Duration
	callerTimeout time.Duration
	lastArrival   time.Duration // latest scheduled start of a measured call
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
}

func newReport(mix []Route, warmUp, callerTimeout time.Duration) *Report {
	rep := &Report{warmUp: warmUp, callerTimeout: callerTimeout}
	for _, r := range mix {
		rep.Routes = append(rep.Routes, RouteReport{Route: r, Reasons: make(map[string]int), AnsweredMicros: newHistogram(), AllMicros: newHistogram()})
	}
	return rep
}

func (rep *Report) add(c Call, first Attempt) {
	rep.Calls = append(rep.Calls, c)
	if c.At < rep.warmUp {
		return
	}
	rep.lastArrival = max(rep.lastArrival, c.At)
	r := &rep.Routes[c.Route]
	r.Sent++
	r.Resent += len(c.Attempts) - 1
	for _, a := range c.Attempts {
		if a.Outcome == Wrong {
			r.Wrong++
		}
	}
	latency := rep.callerTimeout
	switch first.Outcome {
	case Answered:
		r.Answered++
		latency = first.End.Sub(c.Start)
		recordLatency(r.AnsweredMicros, latency)
	case Failed:
		r.Failed++
	case NotRun:
		r.NotRun++
	case Unknown:
		r.Unknown++
	case Wrong:
	}
	recordLatency(r.AllMicros, latency)
	if first.Reason != "" {
		r.Reasons[first.Reason]++
	}
}

// recordLatency counts a latency above the range as its maximum.
func recordLatency(h *hdrhistogram.Histogram, latency time.Duration) {
	_ = h.RecordValue(min(latency.Microseconds(), highestMicros))
}

// addMissed counts an arrival that was not sent.
func (rep *Report) addMissed(a Arrival) {
	if a.At < rep.warmUp {
		return
	}
	r := &rep.Routes[a.Route]
	r.Missed++
	recordLatency(r.AllMicros, rep.callerTimeout)
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

// Measured returns the time between the end of the warm-up and the last measured call.
func (rep *Report) Measured() time.Duration { return rep.lastArrival - rep.warmUp }

// Quantile returns the q-th percentile of the latencies of answered requests in milliseconds.
func (r RouteReport) Quantile(q float64) float64 {
	return float64(r.AnsweredMicros.ValueAtQuantile(q)) / 1000
}

// QuantileAll returns the q-th percentile of the latencies of all requests in milliseconds.
func (r RouteReport) QuantileAll(q float64) float64 {
	return float64(r.AllMicros.ValueAtQuantile(q)) / 1000
}

// UnsuccessfulShare returns the share of requests that were missed or got no 2xx response, not
// counting resends.
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
		r.Quantile(50), r.Quantile(99), r.Quantile(99.9), float64(r.AnsweredMicros.Max())/1000, formatReasons(r.Reasons))
}

func formatReasons(reasons map[string]int) string {
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

// Summary returns one line for each route and one for their total.
func (rep *Report) Summary() string {
	var b strings.Builder
	for _, r := range rep.Routes {
		b.WriteString(r.String() + "\n")
	}
	b.WriteString(rep.Total().String() + "\n")
	return b.String()
}
