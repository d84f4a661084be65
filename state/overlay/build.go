package overlay

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/mulberrylink/mulberrylink/state/settings"
)

// build makes the configuration from the merged blocks and checks the rules
// that span several keys or sections.
func (m *merger) build() *Config {
	cfg := &Config{}
	routes := make(map[string][]Route)
	for _, b := range m.order {
		switch b.title.kind {
		case kindService:
			cfg.Services = append(cfg.Services, m.service(b))
		case kindRoute:
			routes[b.title.name] = append(routes[b.title.name], m.route(b))
		case kindDomain:
			cfg.Domains = append(cfg.Domains, m.domain(b))
		}
	}
	m.checkServices(cfg, routes)
	for i := range cfg.Services {
		s := &cfg.Services[i]
		s.Routes = routes[s.Name]
		slices.SortFunc(s.Routes, func(a, b Route) int {
			return cmp.Or(cmp.Compare(a.Method, b.Method), cmp.Compare(a.Path, b.Path))
		})
	}
	slices.SortFunc(cfg.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(cfg.Domains, func(a, b Domain) int { return cmp.Compare(a.Name, b.Name) })
	return cfg
}

func (m *merger) service(b *block) Service {
	var k serviceKeys
	b.decode(&k)
	if !b.bad && k.Queue > k.Timeout {
		at, key := b.where("queue", "timeout")
		m.fail(at, b.title.String(), key, fmt.Sprintf("queue of %s is longer than timeout of %s", k.Queue, k.Timeout))
	}
	return Service{
		Name:         b.title.name,
		Timeout:      k.Timeout,
		Queue:        k.Queue,
		RetryPercent: k.Retry,
		Probes:       k.Probes,
		EjectPercent: k.Eject,
		Subset:       k.Subset,
		KeyTTL:       k.KeyTTL,
	}
}

func (m *merger) route(b *block) Route {
	var k routeKeys
	b.decode(&k)
	r := Route{Method: b.title.method, Path: b.title.path, Keyed: k.Keyed}
	r.Idempotent = k.Idempotent == "true" || k.Idempotent == "auto" && !k.Keyed && idempotentMethod(r.Method)
	if r.Keyed && r.Idempotent {
		at, key := b.where("idempotent", "keyed")
		m.fail(at, b.title.String(), key, "a keyed route cannot be idempotent")
	}
	return r
}

func (m *merger) domain(b *block) Domain {
	var k domainKeys
	b.decode(&k)
	if k.Region == "" && !b.bad {
		at, _ := b.where("region")
		m.fail(at, b.title.String(), "region", "required key is missing")
	}
	d := Domain{Name: b.title.name, Region: k.Region}
	if k.State == DomainOut.String() {
		d.State = DomainOut
	}
	return d
}

// checkServices reports routes without a service and services without a route.
func (m *merger) checkServices(cfg *Config, routes map[string][]Route) {
	var names []string
	for _, s := range cfg.Services {
		names = append(names, s.Name)
	}
	for _, b := range m.order {
		name := b.title.name
		switch {
		case b.title.kind == kindRoute && !slices.Contains(names, name):
			m.fail(b.base, b.title.String(), "", fmt.Sprintf("service %q does not exist%s", name, settings.Suggest(name, names)))
		case b.title.kind == kindService && len(routes[name]) == 0:
			m.fail(b.base, b.title.String(), "", "service has no route")
		}
	}
	if len(names) == 0 && len(m.problems) == 0 {
		m.fail(place{file: m.file, line: 1}, "", "", "the base file declares no service")
	}
}

// idempotentMethod follows RFC 9110, section 9.2.2.
func idempotentMethod(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "PUT", "DELETE":
		return true
	default:
		return false
	}
}
