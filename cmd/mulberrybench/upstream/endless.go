package upstream

import (
	"context"
	"net/http"
	"strings"
)

// endlessPart is a part of a response that is repeated until the connection closes.
type endlessPart struct{ start, repeated string }

// endlessParts holds the values of Upstream-Endless.
var endlessParts = map[string]endlessPart{
	"line":    {"HTTP/1.1 200 OK\r\nX-Long: ", "x"},
	"head":    {"HTTP/1.1 200 OK\r\n", "X-More: 1\r\n"},
	"interim": {"", "HTTP/1.1 103 Early Hints\r\nX-More: 1\r\n\r\n"},
	"body":    {"HTTP/1.1 200 OK\r\n\r\n", "body "},
	"chunks":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nbody \r\n"},
}

// endlessBlockBytes is the size of one write of respondEndlessly.
const endlessBlockBytes = 16 << 10

// respondEndlessly simulates an upstream in trouble that sends bytes until the client closes the
// connection.
func (s *Server) respondEndlessly(ctx context.Context, w http.ResponseWriter, part endlessPart) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		s.log.Error().Err(err).Msg("connection not available for an endless response")
		return
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })() // the process stops
	data := part.start
	for err == nil {
		_, err = conn.Write([]byte(data))
		data = strings.Repeat(part.repeated, endlessBlockBytes/len(part.repeated))
	}
}
