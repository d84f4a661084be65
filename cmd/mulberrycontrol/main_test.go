package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/mulberrylink/mulberrylink/internal/testaddr"
	"github.com/mulberrylink/mulberrylink/protocol/controlplane"
	"github.com/mulberrylink/mulberrylink/state/codec"
	"github.com/mulberrylink/mulberrylink/state/overlay"
	"github.com/mulberrylink/mulberrylink/transport/rpc"
)

const (
	// maxElectionTimeout is the maximum election timeout of the replicated log.
	maxElectionTimeout = time.Second
	// newLeaderTarget is the target for the time until a new leader accepts a change.
	newLeaderTarget = 1500 * time.Millisecond
	restartTarget   = 2 * time.Second
	waitTimeout     = 10 * time.Second
)

// long runs each measurement with the number of repetitions that its target is stated for.
var long = flag.Bool("long", false, "run measurements with all repetitions")

// binDir is the directory of the mulberryctl binary under test.
var binDir string

// runAsHostEnv is the environment variable that makes the test binary run as mulberrycontrol. The test
// cache doesn't track a separately built binary, so that a change of the program could go untested.
const runAsHostEnv = "MULBERRYCONTROL_TEST_PROCESS"

func TestMain(m *testing.M) {
	if os.Getenv(runAsHostEnv) != "" {
		main()
		return
	}
	flag.Parse()
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "mulberrycontrol-test")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	out, err := exec.Command("go", "build", "-C", "../mulberryctl", "-o", filepath.Join(dir, "mulberryctl"), ".").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build mulberryctl: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is one control host. It listens on addr. The other hosts use the address advertised, which
// may be that of a relay.
type process struct {
	t                             *testing.T
	name, addr, advertised, admin string
	dataDir, settingsPath         string
	cmd                           *exec.Cmd
	exited                        chan struct{}
}

type cluster struct {
	t     *testing.T
	pool  *rpc.Pool
	hosts []*process
}

// hostEnv returns the environment of a control host process. It disables the pause of one second that
// the race detector makes before the process exits.
func hostEnv() []string {
	return append(os.Environ(), runAsHostEnv+"=1", "GORACE=atexit_sleep_ms=0")
}

// newCluster formats and starts three hosts. advertise returns the address that the other hosts use
// for a host; if it is nil, they use the address that the host listens on.
func newCluster(t *testing.T, advertise func(p *process) string) *cluster {
	t.Helper()
	c := &cluster{t: t, pool: rpc.NewPool(rpc.PoolConfig{DialTimeout: linkDialTimeout, IdlePerAddr: 4})}
	t.Cleanup(c.pool.Close)
	root := t.TempDir()
	var members []string
	for i := 1; i <= 3; i++ {
		p := &process{t: t, name: fmt.Sprintf("c%d", i), addr: testaddr.Free(t), admin: testaddr.Free(t)}
		p.dataDir, p.settingsPath, p.advertised = filepath.Join(root, p.name), filepath.Join(root, p.name+".ini"), p.addr
		if advertise != nil {
			p.advertised = advertise(p)
		}
		members = append(members, p.name+"@"+p.advertised)
		c.hosts = append(c.hosts, p)
	}
	for _, p := range c.hosts {
		text := fmt.Sprintf("[control]\nname = %s\ndomain = d1\ndata = %s\nmembers = %s\n[listen]\nrpc = %s\nadmin = %s\n[log]\nlevel = info\n",
			p.name, p.dataDir, strings.Join(members, ", "), p.addr, p.admin)
		if err := os.WriteFile(p.settingsPath, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		if out, err := runTool("mulberrycontrol", "init", "--config", p.settingsPath); err != nil {
			t.Fatalf("init %s: %v %s", p.name, err, out)
		}
	}
	for _, p := range c.hosts {
		p.start()
	}
	return c
}

// runTool runs mulberryctl or mulberrycontrol until it exits and returns its output.
func runTool(name string, args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*waitTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(binDir, name), args...)
	if name == "mulberrycontrol" {
		cmd = exec.CommandContext(ctx, os.Args[0], args...)
		cmd.Env = hostEnv()
	}
	out, err := cmd.CombinedOutput()
	return string(out), err
}

func (p *process) start() {
	p.t.Helper()
	logFile, err := os.OpenFile(p.settingsPath+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		p.t.Fatal(err)
	}
	defer logFile.Close()
	cmd, exited := exec.Command(os.Args[0], "run", "--config", p.settingsPath), make(chan struct{})
	cmd.Env = hostEnv()
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	go func() { _ = cmd.Wait(); close(exited) }()
	p.cmd, p.exited = cmd, exited
	p.t.Cleanup(func() { _ = cmd.Process.Kill(); <-exited })
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatalf("signal %s: %v", p.name, err)
	}
}

func (p *process) kill() {
	p.t.Helper()
	p.signal(syscall.SIGKILL)
	<-p.exited
}

func (p *process) wipe() {
	p.t.Helper()
	if err := os.RemoveAll(p.dataDir); err != nil {
		p.t.Fatal(err)
	}
}

// client returns a client of the given hosts, or of all hosts if none is given.
func (c *cluster) client(hosts ...*process) *controlplane.Client {
	if hosts == nil {
		hosts = c.hosts
	}
	var addrs []string
	for _, p := range hosts {
		addrs = append(addrs, p.addr)
	}
	return controlplane.NewClient(c.pool, addrs)
}

// others returns all hosts except p.
func (c *cluster) others(p *process) []*process {
	var others []*process
	for _, o := range c.hosts {
		if o != p {
			others = append(others, o)
		}
	}
	return others
}

// leader waits until one of hosts, or of all hosts if none is given, responds as the leader.
func (c *cluster) leader(hosts ...*process) *process {
	c.t.Helper()
	if hosts == nil {
		hosts = c.hosts
	}
	var found *process
	waitUntil(c.t, "a leader", func() bool {
		for _, p := range hosts {
			if st, err := p.status(); err == nil && st.Self {
				found = p
				return true
			}
		}
		return false
	})
	return found
}

func waitUntil(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timeout: %s", condition)
		}
	}
}

// rawStatus and rawConfirmed are the responses of one host. They are read without
// controlplane.Client, which would follow the redirect to the leader.
type rawStatus struct {
	Status  controlplane.Status `cbor:"z"`
	Leader  string              `cbor:"y"`
	Self    bool                `cbor:"s"`
	Version uint64              `cbor:"v"`
	ID      uint64              `cbor:"i"`
	Blank   bool                `cbor:"b"`
}

type rawConfirmed struct {
	Status  controlplane.Status `cbor:"z"`
	Version uint64              `cbor:"v"`
}

// invoke calls a method on this host only, over a new connection.
func (p *process) invoke(method string, timeout time.Duration, in, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	pool := rpc.NewPool(rpc.PoolConfig{DialTimeout: timeout})
	defer pool.Close()
	conn, err := pool.Dial(ctx, p.addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	return conn.Invoke(ctx, method, codec.Encoding{}, in, out)
}

func (p *process) status() (rawStatus, error) {
	var out rawStatus
	err := p.invoke("control/status", 500*time.Millisecond, &struct{}{}, &out)
	return out, err
}

// newChange returns a valid change whose files differ for each identifier.
func newChange(id string, baseVersion uint64) controlplane.Change {
	text := fmt.Sprintf("; %s\n[service registry]\ntimeout = %dms\n\n[route registry GET /grades]\n\n[domain d1]\nregion = delta\n", id, 1000+baseVersion%1000)
	return controlplane.Change{ID: id, BaseVersion: baseVersion, Base: overlay.File{Name: "base.ini", Data: []byte(text)}}
}

// applyUntilDecided sends a change until it is accepted or conflicts, for at most waitTimeout.
func applyUntilDecided(c *controlplane.Client, change controlplane.Change) (controlplane.ApplyReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for ctx.Err() == nil {
		reply := c.Apply(ctx, change)
		switch reply.State {
		case controlplane.ApplyAccepted, controlplane.ApplyConflict:
			return reply, nil
		case controlplane.ApplyInvalid:
			return reply, fmt.Errorf("change %s: %v", change.ID, reply.Problems)
		case controlplane.ApplyUnavailable, controlplane.ApplyIndeterminate: // sent again
		}
	}
	return controlplane.ApplyReply{}, fmt.Errorf("change %s was not decided", change.ID)
}

// applyMany makes n consecutive changes, the first with the given base version, and returns the last
// accepted version.
func (c *cluster) applyMany(client *controlplane.Client, prefix string, version uint64, n int) uint64 {
	c.t.Helper()
	for i := range n {
		reply, err := applyUntilDecided(client, newChange(fmt.Sprintf("%s-%d", prefix, i), version))
		if err != nil || reply.State != controlplane.ApplyAccepted {
			c.t.Fatalf("%s-%d from %d: %v %+v", prefix, i, version, err, reply)
		}
		version = reply.Version
	}
	return version
}

// confirmedVersion returns the version that a quorum confirms, or 0 if none is confirmed in time.
func confirmedVersion(client *controlplane.Client) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	v, _, err := client.ConfirmedConfig(ctx)
	if err != nil {
		return 0
	}
	return v
}
