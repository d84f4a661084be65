package main

import (
	"context"
	"errors"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/control"
	"github.com/mulberrylink/mulberrylink/protocol/controlplane"
	"github.com/mulberrylink/mulberrylink/transport/rpc"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"mulberryctl": func() { os.Exit(runMain()) }})
}

// Guards the output and the exit codes that operators and their scripts rely on. Each test script
// has a control host of its own at $CONTROL.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Setup: func(env *testscript.Env) error {
			addr, err := startControlHost(env)
			env.Setenv("CONTROL", addr)
			return err
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"code": checkExitCode},
	})
}

// checkExitCode implements the script command "code N program args…", which fails unless the program
// exits with code N.
func checkExitCode(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	var exitErr *exec.ExitError
	if err := ts.Exec(args[1], args[2:]...); errors.As(err, &exitErr) {
		got = exitErr.ExitCode()
	} else {
		ts.Check(err)
	}
	if got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}

func startControlHost(env *testscript.Env) (string, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	addr := lis.Addr().String()
	m := control.NewMachine()
	s := controlplane.NewServer(controlplane.ServerConfig{
		Name: "c1", Domain: "d1", Log: controlplane.NewLocalLog(addr, m), Machine: m, Now: time.Now,
	})
	srv := rpc.NewServer(nil)
	for method, h := range s.Methods() {
		srv.Handle(method, h)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- srv.Serve(ctx, lis) }()
	env.Defer(func() { cancel(); <-done })
	return addr, nil
}

// Guards against a request reason that explain does not know.
func TestEveryReasonIsExplained(t *testing.T) {
	for _, r := range mulberrylink.Reasons() {
		if reasons[r] == "" {
			t.Errorf("reason %s has no explanation", r)
		}
	}
}

// Guards against a reason of "members add" and "members remove" that explain does not know.
func TestEveryMemberReasonIsExplained(t *testing.T) {
	for r := controlplane.MemberNoReason; r <= controlplane.MemberUnsupported; r++ {
		if int(r) >= len(memberReasons) || memberReasons[r] == "" {
			t.Errorf("reason %s has no explanation", r)
		}
	}
}

// Guards against a reason that is missing from the operations page or has another text there than in
// explain.
func TestOperationsPageHasEveryReason(t *testing.T) {
	data, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	checkRow := func(name, text string) {
		if !strings.Contains(string(data), "\n| "+name+" | "+text+" |\n") {
			t.Errorf("docs/OPERATIONS.md lacks the row | %s | %s |", name, text)
		}
	}
	for _, r := range mulberrylink.Reasons() {
		checkRow(r.String(), reasons[r])
	}
	for r, text := range memberReasons {
		checkRow(controlplane.MemberReason(r).String(), text)
	}
}
