package overlay

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Change is one difference between two configurations. Old is empty if the key was added, and New
// is empty if it was removed.
type Change struct {
	// Section is the section name, for example "domain d1".
	Section string
	Key     string
	Old     string
	New     string
}

// Diff returns the changes from a to b, sorted by section and key. It compares effective values, so
// a key that is set to its default does not differ from one that is not set. It does not compare
// versions.
func Diff(a, b *Config) []Change {
	before, after := flatten(a), flatten(b)
	all := maps.Clone(before)
	maps.Copy(all, after)
	var changes []Change
	for id := range all {
		if before[id] != after[id] {
			changes = append(changes, Change{Section: id.section, Key: id.key, Old: before[id], New: after[id]})
		}
	}
	slices.SortFunc(changes, func(x, y Change) int {
		return cmp.Or(cmp.Compare(x.Section, y.Section), cmp.Compare(x.Key, y.Key))
	})
	return changes
}

// keyID identifies one key of one section.
type keyID struct{ section, key string }

// flatten returns the effective value of every key.
func flatten(cfg *Config) map[keyID]string {
	flat := make(map[keyID]string)
	for _, d := range cfg.Domains {
		section := sectionTitle{kind: kindDomain, name: d.Name}.String()
		flat[keyID{section, "region"}] = d.Region
		flat[keyID{section, "state"}] = d.State.String()
	}
	for _, svc := range cfg.Services {
		section := sectionTitle{kind: kindService, name: svc.Name}.String()
		flat[keyID{section, "timeout"}] = svc.Timeout.String()
		flat[keyID{section, "queue"}] = svc.Queue.String()
		flat[keyID{section, "retry"}] = fmt.Sprint(svc.RetryPercent)
		flat[keyID{section, "probes"}] = fmt.Sprint(svc.Probes)
		flat[keyID{section, "eject"}] = fmt.Sprint(svc.EjectPercent)
		flat[keyID{section, "subset"}] = fmt.Sprint(svc.Subset)
		flat[keyID{section, "keyttl"}] = svc.KeyTTL.String()
		for _, r := range svc.Routes {
			routeSection := sectionTitle{kind: kindRoute, name: svc.Name, method: r.Method, path: r.Path}.String()
			flat[keyID{routeSection, "idempotent"}] = fmt.Sprint(r.Idempotent)
			flat[keyID{routeSection, "keyed"}] = fmt.Sprint(r.Keyed)
		}
	}
	return flat
}
