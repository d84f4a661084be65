// Package settingstest compares the documented settings of a program with the struct that the
// program loads.
//
// # Usage
//
//	settingstest.CheckReference(t, "../../docs/OPERATIONS.md", "Settings of mulberrynode", nodeSettings{})
package settingstest

import (
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// CheckReference fails t unless the table under the given heading of a Markdown page has exactly
// one row for each key of the settings struct, with its default and limits.
func CheckReference(t *testing.T, page, heading string, settings any) {
	t.Helper()
	data, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	_, table, _ := strings.Cut(string(data), "\n### "+heading+"\n")
	table, _, _ = strings.Cut(table, "\n### ")
	var rows []string
	for _, line := range strings.Split(table, "\n") {
		if cells := strings.Split(line, " | "); len(cells) == 6 && !strings.HasPrefix(line, "| section ") {
			rows = append(rows, strings.Join([]string{strings.TrimPrefix(cells[0], "| "), cells[1], cells[3], cells[4]}, " | "))
		}
	}
	sections := reflect.TypeOf(settings)
	for i := range sections.NumField() {
		s := sections.Field(i)
		for j := range s.Type.NumField() {
			want := referenceRow(s.Tag.Get("ini"), s.Type.Field(j).Tag)
			row := slices.Index(rows, want)
			if row < 0 {
				t.Errorf("OPERATIONS.md lacks section, key, default and limits: %s", want)
				continue
			}
			rows = slices.Delete(rows, row, row+1)
		}
	}
	if len(rows) > 0 {
		t.Errorf("OPERATIONS.md has rows for keys that do not exist: %q", rows)
	}
}

// referenceRow returns the section, key, default and limits of a key as the table states them.
func referenceRow(section string, tag reflect.StructTag) string {
	defaultText, limits := tag.Get("default"), "none"
	switch {
	case tag.Get("required") == "true":
		defaultText = "required"
	case defaultText == "":
		defaultText = "none"
	}
	switch {
	case tag.Get("oneof") != "":
		limits = strings.ReplaceAll(tag.Get("oneof"), ",", ", ")
	case tag.Get("min") != "":
		limits = tag.Get("min") + " to " + tag.Get("max")
	}
	return strings.Join([]string{section, tag.Get("ini"), defaultText, limits}, " | ")
}
