package overlay

import (
	"reflect"
	"time"
)

// serviceKeys are the keys of a service section.
type serviceKeys struct {
	Timeout time.Duration `ini:"timeout" default:"2s" min:"1ms" max:"1h" unit:"duration" doc:"Time a request gets when its caller names none."`
	Queue   time.Duration `ini:"queue" default:"50ms" min:"0s" max:"10s" unit:"duration" doc:"Longest wait for a slot at the admitting node. It must not exceed timeout."`
	Retry   int           `ini:"retry" default:"10" min:"0" max:"100" unit:"percent" doc:"Retry budget as a share of first tries."`
	Probes  int           `ini:"probes" default:"10" min:"0" max:"1000" unit:"per second" doc:"Probes of one upstream that all measuring together may cost."`
	Eject   int           `ini:"eject" default:"40" min:"0" max:"90" unit:"percent" doc:"Largest share of upstreams ejected as outliers at a time."`
	Subset  int           `ini:"subset" default:"24" min:"2" max:"1400" unit:"nodes" doc:"Largest number of nodes that one entry node chooses among."`
	KeyTTL  time.Duration `ini:"keyttl" default:"24h" min:"1m" max:"168h" unit:"duration" doc:"How long a claim on an idempotency key is kept."`
}

// routeKeys are the keys of a route section.
type routeKeys struct {
	Idempotent string `ini:"idempotent" default:"auto" oneof:"auto,true,false" unit:"choice" doc:"Whether running a request twice does no harm. With auto, the HTTP method decides; a keyed route is never idempotent."`
	Keyed      bool   `ini:"keyed" default:"false" unit:"true or false" doc:"Whether a request needs an idempotency key to be retried and is claimed before dispatch."`
}

// domainKeys are the keys of a domain section. The region is not tagged as required, because the
// base file must set it but overlays need not; buildDomain checks the merged section.
type domainKeys struct {
	Region string `ini:"region" unit:"name" doc:"Region of the failure domain. The base file must set it."`
	State  string `ini:"state" default:"in" oneof:"in,out" unit:"choice" doc:"Whether the failure domain takes new work."`
}

// KeyInfo describes one configuration key.
type KeyInfo struct {
	// Section is the kind of section: service, route or domain.
	Section string
	Key     string
	Unit    string
	Default string
	// Min and Max are empty if the key has no limits.
	Min, Max string
	// Choices is a comma-separated list of the allowed values, empty if the values are not
	// restricted to such a list.
	Choices string
	Doc     string
}

// Keys returns all keys of the base file and the overlays: those of services, then those of routes
// and of domains.
func Keys() []KeyInfo {
	var all []KeyInfo
	for _, kind := range []sectionKind{kindService, kindRoute, kindDomain} {
		t := reflect.TypeOf(kind.newKeys()).Elem()
		for i := range t.NumField() {
			tag := t.Field(i).Tag
			all = append(all, KeyInfo{
				Section: kind.String(),
				Key:     tag.Get("ini"),
				Unit:    tag.Get("unit"),
				Default: tag.Get("default"),
				Min:     tag.Get("min"),
				Max:     tag.Get("max"),
				Choices: tag.Get("oneof"),
				Doc:     tag.Get("doc"),
			})
		}
	}
	return all
}
