package deployment

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/journal"
)

// Kinds of processes, in the order in which they start.
const (
	KindControl  = "control"
	KindNode     = "node"
	KindUpstream = "upstream"
)

// Process is one line of run/processes.
type Process struct {
	Name   string
	Kind   string
	Domain string
	PID    int
	// Addr is the front of a node, the rpc address of a control host or the
	// address of an upstream.
	Addr string
}

// String returns the line without its end.
func (p Process) String() string {
	return fmt.Sprintf("name=%s kind=%s domain=%s pid=%d addr=%s", p.Name, p.Kind, p.Domain, p.PID, p.Addr)
}

// ParseProcess parses one line of run/processes.
func ParseProcess(line string) (Process, error) {
	v, err := journal.ParseFields(line)
	if err != nil {
		return Process{}, err
	}
	p := Process{Name: v["name"], Kind: v["kind"], Domain: v["domain"], Addr: v["addr"]}
	if p.Name == "" || p.Kind == "" || len(v) != 5 {
		return p, errors.Newf("%q is not of the form name= kind= domain= pid= addr=", line)
	}
	p.PID, err = strconv.Atoi(v["pid"])
	if err != nil || p.PID < 2 {
		return p, errors.Newf("pid %q is not a process id", v["pid"])
	}
	return p, nil
}

// ReadProcesses reads run/processes. A missing file lists no process.
func ReadProcesses(run string) ([]Process, error) {
	path := filepath.Join(run, "processes")
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read processes")
	}
	var all []Process
	for i, line := range strings.Split(strings.TrimSpace(string(data)), "\n") {
		if line == "" {
			continue
		}
		p, err := ParseProcess(line)
		if err != nil {
			return nil, errors.Wrapf(err, "%s:%d", path, i+1)
		}
		all = append(all, p)
	}
	return all, nil
}

// writeProcesses replaces run/processes in one step, so that a reader never
// sees half of it.
func writeProcesses(run string, all []Process) error {
	var b strings.Builder
	for _, p := range all {
		b.WriteString(p.String() + "\n")
	}
	path := filepath.Join(run, "processes")
	if err := os.WriteFile(path+".new", []byte(b.String()), 0o644); err != nil {
		return errors.Wrap(err, "write processes")
	}
	return errors.Wrap(os.Rename(path+".new", path), "write processes")
}

// Alive reports whether p is still the process that was started for the run
// directory. The command line must name its settings file, so that a process
// that got the same id later is never mistaken for it.
func (p Process) Alive(run string) bool {
	path, err := settingsPath(run, p.Name)
	if err != nil {
		return false
	}
	// The command line of a process that ended but was not waited for is empty.
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/cmdline", p.PID))
	if err != nil {
		return false
	}
	for arg := range bytes.SplitSeq(data, []byte{0}) {
		if string(arg) == path {
			return true
		}
	}
	return false
}

// Signal sends sig to the process if it is still the one that was started.
func (p Process) Signal(run string, sig syscall.Signal) error {
	if !p.Alive(run) {
		return errors.Newf("process %s (pid %d) is gone", p.Name, p.PID)
	}
	return errors.Wrapf(syscall.Kill(p.PID, sig), "signal %s", p.Name)
}

// settingsPath returns the absolute path of the settings file of a process.
func settingsPath(run, name string) (string, error) {
	abs, err := filepath.Abs(filepath.Join(run, "settings", name+".ini"))
	return abs, errors.Wrap(err, "settings path")
}

// Service returns the service of an upstream, which its name holds as in
// upstream-registry-1.
func (p Process) Service() string {
	name := strings.TrimPrefix(p.Name, p.Kind+"-")
	if i := strings.LastIndex(name, "-"); i > 0 {
		return name[:i]
	}
	return name
}
