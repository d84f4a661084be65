package overlay

import (
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/state/settings"
)

// File is one source file. Its name is used in errors.
type File struct {
	Name string `cbor:"n"`
	Data []byte `cbor:"d"`
}

// Merge parses base and overlays, applies the overlays and validates the
// result as a whole. All problems are reported together, joined into one error.
// The version of the result is 0.
func Merge(base File, overlays []File) (*Config, error) {
	m := &merger{blocks: make(map[string]*block)}
	src, err := settings.Parse(base.Name, base.Data)
	if err != nil {
		m.problems = append(m.problems, err)
	} else {
		m.base(src)
	}
	for _, o := range overlays {
		osrc, oerr := settings.Parse(o.Name, o.Data)
		if oerr != nil {
			m.problems = append(m.problems, oerr)
			continue
		}
		// Without the base every name would be unknown.
		if err == nil {
			m.overlay(osrc)
		}
	}
	cfg := m.build()
	if len(m.problems) > 0 {
		return nil, errors.Join(m.problems...)
	}
	return cfg, nil
}

// place is where a key was set.
type place struct {
	file  string
	line  int
	value string
}

// block is one section of the base file with the overlays' changes.
type block struct {
	title title
	base  place // where the section stands
	keys  []settings.Key
	// set holds where each key was set last.
	set map[string]place
	// changed holds the keys that an overlay has set.
	changed map[string]place
	// bad is true when a value could not be read; whole-file checks then skip
	// the block, because they would report the same mistake a second time.
	bad bool
}

type merger struct {
	file     string
	blocks   map[string]*block
	order    []*block
	problems []error
}

func (m *merger) fail(p place, section, key, text string) {
	m.problems = append(m.problems, &settings.KeyError{
		File: p.file, Line: p.line, Section: section, Key: key, Text: text,
	})
}

func (m *merger) base(src *settings.File) {
	m.file = src.Name
	for _, s := range src.Sections {
		at := place{file: src.Name, line: s.Line}
		t, err := parseTitle(s.Name)
		if err != nil {
			m.fail(at, s.Name, "", err.Error())
			continue
		}
		if first, ok := m.blocks[t.String()]; ok {
			m.fail(at, s.Name, "", fmt.Sprintf("section stands twice, first on line %d", first.base.line))
			continue
		}
		b := &block{title: t, base: at, keys: s.Keys, set: make(map[string]place), changed: make(map[string]place)}
		for _, k := range s.Keys {
			b.set[k.Name] = place{file: src.Name, line: k.Line, value: k.Value}
		}
		m.check(b, src.Name, s)
		m.blocks[t.String()] = b
		m.order = append(m.order, b)
	}
}

func (m *merger) overlay(src *settings.File) {
	for _, s := range src.Sections {
		at := place{file: src.Name, line: s.Line}
		t, err := parseTitle(s.Name)
		if err != nil {
			m.fail(at, s.Name, "", err.Error())
			continue
		}
		b, ok := m.blocks[t.String()]
		if !ok {
			m.fail(at, s.Name, "", "the base file has no such section"+settings.Suggest(t.String(), m.titles()))
			continue
		}
		m.check(b, src.Name, s)
		for _, k := range s.Keys {
			m.change(b, s.Name, k, place{file: src.Name, line: k.Line, value: k.Value})
		}
	}
}

// check reports the keys of s that cannot be read.
func (m *merger) check(b *block, file string, s settings.Section) {
	found := settings.DecodeSection(file, s, b.title.kind.newKeys())
	b.bad = b.bad || len(found) > 0
	m.problems = append(m.problems, found...)
}

// change puts the key of an overlay in place of the one in the base file.
func (m *merger) change(b *block, section string, k settings.Key, at place) {
	if first, ok := b.changed[k.Name]; ok && first.value != k.Value {
		m.fail(at, section, k.Name, fmt.Sprintf("%q contradicts %q at %s:%d", k.Value, first.value, first.file, first.line))
		return
	}
	b.changed[k.Name] = at
	b.set[k.Name] = at
	i := slices.IndexFunc(b.keys, func(have settings.Key) bool { return have.Name == k.Name })
	if i < 0 {
		b.keys = append(b.keys, k)
		return
	}
	b.keys[i] = k
}

func (m *merger) titles() []string {
	names := make([]string, 0, len(m.order))
	for _, b := range m.order {
		names = append(names, b.title.String())
	}
	return names
}

// where returns the place of the first of the keys that is set, overlays
// first, or the place of the section.
func (b *block) where(keys ...string) (at place, key string) {
	for _, k := range keys {
		if p, ok := b.changed[k]; ok {
			return p, k
		}
	}
	for _, k := range keys {
		if p, ok := b.set[k]; ok {
			return p, k
		}
	}
	return b.base, keys[0]
}

// decode reads the merged keys into v. Its problems were reported by check.
func (b *block) decode(v any) {
	_ = settings.DecodeSection(b.base.file, settings.Section{Name: b.title.String(), Keys: b.keys}, v)
}
