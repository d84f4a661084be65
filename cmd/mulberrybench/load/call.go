package load

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/upstream"
)

// Outcome is what became of one send, as its caller can tell.
type Outcome uint8

// Outcomes of a send.
const (
	// Answered is a complete answer of an upstream with status 2xx.
	Answered Outcome = iota
	// Failed is a complete answer of an upstream with another status.
	Failed
	// NotRun is a refusal before the request ran.
	NotRun
	// Unknown is an answer that says so, or a connection that broke.
	Unknown
	// Wrong is an answer that is incomplete without an error, altered, or
	// belongs to another request.
	Wrong
)

// Attempt is one try of a caller to get its request through.
type Attempt struct {
	Outcome Outcome
	Reason  string
	Status  int
	// EntryAddr is the address that the request was sent to.
	EntryAddr string
	End       time.Time
	// Note explains a wrong answer.
	Note string
}

// Call is one scheduled request with all its sends.
type Call struct {
	Arrival
	Start    time.Time
	Attempts []Attempt
}

// Last returns the send that decided the outcome for the caller.
func (c Call) Last() Attempt { return c.Attempts[len(c.Attempts)-1] }

// Target returns the path and query of the request, which hold its token, so
// that executions can be found in the journals.
func (c Call) Target(r Route) string {
	if r.Method == http.MethodPut {
		return r.Path + "/" + c.Token
	}
	return r.Path + "?id=" + c.Token
}

// send makes one HTTP request and judges the answer.
func (g *Generator) send(ctx context.Context, c *Call, r Route, entry string) Attempt {
	ctx, cancel := context.WithTimeout(ctx, g.opt.Timeout+g.opt.Timeout/4)
	defer cancel()
	var writes atomic.Int32
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(httptrace.WroteRequestInfo) { writes.Add(1) },
	})
	body := requestBody(c.Token, r.Bytes)
	req, err := g.request(ctx, c, r, entry, body)
	if err != nil {
		return Attempt{Outcome: Wrong, Note: err.Error(), EntryAddr: entry, End: time.Now()}
	}
	resp, err := g.client.Do(req)
	if err != nil {
		return broken(entry, writes.Load(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return broken(entry, writes.Load(), err)
	}
	s := judge(resp, got, c.Token, r, body)
	s.EntryAddr, s.End = entry, time.Now()
	if s.Outcome == NotRun && writes.Load() > 1 {
		// net/http sent the request again on a new connection after the first
		// one broke; the answer speaks of the second sending only.
		s.Outcome, s.Reason = Unknown, "resent"
	}
	return s
}

// broken is the outcome of a send without a complete answer. Without a written
// byte it did not run.
func broken(entry string, writes int32, err error) Attempt {
	s := Attempt{Outcome: Unknown, Reason: "broken", EntryAddr: entry, End: time.Now(), Note: err.Error()}
	if writes == 0 && strings.Contains(err.Error(), "connection refused") {
		s.Outcome, s.Reason = NotRun, "dial"
	}
	return s
}

func (g *Generator) request(ctx context.Context, c *Call, r Route, entry string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+entry+c.Target(r), nil)
	if err != nil {
		return nil, err
	}
	if len(body) > 0 {
		// Without GetBody net/http cannot send a keyed request twice.
		req.Body = io.NopCloser(bytes.NewReader(body))
		req.ContentLength = int64(len(body))
	}
	req.Host = r.Service
	req.Header.Set(upstream.HeaderToken, c.Token)
	req.Header.Set("Mulberry-Timeout", strconv.FormatInt(g.opt.Timeout.Milliseconds(), 10))
	if r.Keyed {
		req.Header.Set("Idempotency-Key", `"`+c.Token+`"`)
	}
	for name, value := range g.opt.Header {
		req.Header.Set(name, value)
	}
	return req, nil
}

func requestBody(token string, n int) []byte {
	if n == 0 {
		return nil
	}
	return upstream.TokenBody(token+"/", n)
}

// judge tells whether an answer is complete and belongs to its request.
func judge(resp *http.Response, got []byte, token string, r Route, sent []byte) Attempt {
	s := Attempt{Status: resp.StatusCode}
	switch outcome := resp.Header.Get("Mulberry-Outcome"); outcome {
	case "":
	case "notrun", "unknown":
		s.Reason = resp.Header.Get("Mulberry-Reason")
		if s.Outcome = Unknown; outcome == "notrun" {
			s.Outcome = NotRun
		}
		return s
	default:
		return Attempt{Outcome: Wrong, Status: resp.StatusCode, Note: "outcome " + outcome}
	}
	if resp.StatusCode/100 != 2 {
		s.Outcome = Failed
		s.Reason = strconv.Itoa(resp.StatusCode)
		return s
	}
	if note := mismatch(resp.Header, got, token, r, sent); note != "" {
		s.Outcome, s.Note = Wrong, note
	}
	return s
}

func mismatch(h http.Header, got []byte, token string, r Route, sent []byte) string {
	if h.Get(upstream.HeaderToken) != token {
		return "token is " + h.Get(upstream.HeaderToken)
	}
	if r.Method != http.MethodPut {
		if !bytes.Equal(got, upstream.TokenBody(token, len(got))) || h.Get(upstream.HeaderChecksum) != upstream.FormatChecksum(xxhash.Sum64(got)) {
			return "body differs from the one sent"
		}
		return ""
	}
	if h.Get(upstream.HeaderSize) != strconv.Itoa(len(sent)) || h.Get(upstream.HeaderChecksum) != upstream.FormatChecksum(xxhash.Sum64(sent)) {
		return "upload stored with size " + h.Get(upstream.HeaderSize) + " and sum " + h.Get(upstream.HeaderChecksum)
	}
	return ""
}
