// Package docs_test checks that the pages name only what exists.
package docs_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	code        = regexp.MustCompile("`([^`\n]+)`")
	testName    = regexp.MustCompile(`^([a-z0-9/_]+): ((?:Test|Fuzz|Example|Benchmark)\w*)$`)
	fileName    = regexp.MustCompile(`^[\w./-]+/[\w./-]+\.(go|md|ini|txt|txtar|log|sh|svg|html)$`)
	makeTarget  = regexp.MustCompile(`^(?:\w+=\S+ )*make (\w+)`)
	program     = regexp.MustCompile(`^(?:bin/)?(mulberry\w+) (\w+)`)
	goTestFlags = regexp.MustCompile(`go test .*-run '?\^?(\w+)`)
	goTestDir   = regexp.MustCompile(`go test .*?(\./[\w/]+)`)
)

// Guards against pages that promise tests, files and commands that do not
// exist (any more).
func TestPagesNameWhatExists(t *testing.T) {
	for _, page := range []string{"GUARANTEES.md", "CAPACITY.md", "OPERATIONS.md", "callers.md", "embedding.md", "../README.md"} {
		data, err := os.ReadFile(page)
		if err != nil {
			t.Errorf("%s: %v", page, err)
			continue
		}
		for i, line := range strings.Split(string(data), "\n") {
			for _, m := range code.FindAllStringSubmatch(line, -1) {
				if problem := check(t, m[1]); problem != "" {
					t.Errorf("%s:%d: `%s`: %s", page, i+1, m[1], problem)
				}
			}
		}
	}
}

func check(t *testing.T, text string) string {
	if m := testName.FindStringSubmatch(text); m != nil {
		return checkTest(t, m[1], m[2])
	}
	if m := makeTarget.FindStringSubmatch(text); m != nil {
		return contains(t, "../Makefile", "\n"+m[1]+":")
	}
	if strings.Contains(text, "go test ") {
		return checkGoTest(t, text)
	}
	if m := program.FindStringSubmatch(text); m != nil {
		return checkCommand(t, m[1], m[2])
	}
	if fileName.MatchString(text) && !strings.HasPrefix(text, "run/") {
		if _, err := os.Stat("../" + text); err != nil {
			return "file does not exist"
		}
	}
	return ""
}

func checkGoTest(t *testing.T, text string) string {
	dir := goTestDir.FindStringSubmatch(text)
	if dir == nil {
		return "no package directory"
	}
	name := goTestFlags.FindStringSubmatch(text)
	if name == nil {
		_, err := os.Stat("../" + dir[1])
		if err != nil {
			return "directory does not exist"
		}
		return ""
	}
	return checkTest(t, dir[1], name[1])
}

func checkTest(t *testing.T, dir, name string) string {
	files, err := filepath.Glob(filepath.Join("..", dir, "*_test.go"))
	if err != nil || len(files) == 0 {
		return "no test files in " + dir
	}
	for _, f := range files {
		if contains(t, f, "func "+name+"(") == "" {
			return ""
		}
	}
	return "test does not exist"
}

func checkCommand(t *testing.T, prog, name string) string {
	files, err := filepath.Glob(filepath.Join("..", "cmd", prog, "*.go"))
	if err != nil || len(files) == 0 {
		return "program does not exist"
	}
	for _, f := range files {
		if contains(t, f, `"`+name+`"`) == "" {
			return ""
		}
	}
	return "command does not exist"
}

func contains(t *testing.T, file, text string) string {
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains("\n"+string(data), text) {
		return ""
	}
	return "not found in " + filepath.Base(file)
}
