package deployment

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

// Offsets of the ports of a deployment from its first port.
const (
	portControlRPC   = 0
	portControlAdmin = 10
	portNodeFront    = 100
	portNodeRPC      = 200
	portNodeAdmin    = 300
	portUpstream     = 400
)

// seedCount is how many nodes a new node asks for the group.
const seedCount = 3

// RenderSettings returns the settings file of each process, by process name.
func RenderSettings(spec Spec) map[string]string {
	files := make(map[string]string)
	for i := range spec.ControlHosts {
		files[fmt.Sprintf("control-%d", i+1)] = renderControl(spec, i)
	}
	i := 0
	for _, svc := range spec.Services {
		for n := range svc.Upstreams {
			name := fmt.Sprintf("%s-%d", svc.Name, n+1)
			files["node-"+name] = renderNode(spec, name, i)
			files["upstream-"+name] = renderUpstream(spec, svc, name, i)
			i++
		}
	}
	return files
}

// WriteSettings renders the spec of the directory into its processes
// directory.
func WriteSettings(dir string) error {
	spec, err := ReadSpec(dir)
	if err != nil {
		return err
	}
	out := filepath.Join(dir, "processes")
	if err := os.MkdirAll(out, 0o755); err != nil {
		return errors.Wrap(err, "write settings")
	}
	for name, text := range RenderSettings(spec) {
		if err := os.WriteFile(filepath.Join(out, name+".ini"), []byte(text), 0o644); err != nil {
			return errors.Wrap(err, "write settings")
		}
	}
	return nil
}

func (s Spec) addr(offset, i int) string { return fmt.Sprintf("127.0.0.1:%d", s.FirstPort+offset+i) }

func (s Spec) domain(i int) string { return s.Domains[i%len(s.Domains)] }

func (s Spec) upstreams() int {
	n := 0
	for _, svc := range s.Services {
		n += svc.Upstreams
	}
	return n
}

func renderControl(spec Spec, i int) string {
	members := make([]string, spec.ControlHosts)
	for m := range members {
		members[m] = fmt.Sprintf("control-%d@%s", m+1, spec.addr(portControlRPC, m))
	}
	return fmt.Sprintf(`[control]
name = control-%d
domain = %s
data = run/data/control-%d
members = %s

[listen]
rpc = %s
admin = %s

[log]
level = info
`, i+1, spec.domain(i), i+1, strings.Join(members, ", "),
		spec.addr(portControlRPC, i), spec.addr(portControlAdmin, i))
}

func renderNode(spec Spec, name string, i int) string {
	var hosts, seeds []string
	for m := range spec.ControlHosts {
		hosts = append(hosts, spec.addr(portControlRPC, m))
	}
	for m := range min(seedCount+1, spec.upstreams()) {
		if m != i && len(seeds) < seedCount {
			seeds = append(seeds, spec.addr(portNodeRPC, m))
		}
	}
	return fmt.Sprintf(`[node]
name = node-%s
domain = %s

[listen]
front = %s
rpc = %s
admin = %s

[control]
hosts = %s

[peers]
seeds = %s

[measure]
policy = adaptive

[log]
level = info
`, name, spec.domain(i), spec.addr(portNodeFront, i), spec.addr(portNodeRPC, i),
		spec.addr(portNodeAdmin, i), strings.Join(hosts, ", "), strings.Join(seeds, ", "))
}

func renderUpstream(spec Spec, svc ServiceSpec, name string, i int) string {
	return fmt.Sprintf(`[upstream]
name = upstream-%s
service = %s
domain = %s
slots = %d
connections = %d

[listen]
http = %s

[node]
admin = %s
front = %s

[work]
distribution = %s
mean = %s
sigma = %g
seed = %d

[journal]
file = run/journal/upstream-%s.log

[log]
level = info
`, name, svc.Name, spec.domain(i), svc.Slots, svc.Connections,
		spec.addr(portUpstream, i), spec.addr(portNodeAdmin, i), spec.addr(portNodeFront, i),
		spec.Distribution, svc.MeanServiceTime, spec.Sigma, i+1, name)
}
