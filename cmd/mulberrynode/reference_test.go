package main

import (
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// Guards against a reference of the settings file that differs from the code.
func TestSettingsReference(t *testing.T) {
	data, err := os.ReadFile("../../docs/operations.md")
	if err != nil {
		t.Fatal(err)
	}
	_, table, _ := strings.Cut(string(data), "\n### Settings of mulberrynode\n")
	table, _, _ = strings.Cut(table, "\n### ")
	var rows []string
	for _, l := range strings.Split(table, "\n") {
		if cells := strings.Split(l, " | "); len(cells) == 6 && !strings.HasPrefix(l, "| section ") {
			rows = append(rows, strings.Join([]string{strings.TrimPrefix(cells[0], "| "), cells[1], cells[3], cells[4]}, " | "))
		}
	}
	sections := reflect.TypeFor[nodeSettings]()
	for i := range sections.NumField() {
		s := sections.Field(i)
		for j := range s.Type.NumField() {
			want := settingsRow(s.Tag.Get("ini"), s.Type.Field(j).Tag)
			k := slices.Index(rows, want)
			if k < 0 {
				t.Errorf("operations.md lacks section, key, default and limits: %s", want)
				continue
			}
			rows = slices.Delete(rows, k, k+1)
		}
	}
	if len(rows) > 0 {
		t.Errorf("operations.md has rows for keys that do not exist: %q", rows)
	}
}

func settingsRow(section string, tag reflect.StructTag) string {
	def, limits := tag.Get("default"), "none"
	switch {
	case tag.Get("required") == "true":
		def = "required"
	case def == "":
		def = "none"
	}
	switch {
	case tag.Get("oneof") != "":
		limits = strings.ReplaceAll(tag.Get("oneof"), ",", ", ")
	case tag.Get("min") != "":
		limits = tag.Get("min") + " to " + tag.Get("max")
	}
	return strings.Join([]string{section, tag.Get("ini"), def, limits}, " | ")
}
