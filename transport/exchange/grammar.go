package exchange

import (
	"errors"
	"fmt"
	"io"
)

const (
	// statusLineStart is the only protocol version that an upstream may answer with.
	statusLineStart = "HTTP/1.1 "
	statusDigits    = 3
	// maxExcerptBytes is the number of bytes of a malformed head that its error shows.
	maxExcerptBytes = 48

	fieldContentLength    = "content-length"
	fieldTransferEncoding = "transfer-encoding"
)

// errMalformedHead is the cause of each error of a headChecker.
var errMalformedHead = errors.New("malformed response head")

// headPart is the part of a response head that the next byte belongs to.
type headPart uint8

const (
	partNone     headPart = iota // outside of a head; bytes are not checked
	partVersion                  // "HTTP/1.1 "
	partStatus                   // three digits and a space
	partReason                   // up to the end of the status line
	partLineEnd                  // the LF after a CR
	partLine                     // the first byte of a field line, or of the empty line
	partName                     // a field name
	partValue                    // a field value, up to the end of the line
	partLastByte                 // the LF of the empty line
)

// headChecker is the reader below the buffer of a connection. It checks the heads of responses
// against the grammar of HTTP/1.1 (RFC 9112, sections 3 to 6) as their bytes arrive, so that an
// exchange ends at the first wrong byte. net/http accepts more: other versions, a line feed alone,
// folded lines, control characters in fields, and a length beside a transfer encoding.
type headChecker struct {
	r    io.Reader
	part headPart
	// pos counts the bytes of the version, of the status, or of a field name.
	pos    int
	status int
	name   [len(fieldTransferEncoding)]byte // start of the field name, in lower case
	// lengthNotZero is set by a Content-Length with any other digit than 0.
	inLength, hasLength, lengthNotZero, hasEncoding bool

	excerpt [maxExcerptBytes]byte // start of the head
	size    int                   // bytes of the head before the current ones
	err     error                 // sticky
}

// begin expects a head that starts with the given bytes, which the buffer already holds.
func (c *headChecker) begin(buffered []byte) error {
	*c = headChecker{r: c.r, part: partVersion}
	return c.check(buffered)
}

// end stops checking. It returns an error unless a whole head was read.
func (c *headChecker) end() error {
	part := c.part
	c.part = partNone
	if c.err == nil && part != partNone {
		return io.ErrUnexpectedEOF
	}
	return c.err
}

// Read implements io.Reader.
func (c *headChecker) Read(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.r.Read(p)
	if malformed := c.check(p[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}

// check reads the next bytes, up to the end of the head.
func (c *headChecker) check(p []byte) error {
	if c.part == partNone {
		return nil
	}
	shown := c.size + copy(c.excerpt[min(c.size, maxExcerptBytes):], p)
	for i := 0; i < len(p); i++ {
		if (c.part == partValue || c.part == partReason) && !c.inLength {
			if i += plainText(p[i:]); i == len(p) {
				break
			}
		}
		if problem := c.next(p[i]); problem != "" {
			c.err = fmt.Errorf("%w: %s at byte %d of %q", errMalformedHead, problem, c.size+i+1, c.excerpt[:min(shown, maxExcerptBytes)])
			return c.err
		}
		if c.part == partNone {
			return nil
		}
	}
	c.size += len(p)
	return nil
}

// plainText returns the number of bytes at the start of p that may be part of a reason or a value.
func plainText(p []byte) int {
	for i, b := range p {
		if !isText(b) {
			return i
		}
	}
	return len(p)
}

// next reads one byte of the head. It returns what is wrong with it, empty if nothing is.
func (c *headChecker) next(b byte) string {
	switch c.part {
	case partVersion:
		if b != statusLineStart[c.pos] {
			return "no HTTP/1.1 status line"
		}
		if c.pos++; c.pos == len(statusLineStart) {
			c.part, c.pos = partStatus, 0
		}
	case partStatus:
		return c.nextOfStatus(b)
	case partReason, partValue:
		return c.nextOfText(b)
	case partLineEnd:
		if b != '\n' {
			return "carriage return without line feed"
		}
		c.part = partLine
	case partLine:
		if b == '\r' {
			c.part = partLastByte
			return ""
		}
		c.part, c.pos = partName, 0
		return c.nextOfName(b)
	case partName:
		return c.nextOfName(b)
	case partLastByte:
		if b != '\n' {
			return "carriage return without line feed"
		}
		c.part = partNone
		return c.framingProblem()
	case partNone:
	}
	return ""
}

func (c *headChecker) nextOfStatus(b byte) string {
	switch {
	case c.pos == statusDigits && b == ' ':
		c.part = partReason
		return ""
	case c.pos == statusDigits, b < '0', b > '9', c.pos == 0 && (b < '1' || b > '5'):
		return "invalid status"
	}
	c.status = 10*c.status + int(b-'0')
	c.pos++
	return ""
}

// nextOfText reads a byte of the reason phrase or of a field value.
func (c *headChecker) nextOfText(b byte) string {
	switch {
	case b == '\r':
		c.part, c.inLength = partLineEnd, false
	case !isText(b):
		return "control character"
	case c.inLength && b >= '1' && b <= '9':
		c.lengthNotZero = true
	}
	return ""
}

func (c *headChecker) nextOfName(b byte) string {
	if b == ':' && c.pos > 0 {
		c.endName()
		c.part = partValue
		return ""
	}
	if !tokenBytes[b] {
		return "invalid field name"
	}
	if c.pos < len(c.name) {
		if b >= 'A' && b <= 'Z' {
			b += 'a' - 'A'
		}
		c.name[c.pos] = b
	}
	c.pos++
	return ""
}

func (c *headChecker) endName() {
	if c.pos > len(c.name) {
		return
	}
	switch string(c.name[:c.pos]) {
	case fieldContentLength:
		c.hasLength, c.inLength = true, true
	case fieldTransferEncoding:
		c.hasEncoding = true
	}
}

// framingProblem returns why the end of the response is not clear from its head.
func (c *headChecker) framingProblem() string {
	switch {
	case c.hasLength && c.hasEncoding:
		return "length beside a transfer encoding"
	case c.status < 200 && (c.hasLength || c.hasEncoding):
		return "interim response with a body"
	case c.status == 204 && (c.lengthNotZero || c.hasEncoding):
		return "status 204 with a body"
	}
	return ""
}

// isText reports whether b may be part of a reason phrase or a field value.
func isText(b byte) bool { return b >= ' ' && b != 0x7f || b == '\t' }

// tokenBytes holds the bytes that may be part of a field name.
var tokenBytes = func() (set [256]bool) {
	for _, b := range []byte("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz") {
		set[b] = true
	}
	return set
}()
