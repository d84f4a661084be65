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

const requestFields = 9

// guessed marks work that was not observed.
const assumedMark = "?"

// Encode returns the value of the header.
func (m RequestMeta) Encode() string {
	serviceTime := formatMillis(m.ServiceTime)
	if m.ServiceTimeAssumed {
		serviceTime += assumedMark
	}
	var b strings.Builder
	for _, s := range []string{
		m.ExchangeID, m.Service, m.Route, strconv.Itoa(int(m.Kind)), m.CallerService, strconv.Itoa(m.Priority),
		formatMillis(m.Objective) + "," + formatMillis(m.Timeout), serviceTime,
		strconv.FormatFloat(m.AlternativeCost, 'f', 3, 64),
	} {
		if b.Len() > 0 {
			b.WriteByte(';')
		}
		b.WriteString(s)
	}
	return b.String()
}

func formatMillis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// ParseRequestMeta reads the header of a request.
func ParseRequestMeta(text string) (RequestMeta, error) {
	fields := strings.Split(text, ";")
	if len(fields) != requestFields {
		return RequestMeta{}, errors.Newf("%d fields instead of %d", len(fields), requestFields)
	}
	p := fieldParser{}
	objective, timeout, _ := strings.Cut(fields[6], ",")
	serviceTime, assumed := strings.CutSuffix(fields[7], assumedMark)
	meta := RequestMeta{
		ExchangeID: fields[0], Service: fields[1], Route: fields[2], Kind: routes.Kind(p.int(fields[3])), CallerService: fields[4],
		Priority: p.int(fields[5]), Objective: p.millis(objective), Timeout: p.millis(timeout),
		ServiceTime: p.millis(serviceTime), ServiceTimeAssumed: assumed, AlternativeCost: p.float(fields[8]),
	}
	return meta, errors.Wrap(p.err, "hop header")
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
func (m ResponseMeta) Encode() string {
	flags := 0
	for i, f := range []bool{m.Load.Cold, m.NotRun, m.ExchangeFailed} {
		if f {
			flags |= 1 << i
		}
	}
	return strings.Join([]string{
		strconv.Itoa(m.Load.Running) + "," + strconv.Itoa(m.Load.Waiting) + "," + strconv.Itoa(m.Load.Slots),
		strconv.FormatFloat(m.Load.Slowdown, 'f', 2, 64), strconv.FormatFloat(m.Load.FailureRate, 'f', 2, 64),
		strconv.Itoa(flags), formatMillis(m.ServiceTime), m.RejectReason, formatMillis(m.RetryAfter), m.Epoch,
	}, ";")
}

// ParseResponseMeta reads the header of an answer.
func ParseResponseMeta(text string) (ResponseMeta, error) {
	fields := strings.Split(text, ";")
	if len(fields) != 8 {
		return ResponseMeta{}, errors.Newf("hop header with %d fields", len(fields))
	}
	counts := strings.Split(fields[0], ",")
	if len(counts) != 3 {
		return ResponseMeta{}, errors.New("hop header without counts")
	}
	p := fieldParser{}
	flags := p.int(fields[3])
	meta := ResponseMeta{
		Load: placement.Load{
			Running: p.int(counts[0]), Waiting: p.int(counts[1]), Slots: p.int(counts[2]),
			Slowdown: p.float(fields[1]), FailureRate: p.float(fields[2]), Cold: flags&1 != 0,
		},
		NotRun: flags&2 != 0, ExchangeFailed: flags&4 != 0,
		ServiceTime: p.millis(fields[4]), RejectReason: fields[5], RetryAfter: p.millis(fields[6]), Epoch: fields[7],
	}
	return meta, errors.Wrap(p.err, "hop header")
}

// reader keeps the first error of several conversions.
type fieldParser struct{ err error }

func (p *fieldParser) int(s string) int {
	n, err := strconv.Atoi(s)
	if err != nil && p.err == nil {
		p.err = err
	}
	return n
}

func (p *fieldParser) float(s string) float64 {
	x, err := strconv.ParseFloat(s, 64)
	if err != nil && p.err == nil {
		p.err = err
	}
	return x
}

func (p *fieldParser) millis(s string) time.Duration {
	return time.Duration(p.int(s)) * time.Millisecond
}
