package settings

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Load reads the file at path and decodes it into the struct that v points to.
func Load(path string, v any) error {
	f, err := Read(path)
	if err != nil {
		return err
	}
	return Decode(f, v)
}

// Decode decodes f into the struct that v points to. It returns all problems joined into one error.
func Decode(f *File, v any) error {
	d := decoder{file: f}
	root := reflect.ValueOf(v).Elem()
	sections := make(map[string]reflect.Value)
	collectSections(root, sections)
	known := make(map[string]int, len(sections))
	for name := range sections {
		known[name] = 0
	}
	for _, s := range f.Sections {
		if _, ok := known[s.Name]; !ok {
			d.report(s.Line, s.Name, "", "unknown section"+Suggest(s.Name, sortedKeys(known)))
		}
	}
	for _, name := range sortedKeys(known) {
		s, _ := f.Section(name)
		s.Name = name
		d.decodeSection(s, sections[name])
	}
	return errors.Join(d.problems...)
}

// collectSections collects the section fields of a struct and of its embedded structs. Programs
// embed the sections that they have in common.
func collectSections(v reflect.Value, sections map[string]reflect.Value) {
	for i := range v.NumField() {
		if f := v.Type().Field(i); f.Anonymous {
			collectSections(v.Field(i), sections)
		} else {
			sections[f.Tag.Get("ini")] = v.Field(i)
		}
	}
}

// DecodeSection decodes the keys of s into the struct that v points to and returns all problems.
func DecodeSection(file string, s Section, v any) []error {
	d := decoder{file: &File{Name: file}}
	d.decodeSection(s, reflect.ValueOf(v).Elem())
	return d.problems
}

// Suggest returns a suffix for an error message that suggests the known name most similar to name,
// or an empty string if none is similar.
func Suggest(name string, known []string) string {
	best, bestDistance := "", len(name)/2+2
	for _, k := range known {
		if d := editDistance(name, k); d < bestDistance {
			best, bestDistance = k, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", best)
}

// decoder collects the problems of one file.
type decoder struct {
	file     *File
	problems []error
}

func (d *decoder) report(line int, section, key, text string) {
	d.problems = append(d.problems, &KeyError{
		File: d.file.Name, Line: line, Section: section, Key: key, Text: text,
	})
}

// decodeSection decodes the keys of s into the struct v, sets the other fields to their defaults and
// reports required keys that are missing.
func (d *decoder) decodeSection(s Section, v reflect.Value) {
	t := v.Type()
	known := keyFields(t)
	set := make(map[string]bool)
	for _, k := range s.Keys {
		i, ok := known[k.Name]
		if !ok {
			d.report(k.Line, s.Name, k.Name, "unknown key"+Suggest(k.Name, sortedKeys(known)))
			continue
		}
		set[k.Name] = true
		if err := setValue(v.Field(i), t.Field(i).Tag, k.Value); err != nil {
			d.report(k.Line, s.Name, k.Name, err.Error())
		}
	}
	for i := range t.NumField() {
		tag := t.Field(i).Tag
		name := tag.Get("ini")
		if name == "" || set[name] {
			continue
		}
		if tag.Get("required") == "true" {
			d.report(s.Line, s.Name, name, "required key is missing")
			continue
		}
		if defaultText := tag.Get("default"); defaultText != "" {
			if err := setValue(v.Field(i), tag, defaultText); err != nil {
				d.report(s.Line, s.Name, name, err.Error())
			}
		}
	}
}

// setValue parses text, stores it in v and checks it against the limits in the tag.
func setValue(v reflect.Value, tag reflect.StructTag, text string) error {
	if v.Type() == reflect.TypeFor[time.Duration]() {
		return setDuration(v, tag, text)
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(text)
		return checkChoice(tag, text)
	case reflect.Bool:
		b, err := strconv.ParseBool(text)
		if err != nil {
			return errors.Newf("%q is not true or false", text)
		}
		v.SetBool(b)
	case reflect.Int:
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return errors.Newf("%q is not a whole number", text)
		}
		v.SetInt(n)
		return checkRange(tag, float64(n))
	case reflect.Uint64:
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return errors.Newf("%q is not a whole number of at least 0", text)
		}
		v.SetUint(n)
		return checkRange(tag, float64(n))
	case reflect.Float64:
		x, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return errors.Newf("%q is not a number", text)
		}
		v.SetFloat(x)
		return checkRange(tag, x)
	case reflect.Slice:
		v.Set(reflect.ValueOf(List(text)))
	default:
		panic("settings: unsupported field type " + v.Type().String())
	}
	return nil
}

// List splits a comma-separated value into its items and drops empty ones.
func List(text string) []string {
	var items []string
	for item := range strings.SplitSeq(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

func setDuration(v reflect.Value, tag reflect.StructTag, text string) error {
	dur, err := time.ParseDuration(text)
	if err != nil {
		return errors.Newf("%q is not a duration such as 250ms or 2s", text)
	}
	v.SetInt(int64(dur))
	if low := tag.Get("min"); low != "" {
		if limit, _ := time.ParseDuration(low); dur < limit {
			return errors.Newf("%s is below the minimum of %s", text, low)
		}
	}
	if high := tag.Get("max"); high != "" {
		if limit, _ := time.ParseDuration(high); dur > limit {
			return errors.Newf("%s is above the maximum of %s", text, high)
		}
	}
	return nil
}

func checkRange(tag reflect.StructTag, x float64) error {
	if low := tag.Get("min"); low != "" {
		if limit, _ := strconv.ParseFloat(low, 64); x < limit {
			return errors.Newf("%v is below the minimum of %s", x, low)
		}
	}
	if high := tag.Get("max"); high != "" {
		if limit, _ := strconv.ParseFloat(high, 64); x > limit {
			return errors.Newf("%v is above the maximum of %s", x, high)
		}
	}
	return nil
}

func checkChoice(tag reflect.StructTag, text string) error {
	allowed := List(tag.Get("oneof"))
	if len(allowed) == 0 {
		return nil
	}
	for _, a := range allowed {
		if a == text {
			return nil
		}
	}
	return errors.Newf("%q is not one of %s%s", text, strings.Join(allowed, ", "), Suggest(text, allowed))
}

// keyFields returns the index of the field for each key of a section.
func keyFields(t reflect.Type) map[string]int {
	fields := make(map[string]int)
	for i := range t.NumField() {
		if name := t.Field(i).Tag.Get("ini"); name != "" {
			fields[name] = i
		}
	}
	return fields
}

func sortedKeys(m map[string]int) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys) // so that problems and the choice of Suggest are the same in every run
	return keys
}

// editDistance returns the Levenshtein distance between a and b in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diag := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			next := min(row[j]+1, row[j-1]+1, diag+cost)
			diag, row[j] = row[j], next
		}
	}
	return row[len(b)]
}
