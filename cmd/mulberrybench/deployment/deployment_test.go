package deployment

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/upstream"
	"github.com/mulberrylink/mulberrylink/state/settings"
)

func TestParseProcess(t *testing.T) {
	is := is.New(t)
	line := "name=node-registry-1 kind=node domain=d1 pid=123 addr=127.0.0.1:9101"
	p, err := ParseProcess(line)
	is.NoErr(err)
	is.Equal(p.String(), line)
	is.Equal(p.Service(), "registry")
	for _, bad := range []string{
		"",
		"name=a kind=node domain=d1 pid=x addr=b",
		"name=a kind=node domain=d1 pid=1 addr=b", // process 1 is init and never part of a deployment
		"name=a kind=node domain=d1 pid=123",
		"name=a kind=node domain=d1 pid=123 addr=b more=c",
	} {
		_, err := ParseProcess(bad)
		is.True(err != nil)
	}
}

// signaled reports whether a process was terminated by a signal.
func signaled(err error) bool {
	var exit *exec.ExitError
	return errors.As(err, &exit) && exit.Sys().(syscall.WaitStatus).Signaled()
}

// Guards against sending a signal to another process that reuses the process id of a process in
// run/processes: only the command line tells the two apart.
func TestDownSparesReusedPID(t *testing.T) {
	is := is.New(t)
	run := t.TempDir()
	path, err := settingsPath(run, "node-a-1")
	is.NoErr(err)
	// read is a shell builtin: it blocks without a child process, and the shell keeps its command
	// line with the path.
	ours := exec.Command("sh", "-c", "read line", path)
	other := exec.Command("sh", "-c", "read line", path+".other")
	_, err = ours.StdinPipe()
	is.NoErr(err)
	otherIn, err := other.StdinPipe()
	is.NoErr(err)
	for _, c := range []*exec.Cmd{ours, other} {
		is.NoErr(c.Start())
		t.Cleanup(func() { c.Process.Kill(); c.Wait() })
	}
	is.NoErr(writeProcesses(run, []Process{
		{Name: "node-a-1", Kind: KindNode, Domain: "d1", PID: ours.Process.Pid, Addr: "x"},
		{Name: "node-a-2", Kind: KindNode, Domain: "d1", PID: other.Process.Pid, Addr: "x"},
	}))
	is.NoErr(Down(t.Context(), run))
	is.True(signaled(ours.Wait()))
	// At the end of its input, read fails with status 1, unless a signal terminated the shell before.
	is.NoErr(otherIn.Close())
	is.True(!signaled(other.Wait()))
	_, err = os.Stat(filepath.Join(run, "processes"))
	is.True(os.IsNotExist(err))
}

// Guards against checked-in settings files that no longer match deployment.ini.
func TestSettingsMatchSpec(t *testing.T) {
	for _, site := range []string{"association", "lanterns"} {
		t.Run(site, func(t *testing.T) {
			is := is.New(t)
			dir := filepath.Join("..", "..", "..", "config", site)
			spec, err := ReadSpec(dir)
			is.NoErr(err)
			files := RenderSettings(spec)
			existing, err := filepath.Glob(filepath.Join(dir, "processes", "*.ini"))
			is.NoErr(err)
			is.Equal(len(existing), len(files))
			for name, want := range files {
				got, err := os.ReadFile(filepath.Join(dir, "processes", name+".ini"))
				is.NoErr(err)
				is.Equal(string(got), want)
			}
		})
	}
}

// Guards against copied settings that an upstream rejects, and against two runs that share ports or
// directories.
func TestPrepareMovesPortsAndPaths(t *testing.T) {
	is := is.New(t)
	run := t.TempDir()
	is.NoErr(os.MkdirAll(filepath.Join(run, "settings"), 0o755))
	opts := Options{Config: filepath.Join("..", "..", "..", "config", "association"), Run: run, PortOffset: 2000, Policy: "random"}
	instances, err := prepareSettings(opts)
	is.NoErr(err)
	is.Equal(len(instances), 3+9+9)
	is.Equal(instances[0].Addr, "127.0.0.1:11001")
	is.Equal(instances[0].DataDir, filepath.Join(run, "data", "control-1"))
	f, err := settings.Read(filepath.Join(run, "settings", "node-registry-1.ini"))
	is.NoErr(err)
	s, _ := f.Section("measure")
	is.Equal(s.Keys[0].Value, "random")
	var cfg upstream.Settings
	is.NoErr(settings.Load(filepath.Join(run, "settings", "upstream-registry-1.ini"), &cfg))
	is.Equal(cfg.Listen.HTTP, "127.0.0.1:11401")
	is.Equal(cfg.Node.Admin, "127.0.0.1:11301")
	is.Equal(cfg.Journal.File, filepath.Join(run, "journal", "upstream-registry-1.log"))
}

func TestParseApplyResult(t *testing.T) {
	is := is.New(t)
	applied, err := parseApplyResult("outcome=accepted version=3 change=up-1\nmore\n")
	is.NoErr(err)
	is.Equal(applied, ApplyResult{Outcome: "accepted", Version: 3})
	_, err = parseApplyResult("usage")
	is.True(err != nil)
}
