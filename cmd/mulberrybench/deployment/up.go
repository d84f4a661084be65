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

// Bounds of a start and a stop on a loaded machine.
const (
	readyTimeout = 30 * time.Second
	termTimeout  = 20 * time.Second
	killTimeout  = 5 * time.Second
	pollEvery    = 20 * time.Millisecond
)

// Options say what to start and where.
type Options struct {
	// Bin is the directory of the programs.
	Bin string
	// Config is the directory of one site.
	Config string
	// Run is the directory for everything the run writes.
	Run string
	// PortOffset is added to every port, so that two runs do not collide.
	PortOffset int
	// Policy replaces the selection policy of the nodes when it is not empty.
	Policy string
	// EditSettings changes the settings of a process, already with the ports of this
	// run, before it starts; nil changes nothing.
	EditSettings func(name string, f *ini.File) error
}

// Deployment is a deployment that this process started.
type Deployment struct {
	Options
	Instances []Instance
	// ConfigVersion is the active configuration version after the start.
	ConfigVersion uint64

	mu     sync.Mutex
	exited map[int]bool // process ids
}

// Up starts a deployment and returns when it is ready. After an error nothing
// it started is left running.
func Up(ctx context.Context, o Options) (*Deployment, error) {
	old, err := ReadProcesses(o.Run)
	if err != nil {
		return nil, err
	}
	for _, p := range old {
		if p.Alive(o.Run) {
			return nil, errors.Newf("%s (pid %d) of an earlier start still runs; stop it with: mulberrybench down --run %s", p.Name, p.PID, o.Run)
		}
	}
	for _, dir := range []string{"settings", "log", "journal", "data"} {
		if err := os.MkdirAll(filepath.Join(o.Run, dir), 0o755); err != nil {
			return nil, errors.Wrap(err, "create run directory")
		}
	}
	units, err := prepare(o)
	if err != nil {
		return nil, err
	}
	d := &Deployment{Options: o, Instances: units, exited: make(map[int]bool)}
	if err := d.start(ctx); err != nil {
		return nil, errors.Join(err, Down(context.WithoutCancel(ctx), o.Run))
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	// A control host refuses to be initialised once the others have a leader.
	for i := range d.Instances {
		if err := d.initialize(ctx, d.Instances[i]); err != nil {
			return err
		}
	}
	for i := range d.Instances {
		if err := d.launch(&d.Instances[i]); err != nil {
			return err
		}
		if err := d.save(); err != nil {
			return err
		}
	}
	if err := d.waitReady(ctx, KindControl); err != nil {
		return err
	}
	if err := d.applyFirst(ctx); err != nil {
		return err
	}
	if err := d.waitReady(ctx, KindNode, KindUpstream); err != nil {
		return err
	}
	_, err := d.WaitConfigVersion(ctx, d.ConfigVersion)
	return err
}

// initialize creates the data directory of a control host once.
func (d *Deployment) initialize(ctx context.Context, u Instance) error {
	if u.Kind != KindControl {
		return nil
	}
	if entries, err := os.ReadDir(u.DataDir); err == nil && len(entries) > 0 {
		return nil
	}
	path, err := settingsPath(d.Run, u.Name)
	if err != nil {
		return err
	}
	out, err := exec.CommandContext(ctx, filepath.Join(d.Bin, "mulberrycontrol"), "init", "--config", path).CombinedOutput()
	return errors.Wrapf(err, "initialize %s: %s", u.Name, out)
}

// launch starts the process of u in a session of its own.
func (d *Deployment) launch(u *Instance) error {
	path, err := settingsPath(d.Run, u.Name)
	if err != nil {
		return err
	}
	args := []string{"run", "--config", path}
	program := "mulberry" + u.Kind
	if u.Kind == KindUpstream {
		program, args = "mulberrybench", []string{"upstream", "--config", path}
	}
	file, err := os.OpenFile(filepath.Join(d.Run, "log", u.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer func() { _ = file.Close() }()
	cmd := exec.Command(filepath.Join(d.Bin, program), args...) //nolint:noctx // the process outlives this command
	cmd.Stdout, cmd.Stderr = file, file
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", u.Name)
	}
	u.PID = cmd.Process.Pid
	go d.reap(cmd)
	return nil
}

func (d *Deployment) reap(cmd *exec.Cmd) {
	_ = cmd.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.exited[cmd.Process.Pid] = true
}

func (d *Deployment) gone(pid int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.exited[pid]
}

func (d *Deployment) save() error {
	var all []Process
	for _, u := range d.Instances {
		if u.PID != 0 {
			all = append(all, u.Process)
		}
	}
	return writeProcesses(d.Run, all)
}

// Restart starts the named process again after it ended.
func (d *Deployment) Restart(name string) error {
	for i := range d.Instances {
		if d.Instances[i].Name != name {
			continue
		}
		if err := d.launch(&d.Instances[i]); err != nil {
			return err
		}
		return d.save()
	}
	return errors.Newf("no process %q", name)
}

// Kill ends the named process at once and returns when it is gone.
func (d *Deployment) Kill(ctx context.Context, name string) error {
	for _, u := range d.Instances {
		if u.Name != name {
			continue
		}
		if err := u.Signal(d.Run, syscall.SIGKILL); err != nil {
			return err
		}
		return poll(ctx, func() error {
			if d.gone(u.PID) {
				return nil
			}
			return errors.Newf("%s (pid %d) still runs", u.Name, u.PID)
		})
	}
	return errors.Newf("no process %q", name)
}

// OfKind returns the processes of one kind.
func (d *Deployment) OfKind(kind string) []Instance {
	var all []Instance
	for _, u := range d.Instances {
		if u.Kind == kind {
			all = append(all, u)
		}
	}
	return all
}

// FrontAddrs returns the addresses of the nodes that callers use.
func (d *Deployment) FrontAddrs() []string {
	var all []string
	for _, u := range d.OfKind(KindNode) {
		all = append(all, u.Addr)
	}
	return all
}

// poll calls check until it returns nil, and returns its last error when ctx
// ends first or the process has ended.
func poll(ctx context.Context, check func() error) error {
	for {
		err := check()
		if err == nil || errors.Is(err, errEnded) {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "gave up waiting")
		case <-time.After(pollEvery):
		}
	}
}
