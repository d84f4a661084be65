// Package testresponse reads and spoils responses as bytes. Its reader follows the grammar of
// RFC 9112 and shares no code with the parser that the product uses, so that a test can tell what
// that parser lets through by mistake.
//
// # Usage
//
//	raw := testresponse.Spoil(rnd, testresponse.Examples("X-Exchange: a")[0])
//	want, err := testresponse.ReadFinal(raw, belongs)
package testresponse

import (
	"errors"
	"regexp"
	"strconv"
	"strings"
)

// Errors of ReadFinal.
var (
	// ErrIncomplete means that the bytes end within the response.
	ErrIncomplete = errors.New("the response is cut off")
	// ErrMalformed means that the bytes are not a response.
	ErrMalformed = errors.New("the bytes are no response")
)

// Response is a whole response.
type Response struct {
	Status int
	// Fields holds the values of each field by its name in lower case.
	Fields map[string][]string
	Body   string
	// UntilClose means that the end of the connection ends the body.
	UntilClose bool
}

var (
	statusLine = regexp.MustCompile(`^HTTP/1\.1 ([1-5][0-9][0-9]) [^\x00-\x08\x0a-\x1f\x7f]*\r\n`)
	fieldLine  = regexp.MustCompile("^([!#$%&'*+\\-.^_`|~0-9A-Za-z]+):([^\\x00-\\x08\\x0a-\\x1f\\x7f]*)\\r\\n")
	chunkLine  = regexp.MustCompile(`^([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n]*)?\r\n`)
	digits     = regexp.MustCompile(`^[0-9]+$`)
)

// ReadFinal returns the first final response in raw that belongs to the request, read up to the end
// of the connection. Interim responses and responses to other requests are skipped.
func ReadFinal(raw string, belongs func(Response) bool) (Response, error) {
	for {
		r, rest, err := readOne(raw)
		if err != nil {
			return r, err
		}
		if r.Status >= 200 && belongs(r) {
			return r, nil
		}
		if r.UntilClose || r.Status == 101 {
			return r, ErrMalformed // nothing can follow
		}
		raw = rest
	}
}

func readOne(raw string) (r Response, rest string, err error) {
	m := statusLine.FindStringSubmatch(raw)
	if m == nil {
		return r, "", malformedOrCut(raw)
	}
	r.Status, _ = strconv.Atoi(m[1]) // three digits
	rest = raw[len(m[0]):]
	if r.Fields, rest, err = readFields(rest); err != nil {
		return r, "", err
	}
	lengths, encodings := r.Fields["content-length"], r.Fields["transfer-encoding"]
	for _, n := range lengths {
		if !digits.MatchString(n) || n != lengths[0] {
			return r, "", ErrMalformed
		}
	}
	noBody := r.Status < 200 || r.Status == 204
	switch {
	case len(lengths) > 0 && len(encodings) > 0,
		len(encodings) > 1 || len(encodings) == 1 && !strings.EqualFold(encodings[0], "chunked"),
		r.Status < 200 && len(lengths) > 0,
		noBody && len(encodings) > 0,
		noBody && len(lengths) > 0 && strings.Trim(lengths[0], "0") != "":
		return r, "", ErrMalformed
	case noBody || r.Status == 304:
		return r, rest, nil
	case len(encodings) > 0:
		r.Body, rest, err = readChunks(rest)
		return r, rest, err
	case len(lengths) > 0:
		n, err := strconv.ParseInt(lengths[0], 10, 63)
		if err != nil {
			return r, "", ErrMalformed
		}
		if int64(len(rest)) < n {
			return r, "", ErrIncomplete
		}
		r.Body = rest[:n]
		return r, rest[n:], nil
	}
	r.Body, r.UntilClose = rest, true
	return r, "", nil
}

// malformedOrCut tells a wrong byte from bytes that end too early.
func malformedOrCut(raw string) error {
	if strings.Contains(raw, "\n") {
		return ErrMalformed
	}
	return ErrIncomplete
}

// readFields reads field lines up to and including the empty line.
func readFields(raw string) (fields map[string][]string, rest string, err error) {
	fields = make(map[string][]string)
	for !strings.HasPrefix(raw, "\r\n") {
		m := fieldLine.FindStringSubmatch(raw)
		if m == nil {
			return nil, "", malformedOrCut(raw)
		}
		name := strings.ToLower(m[1])
		fields[name] = append(fields[name], strings.Trim(m[2], " \t"))
		raw = raw[len(m[0]):]
	}
	return fields, raw[2:], nil
}

func readChunks(raw string) (body, rest string, err error) {
	for {
		m := chunkLine.FindStringSubmatch(raw)
		if m == nil {
			return "", "", malformedOrCut(raw)
		}
		n, err := strconv.ParseUint(m[1], 16, 63)
		raw = raw[len(m[0]):]
		switch {
		case err != nil:
			return "", "", ErrMalformed
		case n == 0:
			_, rest, err = readFields(raw)
			return body, rest, err
		case uint64(len(raw)) < n+2:
			return "", "", ErrIncomplete
		case raw[n:n+2] != "\r\n":
			return "", "", ErrMalformed
		}
		body += raw[:n]
		raw = raw[n+2:]
	}
}
