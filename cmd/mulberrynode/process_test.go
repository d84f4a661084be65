package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/mulberrylink/mulberrylink/internal/testaddr"
	"github.com/mulberrylink/mulberrylink/state/overlay"
	"github.com/mulberrylink/mulberrylink/transport/events"
)

// runAsNodeEnv is the environment variable that makes the test binary run as mulberrynode.
const runAsNodeEnv = "MULBERRYNODE_TEST_PROCESS"

func TestMain(m *testing.M) {
	if os.Getenv(runAsNodeEnv) != "" {
		main()
		return
	}
	testscript.Main(m, map[string]func(){"mulberrynode": main})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script"})
}

// startPeer runs a node with a real node group in this process. It has a configuration, which other
// nodes fetch from it.
func startPeer(t *testing.T) (addr string, peer *node) {
	t.Helper()
	cfg := testSettings("peer", "d1")
	cfg.Listen.RPC = testaddr.Free(t)
	cfg.Peers.Seeds = nil
	lis, err := net.Listen("tcp", cfg.Listen.RPC)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n, err := joinGroup(ctx, cfg, lis, events.New(os.Stderr, "error", "test", "peer"))
	if err != nil {
		t.Fatal(err)
	}
	if err := n.start(ctx, make(chan error, 3)); err != nil {
		t.Fatal(err)
	}
	n.active.apply(1, overlay.Encode(testConfig(1)), "test")
	t.Cleanup(func() {
		cancel()
		n.front.Close()
		n.admin.http.Close()
	})
	return cfg.Listen.RPC, n
}

// process is a child process that runs mulberrynode.
type process struct {
	cmd          *exec.Cmd
	front, admin string
	done         chan error
}

// startProcess runs mulberrynode in a child process with one seed.
func startProcess(t *testing.T, seed string) *process {
	t.Helper()
	p := &process{front: testaddr.Free(t), admin: testaddr.Free(t), done: make(chan error, 1)}
	file := filepath.Join(t.TempDir(), "node.ini")
	ini := fmt.Sprintf("[node]\nname = child\ndomain = d2\n[listen]\nfront = %s\nrpc = %s\nadmin = %s\n[peers]\nseeds = %s\n[log]\nlevel = error\n",
		p.front, testaddr.Free(t), p.admin, seed)
	if err := os.WriteFile(file, []byte(ini), 0o644); err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(os.Args[0], "run", "--config", file)
	p.cmd.Env = append(os.Environ(), runAsNodeEnv+"=1")
	p.cmd.Stderr = os.Stderr
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.done <- p.cmd.Wait() }()
	t.Cleanup(func() { p.cmd.Process.Kill() })
	return p
}

// waitFor polls check until it returns true, for at most 10 s.
func waitFor(t *testing.T, condition string, check func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !check(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timeout: %s", condition)
		}
	}
}

// getStatus sends a GET request and returns the status and the reason of the response, or 0 and the
// error when there is no response.
func getStatus(url, host string) (int, string) {
	req, _ := http.NewRequest("GET", url, nil)
	req.Host = host
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	return resp.StatusCode, resp.Header.Get("Mulberry-Reason")
}

// Guards against a shutdown that interrupts an upload: go-zero would end the process 5.5 s after the
// first signal and at once after a second one. Guards also against a node that is ready without a
// configuration, or that doesn't get one from its peers.
func TestStopWaitsForUpload(t *testing.T) {
	is := is.New(t)
	seed, _ := startPeer(t)
	p := startProcess(t, seed)
	waitFor(t, "node has the configuration of its peer", func() bool {
		status, _ := getStatus("http://"+p.admin+"/ready", "")
		return status == http.StatusOK
	})
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, n, err)
	}))
	defer upstream.Close()
	form := "service=archive&addr=" + upstream.Listener.Addr().String() + "&slots=6&state=ready&ttl=60000"
	resp, err := http.Post("http://"+p.admin+"/announce", "application/x-www-form-urlencoded", strings.NewReader(form))
	is.NoErr(err)
	resp.Body.Close()

	pr, pw := io.Pipe()
	response := make(chan string, 1)
	go func() {
		req, _ := http.NewRequest("PUT", "http://"+p.front+"/patterns", pr)
		req.Host = "archive"
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			response <- err.Error()
			return
		}
		defer resp.Body.Close()
		data, err := io.ReadAll(resp.Body)
		if resp.StatusCode != http.StatusOK {
			response <- fmt.Sprint(resp.Status, " ", resp.Header.Get("Mulberry-Reason"), " ", string(data), " ", err)
			return
		}
		response <- fmt.Sprint(string(data), " ", err)
	}()
	chunk := make([]byte, 1<<20)
	start := time.Now()
	for i := range 64 {
		if _, err := pw.Write(chunk); err != nil {
			t.Fatalf("upload ended after %d MiB: %v; response: %s", i, err, <-response)
		}
		if i == 5 || i == 15 {
			is.NoErr(p.cmd.Process.Signal(syscall.SIGTERM))
		}
		if i == 20 {
			status, reason := getStatus("http://"+p.front+"/patterns", "archive")
			is.Equal(status, http.StatusServiceUnavailable)
			is.Equal(reason, "leaving")
		}
		time.Sleep(120 * time.Millisecond)
	}
	pw.Close()
	is.True(time.Since(start) > 7*time.Second)
	is.Equal(<-response, fmt.Sprint(64<<20, nil, nil)) // neither the upload nor the response was truncated
	select {
	case err := <-p.done:
		is.NoErr(err)
	case <-time.After(5 * time.Second):
		t.Fatal("node is still running after its last request")
	}
}
