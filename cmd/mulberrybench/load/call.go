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

// Outcome is the outcome of one attempt as its caller sees it.
type Outcome uint8

// Outcomes of an attempt.
const (
	// Answered is a complete response of an upstream with status 2xx.
	Answered Outcome = iota
	// Failed is a complete response of an upstream with another status.
	Failed
	// NotRun is a rejection before the request ran.
	NotRun
	// Unknown is a response with the outcome unknown, or a broken connection.
	Unknown
	// Wrong is a response that is altered, incomplete without an error, or belongs to another
	// request.
	Wrong
)

// Attempt is one attempt of a caller to send its request.
type Attempt struct {
	Outcome Outcome
	Reason  string
	Status  int
	// EntryAddr is the address of the entry node that the request was sent to.
	EntryAddr string
	End       time.Time
	// Note explains a wrong response or holds the transport error.
	Note string
}

// Call is one scheduled request with all its attempts.
type Call struct {
	Arrival
	Start    time.Time
	Attempts []Attempt
}

// Last returns the last attempt, which decides the outcome for the caller.
func (c Call) Last() Attempt { return c.Attempts[len(c.Attempts)-1] }

// Target returns the path and query of the request. They contain its token, by which its executions
// are found in the journals.
func (c Call) Target(r Route) string {
	if r.Method == http.MethodPut {
		return r.Path + "/" + c.Token
	}
	return r.Path + "?id=" + c.Token
}

// sendAttempt sends one HTTP request and classifies the response.
func (g *Generator) sendAttempt(ctx context.Context, c *Call, r Route, entryAddr string) Attempt {
	ctx, cancel := context.WithTimeout(ctx, g.opt.Timeout+g.opt.Timeout/4)
	defer cancel()
	var writeCount atomic.Int32
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(httptrace.WroteRequestInfo) { writeCount.Add(1) },
	})
	reqBody := requestBody(c.Token, r.Bytes)
	req, err := g.newRequest(ctx, c, r, entryAddr, reqBody)
	if err != nil {
		return Attempt{Outcome: Wrong, Note: err.Error(), EntryAddr: entryAddr, End: time.Now()}
	}
	resp, err := g.client.Do(req)
	if err != nil {
		return incompleteAttempt(entryAddr, writeCount.Load(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	respBody, err := io.ReadAll(resp.Body)
	if err != nil {
		return incompleteAttempt(entryAddr, writeCount.Load(), err)
	}
	a := classify(resp, respBody, c.Token, r, reqBody)
	a.EntryAddr, a.End = entryAddr, time.Now()
	if a.Outcome == NotRun && writeCount.Load() > 1 {
		// net/http has sent the request again on a new connection because the first one broke. The
		// response applies to the second transmission only.
		a.Outcome, a.Reason = Unknown, "resent"
	}
	return a
}

// incompleteAttempt returns the attempt for a request without a complete response. The request did
// not run if its connection was refused and it was never written.
func incompleteAttempt(entryAddr string, writeCount int32, err error) Attempt {
	a := Attempt{Outcome: Unknown, Reason: "broken", EntryAddr: entryAddr, End: time.Now(), Note: err.Error()}
	if writeCount == 0 && strings.Contains(err.Error(), "connection refused") {
		a.Outcome, a.Reason = NotRun, "dial"
	}
	return a
}

func (g *Generator) newRequest(ctx context.Context, c *Call, r Route, entryAddr string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+entryAddr+c.Target(r), nil)
	if err != nil {
		return nil, err
	}
	if len(body) > 0 {
		// GetBody stays unset, so that net/http cannot send a keyed request twice.
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

// classify derives the outcome from the response and checks that a 2xx response is complete and
// belongs to its request.
func classify(resp *http.Response, respBody []byte, token string, r Route, reqBody []byte) Attempt {
	a := Attempt{Status: resp.StatusCode}
	switch outcome := resp.Header.Get("Mulberry-Outcome"); outcome {
	case "":
	case "notrun", "unknown":
		a.Reason = resp.Header.Get("Mulberry-Reason")
		if a.Outcome = Unknown; outcome == "notrun" {
			a.Outcome = NotRun
		}
		return a
	default:
		return Attempt{Outcome: Wrong, Status: resp.StatusCode, Note: "unexpected outcome " + outcome}
	}
	if resp.StatusCode/100 != 2 {
		a.Outcome = Failed
		a.Reason = strconv.Itoa(resp.StatusCode)
		return a
	}
	if note := responseMismatch(resp.Header, respBody, token, r, reqBody); note != "" {
		a.Outcome, a.Note = Wrong, note
	}
	return a
}

func responseMismatch(h http.Header, respBody []byte, token string, r Route, reqBody []byte) string {
	if h.Get(upstream.HeaderToken) != token {
		return "response has the token " + h.Get(upstream.HeaderToken)
	}
	if r.Method != http.MethodPut {
		if !bytes.Equal(respBody, upstream.TokenBody(token, len(respBody))) || h.Get(upstream.HeaderChecksum) != upstream.FormatChecksum(xxhash.Sum64(respBody)) {
			return "body or checksum differs from the one expected"
		}
		return ""
	}
	if h.Get(upstream.HeaderSize) != strconv.Itoa(len(reqBody)) || h.Get(upstream.HeaderChecksum) != upstream.FormatChecksum(xxhash.Sum64(reqBody)) {
		return "upload stored with size " + h.Get(upstream.HeaderSize) + " and checksum " + h.Get(upstream.HeaderChecksum)
	}
	return ""
}
