// Package hop is the header in which nodes talk about a request that one of
// them sends to another: the entry node says what it knows of the request and of
// the alternatives, and the node beside the upstream answers with its load and,
// when it refuses, why. The request itself and its answer travel as HTTP.
//
// # Usage
//
//	req.Header.Set(hop.Header, hop.RequestMeta{ExchangeID: id, Service: "archive", …}.Encode())
//	meta, err := hop.ParseRequestMeta(r.Header.Get(hop.Header))
//	w.Header().Set(hop.Header, hop.ResponseMeta{Load: gate.Load(), RejectReason: "full"}.Encode())
package hop

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/coordination/placement"
	"github.com/mulberrylink/mulberrylink/coordination/routes"
)

// Header carries a RequestMeta or a ResponseMeta. It is removed before a request reaches an
// upstream and before an answer reaches a caller.
const Header = "Mulberry-Hop"

// ResolvePath asks for the outcome of an exchange whose connection was lost.
const ResolvePath = "/-/mulberry/exchange/"

// RequestMeta is what an entry node says of a request.
type RequestMeta struct {
	// ExchangeID identifies the exchange. It is unique in the deployment.
	ExchangeID string
	Service    string
	Route      string
	Kind       routes.Kind
	// CallerService is the service beside the entry node.
	CallerService string
	Priority      int
	// Objective, Timeout and ServiceTime count in milliseconds from the sending.
	Objective, Timeout, ServiceTime time.Duration
	// ServiceTimeAssumed is true while the entry node has not seen the work of this route.
	ServiceTimeAssumed bool
	// AlternativeCost is the cost expected at the best other upstream, 0 for none.
	AlternativeCost float64
}

const fields = 9

// guessed marks work that was not observed.
const guessed = "?"

// Encode returns the value of the header.
func (a RequestMeta) Encode() string {
	work := millis(a.ServiceTime)
	if a.ServiceTimeAssumed {
		work += guessed
	}
	var b strings.Builder
	for _, s := range []string{
		a.ExchangeID, a.Service, a.Route, strconv.Itoa(int(a.Kind)), a.CallerService, strconv.Itoa(a.Priority),
		millis(a.Objective) + "," + millis(a.Timeout), work,
		strconv.FormatFloat(a.AlternativeCost, 'f', 3, 64),
	} {
		if b.Len() > 0 {
			b.WriteByte(';')
		}
		b.WriteString(s)
	}
	return b.String()
}

func millis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// ParseRequestMeta reads the header of a request.
func ParseRequestMeta(text string) (RequestMeta, error) {
	p := strings.Split(text, ";")
	if len(p) != fields {
		return RequestMeta{}, errors.Newf("%d fields instead of %d", len(p), fields)
	}
	r := reader{}
	objective, timeout, _ := strings.Cut(p[6], ",")
	work, isGuess := strings.CutSuffix(p[7], guessed)
	a := RequestMeta{
		ExchangeID: p[0], Service: p[1], Route: p[2], Kind: routes.Kind(r.int(p[3])), CallerService: p[4],
		Priority: r.int(p[5]), Objective: r.millis(objective), Timeout: r.millis(timeout),
		ServiceTime: r.millis(work), ServiceTimeAssumed: isGuess, AlternativeCost: r.float(p[8]),
	}
	return a, errors.Wrap(r.err, "hop header")
}

// ResponseMeta is what the node beside the upstream says.
type ResponseMeta struct {
	Load placement.Load
	// RejectReason is the reason why the request did not reach the upstream, empty
	// when it did.
	RejectReason string
	// RetryAfter is when there will be room, with a refusal.
	RetryAfter time.Duration
	// ServiceTime is the time that the upstream would have taken at its usual pace.
	ServiceTime time.Duration
	// NotRun is true when the upstream itself says that it did not run the
	// request; ExchangeFailed when its answer was unusable.
	NotRun, ExchangeFailed bool
	// Epoch identifies the process of the node, which remembers exchanges.
	Epoch string
}

// Encode returns the value of the header.
func (r ResponseMeta) Encode() string {
	flags := 0
	for i, f := range []bool{r.Load.Cold, r.NotRun, r.ExchangeFailed} {
		if f {
			flags |= 1 << i
		}
	}
	return strings.Join([]string{
		strconv.Itoa(r.Load.Running) + "," + strconv.Itoa(r.Load.Waiting) + "," + strconv.Itoa(r.Load.Slots),
		strconv.FormatFloat(r.Load.Slowdown, 'f', 2, 64), strconv.FormatFloat(r.Load.FailureRate, 'f', 2, 64),
		strconv.Itoa(flags), millis(r.ServiceTime), r.RejectReason, millis(r.RetryAfter), r.Epoch,
	}, ";")
}

// ParseResponseMeta reads the header of an answer.
func ParseResponseMeta(text string) (ResponseMeta, error) {
	p := strings.Split(text, ";")
	if len(p) != 8 {
		return ResponseMeta{}, errors.Newf("hop header with %d fields", len(p))
	}
	counts := strings.Split(p[0], ",")
	if len(counts) != 3 {
		return ResponseMeta{}, errors.New("hop header without counts")
	}
	r := reader{}
	flags := r.int(p[3])
	out := ResponseMeta{
		Load: placement.Load{
			Running: r.int(counts[0]), Waiting: r.int(counts[1]), Slots: r.int(counts[2]),
			Slowdown: r.float(p[1]), FailureRate: r.float(p[2]), Cold: flags&1 != 0,
		},
		NotRun: flags&2 != 0, ExchangeFailed: flags&4 != 0,
		ServiceTime: r.millis(p[4]), RejectReason: p[5], RetryAfter: r.millis(p[6]), Epoch: p[7],
	}
	return out, errors.Wrap(r.err, "hop header")
}

// reader keeps the first error of several conversions.
type reader struct{ err error }

func (r *reader) int(s string) int {
	n, err := strconv.Atoi(s)
	if err != nil && r.err == nil {
		r.err = err
	}
	return n
}

func (r *reader) float(s string) float64 {
	x, err := strconv.ParseFloat(s, 64)
	if err != nil && r.err == nil {
		r.err = err
	}
	return x
}

func (r *reader) millis(s string) time.Duration { return time.Duration(r.int(s)) * time.Millisecond }
