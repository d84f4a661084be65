package overlay

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/state/settings"
)

//go:generate stringer -type=sectionKind -linecomment -output=section_string.go

// sectionKind is the first word of a section name.
type sectionKind uint8

const (
	kindService sectionKind = iota // service
	kindRoute                      // route
	kindDomain                     // domain
)

// maxNameBytes is the maximum length of a label in a host name: service names are sent in the Host
// header.
const maxNameBytes = 63

// methods are the HTTP methods that a route may have.
var methods = []string{"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"}

// newKeys returns a pointer to an empty struct for the keys of a section of this kind.
func (k sectionKind) newKeys() any {
	switch k {
	case kindService:
		return &serviceKeys{}
	case kindRoute:
		return &routeKeys{}
	default:
		return &domainKeys{}
	}
}

// sectionTitle is a parsed section name. Its method and path are empty except for a route.
type sectionTitle struct {
	kind   sectionKind
	name   string
	method string
	path   string
}

func (t sectionTitle) String() string {
	if t.kind == kindRoute {
		return strings.Join([]string{t.kind.String(), t.name, t.method, t.path}, " ")
	}
	return t.kind.String() + " " + t.name
}

// parseTitle parses a section name such as "route registry POST /filings".
func parseTitle(text string) (sectionTitle, error) {
	words := strings.Fields(text)
	if len(words) == 0 {
		return sectionTitle{}, errors.New("section name is empty")
	}
	kinds := []string{kindService.String(), kindRoute.String(), kindDomain.String()}
	i := slices.Index(kinds, words[0])
	if i < 0 {
		return sectionTitle{}, errors.Newf("unknown kind of section %q%s", words[0], settings.Suggest(words[0], kinds))
	}
	t := sectionTitle{kind: sectionKind(i)}
	if t.kind == kindRoute {
		return parseRoute(t, words)
	}
	if len(words) != 2 {
		return sectionTitle{}, errors.Newf("want [%s NAME]", t.kind)
	}
	t.name = words[1]
	return t, checkName(t.name)
}

func parseRoute(t sectionTitle, words []string) (sectionTitle, error) {
	if len(words) != 4 {
		return sectionTitle{}, errors.New("want [route SERVICE METHOD /path]")
	}
	t.name, t.method, t.path = words[1], words[2], words[3]
	if !slices.Contains(methods, t.method) {
		return sectionTitle{}, errors.Newf("unknown method %q%s", t.method, settings.Suggest(t.method, methods))
	}
	if !strings.HasPrefix(t.path, "/") || strings.ContainsAny(t.path, "?#%") {
		return sectionTitle{}, errors.Newf("path %q must begin with / and hold no query, fragment or escape", t.path)
	}
	return t, checkName(t.name)
}

func checkName(name string) error {
	if len(name) > maxNameBytes {
		return errors.Newf("name %q is longer than %d bytes", name, maxNameBytes)
	}
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return errors.Newf("name %q may hold only a to z, 0 to 9 and -", name)
		}
	}
	return nil
}
