package overlay

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/mulberrylink/mulberrylink/state/settings"
)

// build makes the configuration from the merged sections and checks the rules that span several
// keys or sections.
func (m *merger) build() *Config {
	cfg := &Config{}
	routes := make(map[string][]Route)
	for _, sec := range m.ordered {
		switch sec.title.kind {
		case kindService:
			cfg.Services = append(cfg.Services, m.buildService(sec))
		case kindRoute:
			routes[sec.title.name] = append(routes[sec.title.name], m.buildRoute(sec))
		case kindDomain:
			cfg.Domains = append(cfg.Domains, m.buildDomain(sec))
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

// buildService decodes a service section and checks that the queue time fits the timeout.
func (m *merger) buildService(sec *mergedSection) Service {
	var keys serviceKeys
	sec.decode(&keys)
	if !sec.invalid && keys.Queue > keys.Timeout {
		loc, key := sec.locate("queue", "timeout")
		m.report(loc, sec.title.String(), key, fmt.Sprintf("queue of %s is longer than timeout of %s", keys.Queue, keys.Timeout))
	}
	return Service{
		Name:         sec.title.name,
		Timeout:      keys.Timeout,
		Queue:        keys.Queue,
		RetryPercent: keys.Retry,
		Probes:       keys.Probes,
		EjectPercent: keys.Eject,
		Subset:       keys.Subset,
		KeyTTL:       keys.KeyTTL,
	}
}

// buildRoute decodes a route section, resolves idempotent=auto and checks that the route is not both
// keyed and idempotent.
func (m *merger) buildRoute(sec *mergedSection) Route {
	var keys routeKeys
	sec.decode(&keys)
	r := Route{Method: sec.title.method, Path: sec.title.path, Keyed: keys.Keyed}
	r.Idempotent = keys.Idempotent == "true" || keys.Idempotent == "auto" && !keys.Keyed && idempotentMethod(r.Method)
	if r.Keyed && r.Idempotent {
		loc, key := sec.locate("idempotent", "keyed")
		m.report(loc, sec.title.String(), key, "a keyed route cannot be idempotent")
	}
	return r
}

// buildDomain decodes a domain section and checks that the region is set.
func (m *merger) buildDomain(sec *mergedSection) Domain {
	var keys domainKeys
	sec.decode(&keys)
	if keys.Region == "" && !sec.invalid {
		loc, _ := sec.locate("region")
		m.report(loc, sec.title.String(), "region", "required key is missing")
	}
	d := Domain{Name: sec.title.name, Region: keys.Region}
	if keys.State == DomainOut.String() {
		d.State = DomainOut
	}
	return d
}

// checkServices reports routes of services that do not exist, services without a route, and a
// configuration without a service.
func (m *merger) checkServices(cfg *Config, routes map[string][]Route) {
	var names []string
	for _, s := range cfg.Services {
		names = append(names, s.Name)
	}
	for _, sec := range m.ordered {
		name := sec.title.name
		switch {
		case sec.title.kind == kindRoute && !slices.Contains(names, name):
			m.report(sec.declared, sec.title.String(), "", fmt.Sprintf("service %q does not exist%s", name, settings.Suggest(name, names)))
		case sec.title.kind == kindService && len(routes[name]) == 0:
			m.report(sec.declared, sec.title.String(), "", "service has no route")
		}
	}
	if len(names) == 0 && len(m.problems) == 0 {
		m.report(location{file: m.baseFile, line: 1}, "", "", "the base file declares no service")
	}
}

// idempotentMethod reports whether a method is idempotent by RFC 9110, section 9.2.2. TRACE is left
// out because routes do not accept it.
func idempotentMethod(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "PUT", "DELETE":
		return true
	default:
		return false
	}
}
