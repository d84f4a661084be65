package document

import (
	"bytes"
	"crypto/sha256"
	"slices"

	"github.com/mulberrylink/mulberrylink/state/codec"
)

// Item is a named part of a document.
type Item struct {
	Name string `cbor:"n"`
	Data []byte `cbor:"d"`
}

// List is an ordered list of items with distinct names.
type List struct {
	Name  string `cbor:"n"`
	Items []Item `cbor:"i"`
}

// State is one version of the document, the failure domains that are out of service and the rollouts. A
// published State is immutable.
type State struct {
	Version uint64 `cbor:"v"`
	Lists   []List `cbor:"l"`
	// Extra holds the contents of the document that are not lists of named items.
	Extra []byte `cbor:"r,omitempty"`
	// DomainsOut are the names of the failure domains that are out of service, sorted.
	DomainsOut []string `cbor:"o,omitempty"`
	// Rollouts are the last rollouts of the services that had one, sorted by service.
	Rollouts []Rollout `cbor:"u,omitempty"`
	// Revision increases with every change of the document, of DomainsOut or of Rollouts.
	Revision uint64 `cbor:"s"`
}

// Change replaces the whole document if Replace is true, and parts of it otherwise.
type Change struct {
	BaseVersion uint64 `cbor:"b"`
	Version     uint64 `cbor:"v"`
	Replace     bool   `cbor:"w,omitempty"`
	// Lists are all lists of the new document if Replace is true, and the items to add or to
	// replace by name otherwise.
	Lists []List `cbor:"l,omitempty"`
	// Remove are the items to remove. Only their names are used.
	Remove []List `cbor:"x,omitempty"`
	// DropLists are the names of lists that the new document does not have. A list without items is
	// another document: it may have a meaning of its own.
	DropLists []string `cbor:"z,omitempty"`
	// Extra replaces State.Extra if Replace is true or Extra is not empty.
	Extra []byte `cbor:"r,omitempty"`
}

// Digest returns a hash of the encoded change, which identifies it.
func (c *Change) Digest() []byte {
	data, err := codec.Marshal(c)
	if err != nil {
		panic(err) // plain data always encodes
	}
	sum := sha256.Sum256(data)
	return sum[:16]
}

// List returns the items of the named list.
func (s *State) List(name string) []Item {
	for _, l := range s.Lists {
		if l.Name == name {
			return l.Items
		}
	}
	return nil
}

// IsDomainOut reports whether a failure domain is out of service.
func (s *State) IsDomainOut(domain string) bool {
	_, found := slices.BinarySearch(s.DomainsOut, domain)
	return found
}

// Apply returns the state after a change. It does not check versions.
func (s *State) Apply(c *Change) *State {
	next := &State{Version: c.Version, Extra: s.Extra, DomainsOut: s.DomainsOut, Rollouts: s.Rollouts, Revision: s.Revision + 1}
	if c.Replace {
		next.Lists, next.Extra = c.Lists, c.Extra
		return next
	}
	if len(c.Extra) > 0 {
		next.Extra = c.Extra
	}
	names := make([]string, 0, len(s.Lists))
	for _, l := range s.Lists {
		names = append(names, l.Name)
	}
	for _, l := range c.Lists {
		if !slices.Contains(names, l.Name) {
			names = append(names, l.Name)
		}
	}
	for _, name := range names {
		if slices.Contains(c.DropLists, name) {
			continue
		}
		items := mergeItems(s.List(name), itemsIn(c.Lists, name), itemsIn(c.Remove, name))
		next.Lists = append(next.Lists, List{Name: name, Items: items})
	}
	return next
}

func itemsIn(lists []List, name string) []Item {
	s := State{Lists: lists}
	return s.List(name)
}

func mergeItems(old, upserts, removals []Item) []Item {
	removed := make(map[string]bool, len(removals))
	for _, it := range removals {
		removed[it.Name] = true
	}
	updates := make(map[string][]byte, len(upserts))
	for _, it := range upserts {
		updates[it.Name] = it.Data
	}
	items := make([]Item, 0, len(old)+len(upserts))
	for _, it := range old {
		data, replaced := updates[it.Name]
		switch {
		case replaced:
			items = append(items, Item{Name: it.Name, Data: data})
			delete(updates, it.Name)
		case !removed[it.Name]:
			items = append(items, it)
		}
	}
	for _, it := range upserts {
		if data, isNew := updates[it.Name]; isNew {
			items = append(items, Item{Name: it.Name, Data: data})
			delete(updates, it.Name)
		}
	}
	return items
}

// Diff returns the change that turns the document of one state into that of another, so that a
// follower is sent only the difference. The order of the items may differ.
func Diff(from, to *State) *Change {
	c := &Change{BaseVersion: from.Version, Version: to.Version}
	if !bytes.Equal(from.Extra, to.Extra) {
		c.Extra = to.Extra
	}
	for _, l := range to.Lists {
		missing := make(map[string][]byte)
		for _, it := range from.List(l.Name) {
			missing[it.Name] = it.Data
		}
		var upserts []Item
		for _, it := range l.Items {
			data, existed := missing[it.Name]
			if !existed || !bytes.Equal(data, it.Data) {
				upserts = append(upserts, it)
			}
			delete(missing, it.Name)
		}
		if len(upserts) > 0 || !hasList(from, l.Name) {
			c.Lists = append(c.Lists, List{Name: l.Name, Items: upserts})
		}
		c.Remove = appendRemoved(c.Remove, l.Name, from.List(l.Name), missing)
	}
	for _, l := range from.Lists {
		if !hasList(to, l.Name) {
			c.DropLists = append(c.DropLists, l.Name)
		}
	}
	return c
}

func hasList(s *State, name string) bool {
	return slices.ContainsFunc(s.Lists, func(l List) bool { return l.Name == name })
}

func appendRemoved(remove []List, name string, old []Item, missing map[string][]byte) []List {
	var items []Item
	for _, it := range old {
		if _, isMissing := missing[it.Name]; isMissing {
			items = append(items, Item{Name: it.Name})
		}
	}
	if len(items) == 0 {
		return remove
	}
	return append(remove, List{Name: name, Items: items})
}
