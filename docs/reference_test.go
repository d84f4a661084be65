package docs_test

import (
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/mulberrylink/mulberrylink/state/overlay"
)

// Guards against a configuration reference that differs from the code.
func TestConfigurationReference(t *testing.T) {
	data, err := os.ReadFile("OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, table, _ := strings.Cut(string(data), "\n### Base file and overlays\n")
	table, _, _ = strings.Cut(table, "\n### ")
	var rows []string
	for _, l := range strings.Split(table, "\n") {
		if strings.HasPrefix(l, "| service |") || strings.HasPrefix(l, "| route |") || strings.HasPrefix(l, "| domain |") {
			rows = append(rows, l)
		}
	}
	for _, k := range overlay.Keys() {
		limits := ""
		switch {
		case k.Choices != "":
			limits = strings.ReplaceAll(k.Choices, ",", ", ")
		case k.Min != "" || k.Max != "":
			limits = k.Min + " to " + k.Max
		}
		want := "| " + strings.Join([]string{k.Section, k.Key, k.Unit, or(k.Default), or(limits), k.Doc}, " | ") + " |"
		i := slices.Index(rows, want)
		if i < 0 {
			t.Errorf("OPERATIONS.md lacks the row\n%s", want)
			continue
		}
		rows = slices.Delete(rows, i, i+1)
	}
	if len(rows) > 0 {
		t.Errorf("OPERATIONS.md has rows for keys that do not exist:\n%s", strings.Join(rows, "\n"))
	}
}

func or(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
