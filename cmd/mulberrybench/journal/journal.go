// Package journal records each execution that a simulated upstream starts, one
// line of key=value pairs each, and reads these files back. A check that no
// request ran twice compares nothing else: the upstream writes the line before
// it does any work, so an execution without a line cannot exist.
//
// # Usage
//
//	w, err := journal.Open("run/journal/registry-1.log")
//	err = w.Append(journal.Entry{Time: now, Service: "registry", Method: "POST", Path: "/filings", Key: "k-1"})
//	entries, err := journal.Read("run/journal/registry-1.log")
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

// Entry is one execution.
type Entry struct {
	// Time is when the execution started.
	Time    time.Time
	Service string
	Method  string
	// Path is the path and query as received.
	Path string
	// Key is the idempotency key, empty when the request had none.
	Key string
	// Upstream is the name of the file that the entry was read from.
	Upstream string
}

// Writer appends entries to a file.
type Writer struct{ file *os.File }

// Open opens the journal at path for appending and creates it when missing.
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

// Append writes e with one write call, so that lines of concurrent executions
// do not mix and a killed process leaves no line in a buffer.
func (w *Writer) Append(e Entry) error {
	_, err := w.file.WriteString(e.line())
	return errors.Wrap(err, "append to journal")
}

// Close closes the file.
func (w *Writer) Close() error { return w.file.Close() }

func (e Entry) line() string {
	return fmt.Sprintf("time=%s service=%s method=%s path=%s key=%s\n",
		e.Time.UTC().Format(time.RFC3339Nano), quote(e.Service), quote(e.Method), quote(e.Path), quote(e.Key))
}

// Read returns the entries of the file at path in the order of their writing.
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
		e, err := parse(line)
		if err != nil {
			return nil, errors.Wrapf(err, "%s:%d", path, n)
		}
		e.Upstream = name
		all = append(all, e)
	}
}

// ReadDir returns the entries of all journals in the directory.
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

func parse(line string) (Entry, error) {
	var e Entry
	values, err := ParseFields(line)
	if err != nil {
		return e, err
	}
	e.Service, e.Method, e.Path, e.Key = values["service"], values["method"], values["path"], values["key"]
	e.Time, err = time.Parse(time.RFC3339Nano, values["time"])
	return e, errors.Wrap(err, "time of the execution")
}

// ParseFields splits a line of key=value pairs; a value may be quoted.
func ParseFields(line string) (map[string]string, error) {
	values := make(map[string]string)
	for line = strings.TrimSpace(line); line != ""; line = strings.TrimLeft(line, " ") {
		key, rest, ok := strings.Cut(line, "=")
		if !ok {
			return nil, errors.Newf("%q is not a key=value pair", line)
		}
		value, err := firstWord(rest)
		if err != nil {
			return nil, err
		}
		line = rest[len(value):]
		if strings.HasPrefix(value, `"`) {
			if value, err = strconv.Unquote(value); err != nil {
				return nil, errors.Wrapf(err, "value of %q", key)
			}
		}
		values[key] = value
	}
	return values, nil
}

func firstWord(s string) (string, error) {
	if strings.HasPrefix(s, `"`) {
		word, err := strconv.QuotedPrefix(s)
		return word, errors.Wrapf(err, "quoted value %q", s)
	}
	word, _, _ := strings.Cut(s, " ")
	return word, nil
}

// quote returns s as it is when it is one word, and quoted otherwise.
func quote(s string) string {
	if strings.ContainsAny(s, " \t\r\n\"=") {
		return strconv.Quote(s)
	}
	return s
}
