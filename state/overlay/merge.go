package overlay

import (
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/state/settings"
)

// File is a base or overlay file. Errors refer to it by its name.
type File struct {
	Name string `cbor:"n"`
	Data []byte `cbor:"d"`
}

// Merge parses the base file and the overlays, applies the overlays to the base and validates the
// result as a whole. It returns all problems joined into one error. The version of the result is 0.
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
		// Without a valid base file every section of an overlay would be reported as unknown.
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

// location is where a section or key was set, and the value of the key.
type location struct {
	file  string
	line  int
	value string
}

// mergedSection is one section of the base file with the changes of the overlays.
type mergedSection struct {
	title    sectionTitle
	declared location // the section in the base file
	keys     []settings.Key
	// setAt is where each key was last set, in the base file or an overlay.
	setAt map[string]location
	// overlaidAt is where an overlay last set each key.
	overlaidAt map[string]location
	// invalid is true if a key or value is invalid. Checks across keys then skip the section,
	// because they would report the same mistake again.
	invalid bool
}

// merger collects the sections and the problems of one Merge.
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

// addBase adds the sections of the base file.
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
			m.report(loc, s.Name, "", fmt.Sprintf("duplicate section, first defined on line %d", earlier.declared.line))
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

// applyOverlay sets the keys of one overlay in the sections of the base file.
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

// checkKeys reports the keys of s that are unknown or have an invalid value.
func (m *merger) checkKeys(sec *mergedSection, file string, s settings.Section) {
	problems := settings.DecodeSection(file, s, sec.title.kind.newKeys())
	sec.invalid = sec.invalid || len(problems) > 0
	m.problems = append(m.problems, problems...)
}

// applyKey sets a key from an overlay. It reports a problem if another overlay has set the key to a
// different value.
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

// locate returns the location at which a problem with the given keys is reported: the first of them
// that an overlay has set, else the first that the base file has set, else the section.
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

// decode decodes the merged keys into v. It ignores problems, because checkKeys has reported them.
func (s *mergedSection) decode(v any) {
	_ = settings.DecodeSection(s.declared.file, settings.Section{Name: s.title.String(), Keys: s.keys}, v)
}
