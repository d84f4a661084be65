package ingress

import (
	"net/http"
	"strings"
)

// hopByHopHeaders lists the headers that apply to a single connection. Expect and
// Content-Length are handled by the server itself.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// EndToEndHeaders returns the headers that a proxy forwards: those of h without the
// hop-by-hop headers, Expect and Content-Length.
func EndToEndHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	for name, values := range h {
		out[name] = values
	}
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(out, name)
	}
	return out
}
