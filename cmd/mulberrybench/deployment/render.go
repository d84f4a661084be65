package deployment

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

// Offsets of the port ranges of a deployment from Spec.FirstPort.
const (
	controlRPCPortOffset   = 0
	controlAdminPortOffset = 10
	nodeFrontPortOffset    = 100
	nodeRPCPortOffset      = 200
	nodeAdminPortOffset    = 300
	upstreamPortOffset     = 400
)

// seedCount is the number of other nodes that a node contacts to join the group of nodes.
const seedCount = 3

// RenderSettings returns the content of the settings file of each process, by process name.
func RenderSettings(spec Spec) map[string]string {
	files := make(map[string]string)
	for i := range spec.ControlHosts {
		files[fmt.Sprintf("control-%d", i+1)] = renderControl(spec, i)
	}
	i := 0
	for _, svc := range spec.Services {
		for k := range svc.Upstreams {
			name := fmt.Sprintf("%s-%d", svc.Name, k+1)
			files["node-"+name] = renderNode(spec, name, i)
			files["upstream-"+name] = renderUpstream(spec, svc, name, i)
			i++
		}
	}
	return files
}

// WriteSettings reads deployment.ini in dir and writes the settings file of each process to the
// subdirectory processes.
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

// domainAt returns the failure domain of the process with index i; the domains are assigned round
// robin.
func (s Spec) domainAt(i int) string { return s.Domains[i%len(s.Domains)] }

func (s Spec) upstreamCount() int {
	n := 0
	for _, svc := range s.Services {
		n += svc.Upstreams
	}
	return n
}

func renderControl(spec Spec, i int) string {
	members := make([]string, spec.ControlHosts)
	for m := range members {
		members[m] = fmt.Sprintf("control-%d@%s", m+1, spec.addr(controlRPCPortOffset, m))
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
`, i+1, spec.domainAt(i), i+1, strings.Join(members, ", "),
		spec.addr(controlRPCPortOffset, i), spec.addr(controlAdminPortOffset, i))
}

func renderNode(spec Spec, name string, i int) string {
	var hosts, seeds []string
	for m := range spec.ControlHosts {
		hosts = append(hosts, spec.addr(controlRPCPortOffset, m))
	}
	for m := range min(seedCount+1, spec.upstreamCount()) {
		if m != i && len(seeds) < seedCount {
			seeds = append(seeds, spec.addr(nodeRPCPortOffset, m))
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
`, name, spec.domainAt(i), spec.addr(nodeFrontPortOffset, i), spec.addr(nodeRPCPortOffset, i),
		spec.addr(nodeAdminPortOffset, i), strings.Join(hosts, ", "), strings.Join(seeds, ", "))
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
`, name, svc.Name, spec.domainAt(i), svc.Slots, svc.Connections,
		spec.addr(upstreamPortOffset, i), spec.addr(nodeAdminPortOffset, i), spec.addr(nodeFrontPortOffset, i),
		spec.Distribution, svc.MeanServiceTime, spec.Sigma, i+1, name)
}
