package deployment

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// Timeouts of a start and a stop, which leave room for a loaded machine, and the interval of the
// checks in between.
const (
	readyTimeout     = 30 * time.Second
	terminateTimeout = 20 * time.Second
	killTimeout      = 5 * time.Second
	pollInterval     = 20 * time.Millisecond
)

// Options selects the programs, the site and the run directory of a deployment.
type Options struct {
	// Bin is the directory that holds the programs.
	Bin string
	// Config is the configuration directory of one site.
	Config string
	// Run is the directory of all files that the run writes.
	Run string
	// PortOffset is added to every port, so that two deployments don't listen on the same ports.
	PortOffset int
	// Policy replaces the selection policy of the nodes when it is not empty.
	Policy string
	// EditSettings changes the settings of a process before it starts. The settings already have the
	// ports of this run. If it is nil, nothing is changed.
	EditSettings func(name string, f *ini.File) error
}

// Deployment is a deployment that this process started.
type Deployment struct {
	Options
	Instances []Instance
	// ConfigVersion is the configuration version that is active after the start. Callers that apply
	// a change update it.
	ConfigVersion uint64

	mu     sync.Mutex
	exited map[int]bool // by process id
}

// Up starts a deployment and returns when it is ready. On an error it stops everything that it
// started.
func Up(ctx context.Context, o Options) (*Deployment, error) {
	previous, err := ReadProcesses(o.Run)
	if err != nil {
		return nil, err
	}
	for _, p := range previous {
		if p.Alive(o.Run) {
			return nil, errors.Newf("%s (pid %d) of an earlier start is still running; stop it with: mulberrybench down --run %s", p.Name, p.PID, o.Run)
		}
	}
	for _, dir := range []string{"settings", "log", "journal", "data"} {
		if err := os.MkdirAll(filepath.Join(o.Run, dir), 0o755); err != nil {
			return nil, errors.Wrap(err, "create run directory")
		}
	}
	instances, err := prepareSettings(o)
	if err != nil {
		return nil, err
	}
	d := &Deployment{Options: o, Instances: instances, exited: make(map[int]bool)}
	if err := d.start(ctx); err != nil {
		return nil, errors.Join(err, Down(context.WithoutCancel(ctx), o.Run))
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	// Initialize all control hosts before any of them starts: a control host refuses to be
	// initialized once the others have a leader.
	for i := range d.Instances {
		if err := d.initControlHost(ctx, d.Instances[i]); err != nil {
			return err
		}
	}
	for i := range d.Instances {
		if err := d.launch(&d.Instances[i]); err != nil {
			return err
		}
		if err := d.saveProcesses(); err != nil {
			return err
		}
	}
	if err := d.waitReady(ctx, KindControl); err != nil {
		return err
	}
	if err := d.applyInitial(ctx); err != nil {
		return err
	}
	if err := d.waitReady(ctx, KindNode, KindUpstream); err != nil {
		return err
	}
	_, err := d.WaitConfigVersion(ctx, d.ConfigVersion)
	return err
}

// initControlHost runs mulberrycontrol init for a control host whose data directory is empty or
// missing.
func (d *Deployment) initControlHost(ctx context.Context, inst Instance) error {
	if inst.Kind != KindControl {
		return nil
	}
	if entries, err := os.ReadDir(inst.DataDir); err == nil && len(entries) > 0 {
		return nil
	}
	path, err := settingsPath(d.Run, inst.Name)
	if err != nil {
		return err
	}
	out, err := exec.CommandContext(ctx, filepath.Join(d.Bin, "mulberrycontrol"), "init", "--config", path).CombinedOutput()
	return errors.Wrapf(err, "initialize %s: %s", inst.Name, out)
}

// launch starts a process in a session of its own, so that signals to the terminal of this command
// don't reach it, and sends its output to run/log.
func (d *Deployment) launch(inst *Instance) error {
	path, err := settingsPath(d.Run, inst.Name)
	if err != nil {
		return err
	}
	args := []string{"run", "--config", path}
	program := "mulberry" + inst.Kind
	if inst.Kind == KindUpstream {
		program, args = "mulberrybench", []string{"upstream", "--config", path}
	}
	logFile, err := os.OpenFile(filepath.Join(d.Run, "log", inst.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "open log file")
	}
	defer func() { _ = logFile.Close() }()
	cmd := exec.Command(filepath.Join(d.Bin, program), args...) //nolint:noctx // the process outlives this command
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", inst.Name)
	}
	inst.PID = cmd.Process.Pid
	go d.reap(cmd)
	return nil
}

// reap waits for the process, so that it doesn't remain a zombie, and records that it has exited.
func (d *Deployment) reap(cmd *exec.Cmd) {
	_ = cmd.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.exited[cmd.Process.Pid] = true
}

func (d *Deployment) hasExited(pid int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.exited[pid]
}

// saveProcesses writes the processes that have been started to run/processes.
func (d *Deployment) saveProcesses() error {
	var started []Process
	for _, inst := range d.Instances {
		if inst.PID != 0 {
			started = append(started, inst.Process)
		}
	}
	return writeProcesses(d.Run, started)
}

// Restart starts the named process again after it has exited.
func (d *Deployment) Restart(name string) error {
	for i := range d.Instances {
		if d.Instances[i].Name != name {
			continue
		}
		if err := d.launch(&d.Instances[i]); err != nil {
			return err
		}
		return d.saveProcesses()
	}
	return errors.Newf("no process %q", name)
}

// Kill sends SIGKILL to the named process and returns when it has exited.
func (d *Deployment) Kill(ctx context.Context, name string) error {
	for _, inst := range d.Instances {
		if inst.Name != name {
			continue
		}
		if err := inst.Signal(d.Run, syscall.SIGKILL); err != nil {
			return err
		}
		return poll(ctx, func() error {
			if d.hasExited(inst.PID) {
				return nil
			}
			return errors.Newf("%s (pid %d) is still running", inst.Name, inst.PID)
		})
	}
	return errors.Newf("no process %q", name)
}

// OfKind returns the processes of one kind.
func (d *Deployment) OfKind(kind string) []Instance {
	var all []Instance
	for _, inst := range d.Instances {
		if inst.Kind == kind {
			all = append(all, inst)
		}
	}
	return all
}

// FrontAddrs returns the front addresses of all nodes, to which callers send their requests.
func (d *Deployment) FrontAddrs() []string {
	var addrs []string
	for _, node := range d.OfKind(KindNode) {
		addrs = append(addrs, node.Addr)
	}
	return addrs
}

// poll calls check at intervals of pollInterval until it returns nil. It returns the last error of
// check when ctx ends first, and at once when the error is errExited.
func poll(ctx context.Context, check func() error) error {
	for {
		err := check()
		if err == nil || errors.Is(err, errExited) {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "stopped waiting")
		case <-time.After(pollInterval):
		}
	}
}
