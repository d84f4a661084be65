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
	m := &merger{sections: make(map[string]*mergedSection)}
	src, err := settings.Parse(base.Name, base.Data)
	if err != nil {
		m.problems = append(m.problems, err)
	} else {
		m.addBase(src)
	}
	for _, o := range overlays {
		overlaySrc, overlayErr := settings.Parse(o.Name, o.Data)
		if overlayErr != nil {
			m.problems = append(m.problems, overlayErr)
			continue
		}
		// Without the base every name would be unknown.
		if err == nil {
			m.applyOverlay(overlaySrc)
		}
	}
	cfg := m.build()
	if len(m.problems) > 0 {
		return nil, errors.Join(m.problems...)
	}
	return cfg, nil
}

// place is where a key was set.
type location struct {
	file  string
	line  int
	value string
}

// block is one section of the base file with the overlays' changes.
type mergedSection struct {
	title    sectionTitle
	declared location // where the section stands
	keys     []settings.Key
	// set holds where each key was set last.
	setAt map[string]location
	// changed holds the keys that an overlay has set.
	overlaidAt map[string]location
	// bad is true when a value could not be read; whole-file checks then skip
	// the block, because they would report the same mistake a second time.
	invalid bool
}

type merger struct {
	baseFile string
	sections map[string]*mergedSection
	ordered  []*mergedSection
	problems []error
}

func (m *merger) report(loc location, section, key, text string) {
	m.problems = append(m.problems, &settings.KeyError{
		File: loc.file, Line: loc.line, Section: section, Key: key, Text: text,
	})
}

func (m *merger) addBase(src *settings.File) {
	m.baseFile = src.Name
	for _, s := range src.Sections {
		loc := location{file: src.Name, line: s.Line}
		t, err := parseTitle(s.Name)
		if err != nil {
			m.report(loc, s.Name, "", err.Error())
			continue
		}
		if earlier, ok := m.sections[t.String()]; ok {
			m.report(loc, s.Name, "", fmt.Sprintf("section stands twice, first on line %d", earlier.declared.line))
			continue
		}
		sec := &mergedSection{title: t, declared: loc, keys: s.Keys, setAt: make(map[string]location), overlaidAt: make(map[string]location)}
		for _, k := range s.Keys {
			sec.setAt[k.Name] = location{file: src.Name, line: k.Line, value: k.Value}
		}
		m.checkKeys(sec, src.Name, s)
		m.sections[t.String()] = sec
		m.ordered = append(m.ordered, sec)
	}
}

func (m *merger) applyOverlay(src *settings.File) {
	for _, s := range src.Sections {
		loc := location{file: src.Name, line: s.Line}
		t, err := parseTitle(s.Name)
		if err != nil {
			m.report(loc, s.Name, "", err.Error())
			continue
		}
		sec, ok := m.sections[t.String()]
		if !ok {
			m.report(loc, s.Name, "", "the base file has no such section"+settings.Suggest(t.String(), m.titles()))
			continue
		}
		m.checkKeys(sec, src.Name, s)
		for _, k := range s.Keys {
			m.applyKey(sec, s.Name, k, location{file: src.Name, line: k.Line, value: k.Value})
		}
	}
}

// check reports the keys of s that cannot be read.
func (m *merger) checkKeys(sec *mergedSection, file string, s settings.Section) {
	problems := settings.DecodeSection(file, s, sec.title.kind.newKeys())
	sec.invalid = sec.invalid || len(problems) > 0
	m.problems = append(m.problems, problems...)
}

// change puts the key of an overlay in place of the one in the base file.
func (m *merger) applyKey(sec *mergedSection, section string, k settings.Key, loc location) {
	if earlier, ok := sec.overlaidAt[k.Name]; ok && earlier.value != k.Value {
		m.report(loc, section, k.Name, fmt.Sprintf("%q contradicts %q at %s:%d", k.Value, earlier.value, earlier.file, earlier.line))
		return
	}
	sec.overlaidAt[k.Name] = loc
	sec.setAt[k.Name] = loc
	i := slices.IndexFunc(sec.keys, func(have settings.Key) bool { return have.Name == k.Name })
	if i < 0 {
		sec.keys = append(sec.keys, k)
		return
	}
	sec.keys[i] = k
}

func (m *merger) titles() []string {
	names := make([]string, 0, len(m.ordered))
	for _, sec := range m.ordered {
		names = append(names, sec.title.String())
	}
	return names
}

// where returns the place of the first of the keys that is set, overlays
// first, or the place of the section.
func (s *mergedSection) locate(keys ...string) (loc location, key string) {
	for _, k := range keys {
		if p, ok := s.overlaidAt[k]; ok {
			return p, k
		}
	}
	for _, k := range keys {
		if p, ok := s.setAt[k]; ok {
			return p, k
		}
	}
	return s.declared, keys[0]
}

// decode reads the merged keys into v. Its problems were reported by check.
func (s *mergedSection) decode(v any) {
	_ = settings.DecodeSection(s.declared.file, settings.Section{Name: s.title.String(), Keys: s.keys}, v)
}
