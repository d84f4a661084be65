package deployment

import (
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/state/settings"
)

// Spec is the content of deployment.ini. ControlHosts is the number of control hosts; FirstPort is
// the lowest port of the deployment. Distribution and Sigma describe the service times of all
// upstreams.
type Spec struct {
	Site         string   `ini:"site" required:"true"`
	Domains      []string `ini:"domains" required:"true"`
	ControlHosts int      `ini:"control" default:"3" min:"1" max:"7"`
	FirstPort    int      `ini:"port" required:"true" min:"1024" max:"32268"`
	Distribution string   `ini:"distribution" default:"lognormal" oneof:"constant,exponential,lognormal"`
	Sigma        float64  `ini:"sigma" default:"0.5" min:"0" max:"3"`
	Services     []ServiceSpec
}

// ServiceSpec describes the upstreams of one service: how many there are, how many requests one of
// them runs at a time (Slots), how many connections it accepts, and its mean service time.
type ServiceSpec struct {
	Name            string
	Upstreams       int           `ini:"upstreams" required:"true" min:"1" max:"99"`
	Slots           int           `ini:"slots" required:"true" min:"1"`
	Connections     int           `ini:"connections" default:"200" min:"1"`
	MeanServiceTime time.Duration `ini:"mean" required:"true" min:"1ms"`
}

// Capacity returns the requests per second that all upstreams of the service together can serve.
func (s ServiceSpec) Capacity() float64 {
	return float64(s.Upstreams*s.Slots) / s.MeanServiceTime.Seconds()
}

// Capacity returns the requests per second that all upstreams together can serve, in total and by
// service.
func (s Spec) Capacity() (total float64, byService map[string]float64) {
	byService = make(map[string]float64)
	for _, svc := range s.Services {
		byService[svc.Name] = svc.Capacity()
		total += svc.Capacity()
	}
	return total, byService
}

// OutDomain returns the second failure domain, which demo and compare take out of service.
func (s Spec) OutDomain() string { return s.domainAt(1) }

// ReadSpec reads deployment.ini in dir and returns all problems of the file joined into one error.
func ReadSpec(dir string) (Spec, error) {
	var spec Spec
	f, err := settings.Read(filepath.Join(dir, "deployment.ini"))
	if err != nil {
		return spec, err
	}
	var problems []error
	for _, s := range f.Sections {
		kind, name, _ := strings.Cut(s.Name, " ")
		switch {
		case s.Name == "deployment":
			problems = append(problems, settings.DecodeSection(f.Name, s, &spec)...)
		case kind == "service" && name != "":
			svc := ServiceSpec{Name: name}
			problems = append(problems, settings.DecodeSection(f.Name, s, &svc)...)
			spec.Services = append(spec.Services, svc)
		default:
			problems = append(problems, &settings.KeyError{
				File: f.Name, Line: s.Line, Section: s.Name, Text: "unknown section, expected deployment or service NAME",
			})
		}
	}
	if len(spec.Services) == 0 {
		problems = append(problems, &settings.KeyError{File: f.Name, Text: "no section service NAME"})
	}
	return spec, errors.Join(problems...)
}
