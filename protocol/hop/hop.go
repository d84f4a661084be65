// Package hop encodes the header that two nodes exchange with a forwarded request. The
// entry node sends the metadata of the request and the expected cost of the best
// alternative. The admitting node, which is beside the upstream, returns its load and,
// for a rejection, the reason. The request and its response themselves are plain HTTP.
//
// # Usage
//
//	req.Header.Set(hop.Header, hop.RequestMeta{ExchangeID: id, Service: "archive", …}.Encode())
//	meta, err := hop.ParseRequestMeta(r.Header.Get(hop.Header))
//	w.Header().Set(hop.Header, hop.ResponseMeta{Load: load, RejectReason: "full"}.Encode())
package hop

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/coordination/overflow"
	"github.com/mulberrylink/mulberrylink/coordination/placement"
	"github.com/mulberrylink/mulberrylink/coordination/routes"
)

// Header is the name of the header, whose value is a RequestMeta or a ResponseMeta. It is
// removed before a request reaches an upstream and before a response reaches a caller.
const Header = "Mulberry-Hop"

// ResolvePath with an exchange identifier appended is the path that returns the outcome of
// an exchange whose connection was lost.
const ResolvePath = "/-/mulberry/exchange/"

// RequestMeta is the metadata that an entry node sends with a request.
type RequestMeta struct {
	// ExchangeID identifies the exchange and is unique in the deployment.
	ExchangeID string
	Service    string
	Route      string
	Kind       routes.Kind
	// CallerService is the service of the upstream beside the entry node.
	CallerService string
	Priority      int
	// Objective and Timeout are the times from sending the request until its latency
	// objective and its deadline. ServiceTime is the expected service time on an
	// undisturbed host. All three are sent in milliseconds.
	Objective, Timeout, ServiceTime time.Duration
	// ServiceTimeAssumed is true until the entry node has observed the service time of
	// the route.
	ServiceTimeAssumed bool
	// AlternativeCost is the expected cost at the best other upstream, 0 without one.
	AlternativeCost float64
	// SoundAlternative is true if an upstream that is not in reserve (package integrity) has room for
	// the request, and SoundExtraCost is by how much the cost there is higher. Trial is true if the
	// request may be a trial of an upstream in reserve.
	SoundAlternative, Trial bool
	SoundExtraCost          float64
	// Fingerprint is equal for all copies of a request that a caller sends again, under
	// whichever identifier.
	Fingerprint uint64
	// Suspicion is what the entry node knows of the fingerprint.
	Suspicion Suspicion
	// Integrity is what the entry node knows of the upstream.
	Integrity Integrity
	// Account is the name of the client account, empty without one. It is sent in the encoding of a URL query.
	Account string
	// Returning is true if the caller was refused and returns at the time that the refusal named. Promised
	// is true if another upstream has refused the request and named a time to return.
	Returning, Promised bool
	// Internal is true if the request is a call of the upstream beside the entry node.
	Internal bool
	// Origin is what an entry node that limits the requests between failure domains tells of its own.
	Origin Origin
}

// Integrity is the estimate of package integrity for an upstream. The zero value is that of
// one without malformed responses.
type Integrity struct {
	Instance             uint32
	Malformed, Responses float64
	// Required, Missing and Relapses are those of the estimate. TrialIn and ReservedFor are the times
	// until the next trial and the end of the reserve, sent in milliseconds.
	Required, Missing, Relapses int
	TrialIn, ReservedFor        time.Duration
}

func (e Integrity) encode() string {
	text := strconv.FormatUint(uint64(e.Instance), 16) + "," + strconv.FormatFloat(e.Malformed, 'f', 3, 64) + "," + strconv.FormatFloat(e.Responses, 'f', 1, 64)
	if e.Required == 0 {
		return text
	}
	return strings.Join([]string{
		text, strconv.Itoa(e.Required), strconv.Itoa(e.Missing), strconv.Itoa(e.Relapses), formatMillis(e.TrialIn), formatMillis(e.ReservedFor),
	}, ",")
}

// Suspicion is the record that a node has of the fingerprint of a request, see package suspect.
type Suspicion struct {
	Stage uint32
	// Remaining is the time until the record changes, 0 without a record. It is sent in
	// milliseconds.
	Remaining time.Duration
}

func (s Suspicion) encode() string {
	return strconv.FormatUint(uint64(s.Stage), 10) + "," + formatMillis(s.Remaining)
}

// requestFields is the number of fields of a request. The integrity, the account, the flags and the origin follow
// them, up to the last one that there is.
const (
	requestFields    = 10
	maxRequestFields = requestFields + 4
)

// assumedMark follows a service time that is assumed instead of observed.
const assumedMark = "?"

// Encode returns the header value of a request.
func (m RequestMeta) Encode() string {
	serviceTime := formatMillis(m.ServiceTime)
	if m.ServiceTimeAssumed {
		serviceTime += assumedMark
	}
	fields := []string{
		m.ExchangeID, m.Service, m.Route, strconv.Itoa(int(m.Kind)), m.CallerService, strconv.Itoa(m.Priority),
		formatMillis(m.Objective) + "," + formatMillis(m.Timeout), serviceTime,
		m.encodeAlternative(), encodeFingerprint(m.Fingerprint, m.Suspicion),
	}
	optional := [maxRequestFields - requestFields]string{"", url.QueryEscape(m.Account), "", ""}
	if m.Integrity != (Integrity{}) {
		optional[0] = m.Integrity.encode()
	}
	if flags := encodeFlags(m.Returning, m.Promised, m.Internal); flags != 0 {
		optional[2] = strconv.Itoa(flags)
	}
	if m.Origin.Domain != "" {
		optional[3] = m.Origin.encode()
	}
	n := len(optional)
	for n > 0 && optional[n-1] == "" {
		n--
	}
	return strings.Join(append(fields, optional[:n]...), ";")
}

// encodeAlternative encodes the cost of the alternative, followed by what decides about the reserve if
// another upstream has room.
func (m RequestMeta) encodeAlternative() string {
	text := strconv.FormatFloat(m.AlternativeCost, 'f', 3, 64)
	if m.SoundAlternative {
		text += "," + strconv.Itoa(encodeFlags(m.Trial)) + "," + strconv.FormatFloat(m.SoundExtraCost, 'f', 3, 64)
	}
	return text
}

// encodeFlags returns a number whose bits are the flags, the first one being the lowest bit.
func encodeFlags(flags ...bool) int {
	n := 0
	for i, f := range flags {
		if f {
			n |= 1 << i
		}
	}
	return n
}

// encodeFingerprint encodes a fingerprint, and the record of it if there is one.
func encodeFingerprint(fingerprint uint64, s Suspicion) string {
	text := strconv.FormatUint(fingerprint, 16)
	if s.Remaining > 0 {
		text += "," + s.encode()
	}
	return text
}

func formatMillis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// ParseRequestMeta parses the header value of a request.
func ParseRequestMeta(text string) (RequestMeta, error) {
	fields := strings.Split(text, ";")
	if len(fields) < requestFields || len(fields) > maxRequestFields {
		return RequestMeta{}, errors.Newf("hop header of a request has %d fields, want %d to %d", len(fields), requestFields, maxRequestFields)
	}
	p := fieldParser{}
	objective, timeout, _ := strings.Cut(fields[6], ",")
	serviceTime, assumed := strings.CutSuffix(fields[7], assumedMark)
	meta := RequestMeta{
		ExchangeID: fields[0], Service: fields[1], Route: fields[2], Kind: routes.Kind(p.int(fields[3])), CallerService: fields[4],
		Priority: p.int(fields[5]), Objective: p.millis(objective), Timeout: p.millis(timeout),
		ServiceTime: p.millis(serviceTime), ServiceTimeAssumed: assumed,
	}
	cost, reserve, found := strings.Cut(fields[8], ",")
	meta.AlternativeCost = p.float(cost)
	if found {
		flags, extraCost, _ := strings.Cut(reserve, ",")
		meta.SoundAlternative, meta.Trial, meta.SoundExtraCost = true, p.int(flags)&1 != 0, p.float(extraCost)
	}
	meta.Fingerprint, meta.Suspicion = p.fingerprint(fields[9])
	if len(fields) > requestFields && fields[requestFields] != "" {
		meta.Integrity = p.integrity(fields[requestFields])
	}
	if len(fields) > requestFields+1 {
		meta.Account = p.text(fields[requestFields+1])
	}
	if len(fields) > requestFields+2 && fields[requestFields+2] != "" {
		flags := p.int(fields[requestFields+2])
		meta.Returning, meta.Promised, meta.Internal = flags&1 != 0, flags&2 != 0, flags&4 != 0
	}
	if len(fields) > requestFields+3 {
		meta.Origin = p.origin(fields[requestFields+3])
	}
	return meta, errors.Wrap(p.err, "parse hop header of a request")
}

// ResponseMeta is the metadata that the admitting node returns.
type ResponseMeta struct {
	Load placement.Load
	// RejectReason is why the request did not reach the upstream, empty when it did.
	RejectReason string
	// RetryAfter is the time until a rejected request could be admitted, 0 when it is not
	// known.
	RetryAfter time.Duration
	// ServiceTime is the service time divided by the slowdown at the start of the request.
	ServiceTime time.Duration
	// NotRun is true when the upstream itself reports that it did not run the request.
	// ExchangeFailed is true when the exchange with the upstream failed or its response
	// was not usable.
	NotRun, ExchangeFailed bool
	// Epoch identifies the process of the admitting node, which holds the outcomes of its
	// recent exchanges.
	Epoch string
	// Suspicion is what the admitting node knows of the fingerprint of the request.
	Suspicion Suspicion
	// Integrity is what the admitting node knows of its upstream.
	Integrity Integrity
	// Domains is what the admitting node knows of its service by failure domain, its own one first. It is
	// empty if the node does not limit the requests between domains.
	Domains []overflow.Estimate
}

// Encode returns the header value of a response.
func (m ResponseMeta) Encode() string {
	fields := []string{
		strconv.Itoa(m.Load.Running) + "," + strconv.Itoa(m.Load.Waiting) + "," + strconv.Itoa(m.Load.Slots),
		strconv.FormatFloat(m.Load.Slowdown, 'f', 2, 64), strconv.FormatFloat(m.Load.FailureRate, 'f', 2, 64),
		strconv.Itoa(encodeFlags(m.Load.Cold, m.NotRun, m.ExchangeFailed)), formatMillis(m.ServiceTime), m.RejectReason, formatMillis(m.RetryAfter), m.Epoch,
	}
	hasIntegrity := m.Integrity != (Integrity{})
	hasDomains := len(m.Domains) > 0
	if m.Load.RateWait > 0 || m.Suspicion.Remaining > 0 || hasIntegrity || hasDomains {
		fields = append(fields, formatMillis(m.Load.RateWait))
	}
	if m.Suspicion.Remaining > 0 || hasIntegrity || hasDomains {
		fields = append(fields, m.Suspicion.encode())
	}
	switch {
	case hasIntegrity:
		fields = append(fields, m.Integrity.encode())
	case hasDomains:
		fields = append(fields, "")
	}
	if hasDomains {
		fields = append(fields, encodeDomains(m.Domains))
	}
	return strings.Join(fields, ";")
}

// responseFields is the number of fields of a response. The rate wait, the suspicion, the integrity and
// the domains follow them, up to the last one that there is.
const (
	responseFields    = 8
	maxResponseFields = responseFields + 4
)

// ParseResponseMeta parses the header value of a response.
func ParseResponseMeta(text string) (ResponseMeta, error) {
	fields := strings.Split(text, ";")
	if len(fields) < responseFields || len(fields) > maxResponseFields {
		return ResponseMeta{}, errors.Newf("hop header of a response has %d fields, want %d to %d", len(fields), responseFields, maxResponseFields)
	}
	counts := strings.Split(fields[0], ",")
	if len(counts) != 3 {
		return ResponseMeta{}, errors.New("hop header of a response lacks the three request counts")
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
	if len(fields) > responseFields {
		meta.Load.RateWait = max(0, p.millis(fields[responseFields]))
	}
	if len(fields) > responseFields+1 {
		meta.Suspicion = p.suspicion(fields[responseFields+1])
	}
	if len(fields) > responseFields+2 && fields[responseFields+2] != "" {
		meta.Integrity = p.integrity(fields[responseFields+2])
	}
	if len(fields) > responseFields+3 {
		meta.Domains = p.domains(fields[responseFields+3])
	}
	return meta, errors.Wrap(p.err, "parse hop header of a response")
}

// integrityFields is the number of fields of an integrity. Those of the reserve follow if the upstream
// is or has been in reserve.
const (
	integrityFields = 3
	reserveFields   = 5
)

// fieldParser converts fields and keeps the first error.
type fieldParser struct{ err error }

// fail keeps an error if it is the first one; nil is ignored.
func (p *fieldParser) fail(err error) {
	if p.err == nil {
		p.err = err
	}
}

func (p *fieldParser) int(s string) int {
	n, err := strconv.Atoi(s)
	p.fail(err)
	return n
}

func (p *fieldParser) hex(s string) uint64 {
	n, err := strconv.ParseUint(s, 16, 64)
	p.fail(err)
	return n
}

// fingerprint parses a fingerprint and the record that may follow it.
func (p *fieldParser) fingerprint(s string) (uint64, Suspicion) {
	text, record, found := strings.Cut(s, ",")
	if !found {
		return p.hex(text), Suspicion{}
	}
	return p.hex(text), p.suspicion(record)
}

func (p *fieldParser) suspicion(s string) Suspicion {
	stage, remaining, _ := strings.Cut(s, ",")
	n, err := strconv.ParseUint(stage, 10, 32)
	p.fail(err)
	return Suspicion{Stage: uint32(n), Remaining: max(0, p.millis(remaining))}
}

func (p *fieldParser) integrity(s string) Integrity {
	fields := strings.Split(s, ",")
	if len(fields) != integrityFields && len(fields) != integrityFields+reserveFields {
		p.fail(errors.Newf("integrity has %d fields, want %d or %d", len(fields), integrityFields, integrityFields+reserveFields))
		return Integrity{}
	}
	n, err := strconv.ParseUint(fields[0], 16, 32)
	p.fail(err)
	e := Integrity{Instance: uint32(n), Malformed: max(0, p.float(fields[1])), Responses: max(0, p.float(fields[2]))}
	if len(fields) > integrityFields {
		e.Required, e.Missing, e.Relapses = max(0, p.int(fields[3])), max(0, p.int(fields[4])), max(0, p.int(fields[5]))
		e.TrialIn, e.ReservedFor = max(0, p.millis(fields[6])), max(0, p.millis(fields[7]))
	}
	return e
}

// text parses a text that url.QueryEscape has encoded.
func (p *fieldParser) text(s string) string {
	text, err := url.QueryUnescape(s)
	p.fail(err)
	return text
}

func (p *fieldParser) float(s string) float64 {
	x, err := strconv.ParseFloat(s, 64)
	p.fail(err)
	return x
}

// maxMillis bounds a time that a node sends, one day. A larger one would overflow a
// time.Duration.
const maxMillis = 24 * 60 * 60 * 1000

func (p *fieldParser) millis(s string) time.Duration {
	return time.Duration(min(max(p.int(s), -maxMillis), maxMillis)) * time.Millisecond
}
