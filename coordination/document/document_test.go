package document_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/mulberrylink/mulberrylink/coordination/document"
	"github.com/mulberrylink/mulberrylink/internal/fixedseed"
	"github.com/mulberrylink/mulberrylink/state/codec"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

func items(words ...string) []document.List {
	var l document.List
	l.Name = "routes"
	for _, w := range words {
		l.Items = append(l.Items, document.Item{Name: w[:1], Data: []byte(w)})
	}
	return []document.List{l}
}

func apply(m *document.Machine, c *document.Change) document.Outcome {
	return document.DecodeOutcome(m.Apply(0, document.Encode(document.Command{Change: c})))
}

func contents(s *document.State) string {
	text := fmt.Sprintf("v%d", s.Version)
	for _, it := range s.List("routes") {
		text += " " + string(it.Data)
	}
	return text
}

// Guards against two accepted changes with the same base version, against a version that
// decreases, and against a resent change that is rejected.
func TestChanges(t *testing.T) {
	is := is.New(t)
	m := document.NewMachine()
	first := &document.Change{Version: 3, Replace: true, Lists: items("a1", "b1")}
	second := &document.Change{BaseVersion: 3, Version: 7, Lists: items("b2", "c1"), Remove: items("a")}
	conflicting := &document.Change{BaseVersion: 3, Version: 7, Lists: items("x1")}
	is.Equal(apply(m, first), document.Accepted)
	is.Equal(apply(m, second), document.Accepted)
	is.Equal(apply(m, conflicting), document.Conflict)
	is.Equal(apply(m, &document.Change{BaseVersion: 7, Version: 7, Lists: items("x1")}), document.Stale)
	is.Equal(apply(m, &document.Change{BaseVersion: 7, Version: 6}), document.Stale)
	s, _ := m.Current()
	is.Equal(contents(s), "v7 b2 c1")

	is.Equal(apply(m, &document.Change{BaseVersion: 7, Version: 9, Remove: items("c")}), document.Accepted)
	restored := document.NewMachine()
	is.NoErr(restored.Restore(m.Snapshot()))
	for _, machine := range []*document.Machine{m, restored} {
		is.Equal(apply(machine, first), document.Accepted)
		is.Equal(apply(machine, second), document.Accepted)
		is.Equal(apply(machine, conflicting), document.Conflict)
		s, _ := machine.Current()
		is.Equal(contents(s), "v9 b2")
	}
}

// Guards against a failure domain that is back in service after a change of the document or a
// restore from a snapshot.
func TestDomains(t *testing.T) {
	is := is.New(t)
	m := document.NewMachine()
	setDomainOut := func(name string, out bool) {
		m.Apply(0, document.Encode(document.Command{Domain: name, DomainOut: out}))
	}
	setDomainOut("d2", true)
	setDomainOut("d1", true)
	setDomainOut("d2", true)
	is.Equal(apply(m, &document.Change{Version: 1, Replace: true}), document.Accepted)
	restored := document.NewMachine()
	is.NoErr(restored.Restore(m.Snapshot()))
	s, _ := restored.Current()
	is.Equal(s.DomainsOut, []string{"d1", "d2"})
	is.True(s.IsDomainOut("d2") && !s.IsDomainOut("d3"))
	revision := s.Revision
	setDomainOut("d1", false)
	s, _ = m.Current()
	is.Equal(s.DomainsOut, []string{"d2"})
	is.True(s.Revision > revision)
}

// Guards against a difference that does not produce the new state: a node would then serve a
// configuration that does not match the version it reports.
func TestDiffLeadsToTheNewState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states := rapid.Custom(func(t *rapid.T) *document.State {
			lists := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"routes", "services", "accounts"}), rapid.ID[string]).Draw(t, "lists")
			s := &document.State{Version: rapid.Uint64Range(1, 9).Draw(t, "version"), Extra: rapid.SliceOfN(rapid.Byte(), 1, 3).Draw(t, "extra")}
			for _, list := range lists {
				names := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), rapid.ID[string]).Draw(t, list)
				l := document.List{Name: list}
				for _, n := range names {
					l.Items = append(l.Items, document.Item{Name: n, Data: rapid.SliceOfN(rapid.Byte(), 1, 1).Draw(t, "data")})
				}
				s.Lists = append(s.Lists, l)
			}
			return s
		})
		from, to := states.Draw(t, "from"), states.Draw(t, "to")
		data, err := codec.Marshal(document.Diff(from, to))
		if err != nil {
			t.Fatal(err)
		}
		var c document.Change
		if err := codec.Unmarshal(data, &c); err != nil {
			t.Fatal(err)
		}
		got := from.Apply(&c)
		if got.Version != to.Version || string(got.Extra) != string(to.Extra) {
			t.Fatalf("version %d extra %q, want %d %q", got.Version, got.Extra, to.Version, to.Extra)
		}
		if a, b := listNames(got), listNames(to); a != b {
			t.Fatalf("lists %s, want %s", a, b)
		}
		for _, list := range []string{"routes", "services", "accounts"} {
			if a, b := sorted(got.List(list)), sorted(to.List(list)); a != b {
				t.Fatalf("%s: %s, want %s", list, a, b)
			}
		}
	})
}

func listNames(s *document.State) string {
	var names []string
	for _, l := range s.Lists {
		names = append(names, l.Name)
	}
	slices.Sort(names)
	return fmt.Sprint(names)
}

func sorted(items []document.Item) string {
	items = slices.Clone(items)
	slices.SortFunc(items, func(a, b document.Item) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return fmt.Sprint(items)
}

// Guards against a malformed log entry or snapshot that panics.
func TestDamagedInput(t *testing.T) {
	is := is.New(t)
	m := document.NewMachine()
	is.Equal(document.DecodeOutcome(m.Apply(0, []byte{0xff, 1, 2})), document.Malformed)
	is.True(m.Restore([]byte("x")) != nil)
	is.Equal(document.DecodeOutcome(nil), document.Malformed)
}
