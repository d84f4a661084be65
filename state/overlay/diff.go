package overlay

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Change is one difference between two configurations. Old is empty when the
// key is new, New when it is gone.
type Change struct {
	// Section is the section name, for example "domain d1".
	Section string
	Key     string
	Old     string
	New     string
}

// Diff returns the differences between a and b, sorted by section and key. It
// compares effective values, so a key set to its default is no difference.
// Versions are not compared.
func Diff(a, b *Config) []Change {
	old, now := flatten(a), flatten(b)
	all := maps.Clone(old)
	maps.Copy(all, now)
	var changes []Change
	for id := range all {
		if old[id] != now[id] {
			changes = append(changes, Change{Section: id.section, Key: id.key, Old: old[id], New: now[id]})
		}
	}
	slices.SortFunc(changes, func(x, y Change) int {
		return cmp.Or(cmp.Compare(x.Section, y.Section), cmp.Compare(x.Key, y.Key))
	})
	return changes
}

// keyID names one key of one section.
type keyID struct{ section, key string }

func flatten(cfg *Config) map[keyID]string {
	flat := make(map[keyID]string)
	for _, d := range cfg.Domains {
		s := title{kind: kindDomain, name: d.Name}.String()
		flat[keyID{s, "region"}] = d.Region
		flat[keyID{s, "state"}] = d.State.String()
	}
	for _, sv := range cfg.Services {
		s := title{kind: kindService, name: sv.Name}.String()
		flat[keyID{s, "timeout"}] = sv.Timeout.String()
		flat[keyID{s, "queue"}] = sv.Queue.String()
		flat[keyID{s, "retry"}] = fmt.Sprint(sv.RetryPercent)
		flat[keyID{s, "probes"}] = fmt.Sprint(sv.Probes)
		flat[keyID{s, "eject"}] = fmt.Sprint(sv.EjectPercent)
		flat[keyID{s, "subset"}] = fmt.Sprint(sv.Subset)
		flat[keyID{s, "keyttl"}] = sv.KeyTTL.String()
		for _, r := range sv.Routes {
			rs := title{kind: kindRoute, name: sv.Name, method: r.Method, path: r.Path}.String()
			flat[keyID{rs, "idempotent"}] = fmt.Sprint(r.Idempotent)
			flat[keyID{rs, "keyed"}] = fmt.Sprint(r.Keyed)
		}
	}
	return flat
}
