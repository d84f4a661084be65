// Package settings reads INI files strictly. Unknown sections and keys are errors that suggest the
// most similar known name, and every error states the file, the line and, where they apply, the
// section and key.
//
// # Usage
//
// A program describes its settings as a struct of sections and loads them:
//
//	type nodeSettings struct {
//		Listen struct {
//			Front string        `ini:"front" required:"true"`
//			Idle  time.Duration `ini:"idle" default:"30s" min:"1s" max:"1h"`
//		} `ini:"listen"`
//	}
//	var cfg nodeSettings
//	err := settings.Load("node.ini", &cfg)
//
// Fields may be of type string, bool, int, uint64, float64, time.Duration or []string (a
// comma-separated list). Packages whose section names are not fixed use Parse, which returns the
// sections as they are in the file, and DecodeSection.
package settings

import (
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// Key is one key of a section.
type Key struct {
	Name  string
	Value string
	Line  int
}

// Section is one section of a file.
type Section struct {
	Name string
	Line int
	Keys []Key
}

// File is a parsed settings file.
type File struct {
	Name     string
	Sections []Section
}

// KeyError is an error in a settings file. Section and Key are empty if the error concerns none.
type KeyError struct {
	File    string
	Line    int
	Section string
	Key     string
	Text    string
}

// Error implements error.
func (e *KeyError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d:", e.File, e.Line)
	if e.Section != "" {
		fmt.Fprintf(&b, " section %q", e.Section)
	}
	if e.Key != "" {
		fmt.Fprintf(&b, " key %q", e.Key)
	}
	return strings.TrimSuffix(b.String(), ":") + ": " + e.Text
}

// Read parses the file at path.
func Read(path string) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(path, data)
}

// Parse parses data. Errors refer to it by name. Duplicate sections, and duplicate keys with
// different values, are errors, because otherwise the last one would silently take effect.
func Parse(name string, data []byte) (*File, error) {
	opts := ini.LoadOptions{
		AllowNonUniqueSections:  true,
		AllowShadows:            true,
		KeyValueDelimiters:      "=",
		SkipUnrecognizableLines: false,
	}
	src, err := ini.LoadSources(opts, data)
	if err != nil {
		return nil, &KeyError{File: name, Line: syntaxErrorLine(data), Text: err.Error()}
	}
	f := &File{Name: name}
	positions := scanPositions(data)
	if err := f.addSections(src, positions); err != nil {
		return nil, err
	}
	return f, nil
}

// Section returns the named section.
func (f *File) Section(name string) (Section, bool) {
	for _, s := range f.Sections {
		if s.Name == name {
			return s, true
		}
	}
	return Section{}, false
}

// addSections adds the sections and keys of a parsed file with their line numbers.
func (f *File) addSections(src *ini.File, positions []position) error {
	seen := make(map[string]int)
	number := 0
	for _, s := range src.Sections() {
		if s.Name() == ini.DefaultSection {
			if len(s.Keys()) > 0 {
				line := lineOf(positions, 0, s.Keys()[0].Name())
				return &KeyError{File: f.Name, Line: line, Key: s.Keys()[0].Name(), Text: "key is outside of any section"}
			}
			continue
		}
		number++
		line := lineOf(positions, number, "")
		if firstLine, ok := seen[s.Name()]; ok {
			return &KeyError{File: f.Name, Line: line, Section: s.Name(), Text: fmt.Sprintf("duplicate section, first defined on line %d", firstLine)}
		}
		seen[s.Name()] = line
		sec := Section{Name: s.Name(), Line: line}
		for _, k := range s.Keys() {
			keyLine := lineOf(positions, number, k.Name())
			if len(k.ValueWithShadows()) > 1 {
				return &KeyError{File: f.Name, Line: keyLine, Section: s.Name(), Key: k.Name(), Text: "duplicate key"}
			}
			sec.Keys = append(sec.Keys, Key{Name: k.Name(), Value: k.String(), Line: keyLine})
		}
		f.Sections = append(f.Sections, sec)
	}
	return nil
}

// position is the line of a section, with an empty key, or of a key. Sections are numbered from 1;
// keys before the first one have section 0. The ini package does not report line numbers.
type position struct {
	section int
	key     string
	line    int
}

// scanPositions returns the positions of all sections and keys in data.
func scanPositions(data []byte) []position {
	var positions []position
	section := 0
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			section++
			positions = append(positions, position{section: section, line: i + 1})
			continue
		}
		if name, _, ok := strings.Cut(line, "="); ok && !isComment(line) {
			positions = append(positions, position{section: section, key: strings.TrimSpace(name), line: i + 1})
		}
	}
	return positions
}

// lineOf returns the line of a key, or of the section itself if key is empty, and 0 if there is no
// such position.
func lineOf(positions []position, section int, key string) int {
	for _, p := range positions {
		if p.section == section && p.key == key {
			return p.line
		}
	}
	return 0
}

// syntaxErrorLine returns the first line that is neither a section, a key nor a comment, and 0 if
// there is none. The ini package reports syntax errors without a line number.
func syntaxErrorLine(data []byte) int {
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		switch {
		case line == "" || isComment(line):
		case strings.HasPrefix(line, "["):
			if !strings.Contains(line, "]") {
				return i + 1
			}
		case !strings.Contains(line, "="):
			return i + 1
		}
	}
	return 0
}

func isComment(line string) bool {
	return strings.HasPrefix(line, ";") || strings.HasPrefix(line, "#")
}
