package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// Guards against missing lines of a request, such as a line of another process that contains only the
// exchange identifier or a line of a nested call, and against lines of several files that are not
// sorted by time.
func TestTraceFollowsOverProcesses(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	a := write("a.log", `time=T1 level=warn event="connection lost" name=n1 request=q1 exchange=x7
time=T4 level=info event="answered late" name=n1 request=q1
time=T2 level=info event=other name=n1 request=q2
`)
	b := write("b.log", `time=T3 level=info event="outcome asked" name=n2 exchange=x7
time=T2 level=info event=nested name=n2 request=q1.call
time=T9 level=info event=start name=n2
`)
	lines, err := readLogs([]string{a, b})
	is.NoErr(err)
	var times []string
	for _, l := range linesOfRequest(lines, "q1") {
		times = append(times, l.time)
	}
	is.Equal(times, []string{"T1", "T2", "T3", "T4"})
	_, err = readLogs([]string{filepath.Join(dir, "none.log")})
	is.True(err != nil)
}
