// Package journal writes and reads the journals of simulated upstreams. A journal is a file with one
// line of key=value pairs for each execution of a request. The upstream writes the line before it
// does any work, so there is no execution without a line, and the check that no request ran twice
// needs only the journals.
//
// # Usage
//
//	w, err := journal.Open("run/journal/upstream-registry-1.log")
//	err = w.Append(journal.Entry{Time: now, Service: "registry", Method: "POST", Path: "/filings", Key: "k-1"})
//	entries, err := journal.Read("run/journal/upstream-registry-1.log")
package journal

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Entry describes one execution of a request.
type Entry struct {
	// Time is when the execution started.
	Time    time.Time
	Service string
	Method  string
	// Path is the path with the query, as received.
	Path string
	// Key is the idempotency key, or empty if the request had none.
	Key string
	// Upstream is the name of the upstream: the name of the file without .log. Read sets it.
	Upstream string
}

// Writer appends entries to a journal file.
type Writer struct{ file *os.File }

// Open opens the journal at path for appending. It creates the file and its directory if necessary.
func Open(path string) (*Writer, error) {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return nil, errors.Wrap(err, "create journal directory")
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open journal")
	}
	return &Writer{file: f}, nil
}

// Append writes e in a single unbuffered write, so that lines of concurrent executions don't
// interleave and no line is lost in a buffer when the process is killed.
func (w *Writer) Append(e Entry) error {
	_, err := w.file.WriteString(e.line())
	return errors.Wrap(err, "append to journal")
}

// Close closes the journal file.
func (w *Writer) Close() error { return w.file.Close() }

func (e Entry) line() string {
	return fmt.Sprintf("time=%s service=%s method=%s path=%s key=%s\n",
		e.Time.UTC().Format(time.RFC3339Nano), quoteIfNeeded(e.Service), quoteIfNeeded(e.Method), quoteIfNeeded(e.Path), quoteIfNeeded(e.Key)) //nolint:forbidigo // a line for readers
}

// Read returns the entries of the journal at path in the order in which they were written.
func Read(path string) ([]Entry, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "read journal")
	}
	defer func() { _ = f.Close() }()
	name := strings.TrimSuffix(filepath.Base(path), ".log")
	var all []Entry
	r := bufio.NewReader(f)
	for n := 1; ; n++ {
		line, err := r.ReadString('\n')
		if errors.Is(err, io.EOF) && line == "" {
			return all, nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, errors.Wrap(err, "read journal")
		}
		e, err := parseEntry(line)
		if err != nil {
			return nil, errors.Wrapf(err, "%s:%d", path, n)
		}
		e.Upstream = name
		all = append(all, e)
	}
}

// ReadDir returns the entries of all journals (*.log) in dir.
func ReadDir(dir string) ([]Entry, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return nil, errors.Wrap(err, "list journals")
	}
	var all []Entry
	for _, f := range files {
		entries, err := Read(f)
		if err != nil {
			return nil, err
		}
		all = append(all, entries...)
	}
	return all, nil
}

func parseEntry(line string) (Entry, error) {
	var e Entry
	values, err := ParseFields(line)
	if err != nil {
		return e, err
	}
	e.Service, e.Method, e.Path, e.Key = values["service"], values["method"], values["path"], values["key"]
	e.Time, err = time.Parse(time.RFC3339Nano, values["time"])
	return e, errors.Wrap(err, "parse time of execution")
}

// ParseFields parses a line of key=value pairs that are separated by spaces. A value may be a quoted
// Go string.
func ParseFields(line string) (map[string]string, error) {
	values := make(map[string]string)
	for line = strings.TrimSpace(line); line != ""; line = strings.TrimLeft(line, " ") {
		key, rest, ok := strings.Cut(line, "=")
		if !ok {
			return nil, errors.Newf("%q is not a key=value pair", line)
		}
		value, err := cutValue(rest)
		if err != nil {
			return nil, err
		}
		line = rest[len(value):]
		if strings.HasPrefix(value, `"`) {
			if value, err = strconv.Unquote(value); err != nil {
				return nil, errors.Wrapf(err, "unquote value of %q", key)
			}
		}
		values[key] = value
	}
	return values, nil
}

// cutValue returns the value at the start of s: a quoted string with its quotes, or the text up to
// the next space.
func cutValue(s string) (string, error) {
	if strings.HasPrefix(s, `"`) {
		word, err := strconv.QuotedPrefix(s)
		return word, errors.Wrapf(err, "parse quoted value %q", s)
	}
	word, _, _ := strings.Cut(s, " ")
	return word, nil
}

// quoteIfNeeded quotes s if it contains white space, a quote or an equals sign.
func quoteIfNeeded(s string) string {
	if strings.ContainsAny(s, " \t\r\n\"=") {
		return strconv.Quote(s)
	}
	return s
}
