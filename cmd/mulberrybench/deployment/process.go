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

// Kinds of processes, in their starting order.
const (
	KindControl  = "control"
	KindNode     = "node"
	KindUpstream = "upstream"
)

// Process is a started process, as one line of run/processes describes it.
type Process struct {
	Name   string
	Kind   string
	Domain string
	PID    int
	// Addr is the front address of a node, the RPC address of a control host or the HTTP address of
	// an upstream.
	Addr string
}

// String returns the line of run/processes without its newline.
func (p Process) String() string {
	return fmt.Sprintf("name=%s kind=%s domain=%s pid=%d addr=%s", p.Name, p.Kind, p.Domain, p.PID, p.Addr)
}

// ParseProcess parses one line of run/processes.
func ParseProcess(line string) (Process, error) {
	fields, err := journal.ParseFields(line)
	if err != nil {
		return Process{}, err
	}
	p := Process{Name: fields["name"], Kind: fields["kind"], Domain: fields["domain"], Addr: fields["addr"]}
	if p.Name == "" || p.Kind == "" || len(fields) != 5 {
		return p, errors.Newf("%q is not of the form name= kind= domain= pid= addr=", line)
	}
	p.PID, err = strconv.Atoi(fields["pid"])
	if err != nil || p.PID < 2 {
		return p, errors.Newf("pid %q is not a process id", fields["pid"])
	}
	return p, nil
}

// ReadProcesses reads run/processes. It returns no processes if the file doesn't exist.
func ReadProcesses(run string) ([]Process, error) {
	path := filepath.Join(run, "processes")
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read processes file")
	}
	var processes []Process
	for i, line := range strings.Split(strings.TrimSpace(string(data)), "\n") {
		if line == "" {
			continue
		}
		p, err := ParseProcess(line)
		if err != nil {
			return nil, errors.Wrapf(err, "%s:%d", path, i+1)
		}
		processes = append(processes, p)
	}
	return processes, nil
}

// writeProcesses replaces run/processes atomically, so that a reader never sees a partial file.
func writeProcesses(run string, processes []Process) error {
	var b strings.Builder
	for _, p := range processes {
		b.WriteString(p.String() + "\n")
	}
	path := filepath.Join(run, "processes")
	if err := os.WriteFile(path+".new", []byte(b.String()), 0o644); err != nil {
		return errors.Wrap(err, "write processes file")
	}
	return errors.Wrap(os.Rename(path+".new", path), "replace processes file")
}

// Alive reports whether the process that was started for the run directory is still running. Its
// command line must contain the path of its settings file, so that another process that reuses the
// process id is never mistaken for it.
func (p Process) Alive(run string) bool {
	path, err := settingsPath(run, p.Name)
	if err != nil {
		return false
	}
	// The command line of a zombie, a process that has exited but was not waited for, is empty.
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

// Signal sends sig to the process. It returns an error if the process is no longer alive, see Alive.
func (p Process) Signal(run string, sig syscall.Signal) error {
	if !p.Alive(run) {
		return errors.Newf("process %s (pid %d) is no longer running", p.Name, p.PID)
	}
	return errors.Wrapf(syscall.Kill(p.PID, sig), "signal %s", p.Name)
}

// settingsPath returns the absolute path of the settings file of a process.
func settingsPath(run, name string) (string, error) {
	abs, err := filepath.Abs(filepath.Join(run, "settings", name+".ini"))
	return abs, errors.Wrap(err, "resolve settings path")
}

// Service returns the service part of the name of a node or an upstream: registry for
// upstream-registry-1.
func (p Process) Service() string {
	name := strings.TrimPrefix(p.Name, p.Kind+"-")
	if i := strings.LastIndex(name, "-"); i > 0 {
		return name[:i]
	}
	return name
}
