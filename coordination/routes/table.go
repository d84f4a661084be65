package routes

import (
	"net"
	"sort"
	"strings"

	"github.com/mulberrylink/mulberrylink/coordination/accounts"
)

// Table is one version of the routing table. It is immutable.
type Table struct {
	Version  uint64
	Services map[string]Service
	Limits   Limits
	// Accounts are the client accounts, nil if the configuration has none: callers then need no key.
	Accounts *accounts.Table

	byHost map[string][]*Route // longest prefix first
	names  map[string]bool     // of the routes
}

// NewTable returns a table of the routes in list and of the services that they refer to.
func NewTable(version uint64, list []Route, services []Service, limits Limits) *Table {
	t := &Table{
		Version: version, Limits: limits,
		Services: make(map[string]Service, len(services)),
		byHost:   make(map[string][]*Route),
		names:    make(map[string]bool, len(list)),
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for i := range list {
		t.names[list[i].Name] = true
		host := strings.ToLower(list[i].Host)
		t.byHost[host] = append(t.byHost[host], &list[i])
	}
	for _, rs := range t.byHost {
		sort.SliceStable(rs, func(i, j int) bool { return len(rs[i].Prefix) > len(rs[j].Prefix) })
	}
	return t
}

// HasRoute reports whether the table has a route of that name.
func (t *Table) HasRoute(name string) bool { return t.names[name] }

// Match returns the route of the host with the longest prefix of the path, or nil if there is
// none. The host may include a port and the path a query.
func (t *Table) Match(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	path, _, _ = strings.Cut(path, "?")
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
