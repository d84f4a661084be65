package testresponse

import (
	"math/rand/v2"
	"strings"
)

var examples = []string{
	"HTTP/1.1 200 OK\r\nFIELDS\r\nContent-Length: 12\r\n\r\nhello caller",
	"HTTP/1.1 201 Created\r\nFIELDS\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n caller\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nFIELDS\r\nConnection: close\r\n\r\nhello caller",
	"HTTP/1.1 500 Internal Server Error\r\nFIELDS\r\nContent-Length: 6\r\n\r\nfailed",
	"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nFIELDS\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 204 No Content\r\nFIELDS\r\n\r\n",
	"HTTP/1.1 503 Service Unavailable\r\nFIELDS\r\nTest-Notrun: full\r\nContent-Length: 0\r\n\r\n",
}

// Examples returns responses with the given field lines, which identify the request and the upstream.
// The last one is a refusal.
func Examples(fields ...string) []string {
	all := make([]string, len(examples))
	for i, text := range examples {
		all[i] = strings.ReplaceAll(text, "FIELDS", strings.Join(fields, "\r\n"))
	}
	return all
}

// extraResponse follows a complete response and belongs to no request.
const extraResponse = "HTTP/1.1 200 OK\r\nTest-Signed: yes\r\nContent-Length: 1\r\n\r\nx"

// Spoil changes a response at one or two places.
func Spoil(r *rand.Rand, b string) string {
	for range 1 + r.IntN(2) {
		if b == "" {
			return b
		}
		i := r.IntN(len(b))
		j := min(len(b), i+1+r.IntN(12))
		switch r.IntN(10) {
		case 0:
			b = b[:i]
		case 1:
			b = b[:i] + b[j:]
		case 2:
			b = b[:j] + b[i:]
		case 3:
			b += extraResponse
		case 4:
			b = b[:i] + "\r\n" + b[i:]
		case 5:
			b = replaceByte(b, strings.Index(b, "HTTP/1.1 ")+len("HTTP/1.1 ")+r.IntN(3), byte('0'+r.IntN(10))) // the status
		case 6:
			b = replaceByte(b, strings.Index(b, "HTTP/1.1 ")+len("HTTP/")+2*r.IntN(2), byte('0'+r.IntN(10))) // the version
		case 7:
			b = b[:i] + string([]byte{byte(r.IntN(256))}) + b[i:]
		default:
			b = replaceByte(b, i, "0123456789 \t\r\n:;aH\x00\x7f\xff"[r.IntN(21)])
		}
	}
	return b
}

func replaceByte(b string, i int, with byte) string {
	if i < 0 || i >= len(b) {
		return b
	}
	return b[:i] + string([]byte{with}) + b[i+1:]
}
