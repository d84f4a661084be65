package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/mulberrylink/mulberrylink/internal/testaddr"
	"github.com/mulberrylink/mulberrylink/protocol/controlplane"
)

// members runs "mulberryctl members" against the hosts in via and returns its output. It waits for at
// most 5 s.
func (c *cluster) members(via []*process, args ...string) (string, error) {
	var addrs []string
	for _, p := range via {
		addrs = append(addrs, p.addr)
	}
	args = append([]string{"members"}, args...)
	return runTool("mulberryctl", append(args, "--control", strings.Join(addrs, ","), "--wait", "5s")...)
}

// checkRefused checks that a membership change is refused for the reason.
func (c *cluster) checkRefused(reason string, via []*process, args ...string) {
	c.t.Helper()
	out, err := c.members(via, args...)
	if err == nil || !strings.Contains(out, "outcome=refused reason="+reason+" ") {
		c.t.Errorf("members %v: %v %s, want reason=%s", args, err, out, reason)
	}
}

// mustMembers runs "mulberryctl members" and fails the test unless it succeeds and its output contains
// want. Commands other than list must print one line.
func (c *cluster) mustMembers(want string, via []*process, args ...string) string {
	c.t.Helper()
	out, err := c.members(via, args...)
	if err != nil || !strings.Contains(out, want) || strings.Count(out, "\n") != 1 && args[0] != "list" {
		c.t.Fatalf("members %v: %v %s, want %s", args, err, out, want)
	}
	return out
}

// Guards against a host that lost its disk and votes or serves again under its old identity, against
// membership changes in an unsafe order, and against the loss of accepted changes if a second host
// is lost right after the repair.
//
// A group of three hosts survives the loss of a second disk only after the new member has become a
// voter. If two of three disks are lost before that, the changes stored only on these two are lost,
// and the group stops.
func TestReplaceLostHost(t *testing.T) {
	c := newCluster(t, nil)
	c.leader()
	v := c.applyMany(c.client(), "first", 0, 20)
	lostHost, secondHost := c.hosts[2], c.hosts[1]
	rest := c.others(lostHost)
	st, err := lostHost.status()
	if err != nil {
		t.Fatal(err)
	}
	oldID := fmt.Sprintf("%016x", st.ID)
	lostHost.kill()
	lostHost.wipe()
	out, err := runTool("mulberrycontrol", "init", "--config", lostHost.settingsPath)
	if err == nil || !strings.Contains(out, "already formed") || !strings.Contains(out, "mulberryctl members add") {
		t.Errorf("init of a wiped host: %v %s", err, out)
	}
	lostHost.start()
	c.leader(rest...)
	v = c.applyMany(c.client(rest...), "second", v, 5)
	c.checkBlankHost(lostHost, secondHost, oldID)
	c.leader(rest...)

	addArgs := []string{"add", "--name", lostHost.name, "--addr", lostHost.addr}
	c.checkRefused("used", rest, addArgs...)
	spare := &process{t: t, name: "c4", addr: testaddr.Free(t), admin: testaddr.Free(t)}
	c.checkRefused("unreachable", rest, "add", "--name", "c4", "--addr", spare.addr)
	c.startSpare(spare, lostHost)
	c.checkRefused("silent", rest, "add", "--name", "c4", "--addr", spare.addr)
	c.checkRefused("quorum", rest, "remove", "--id", c.identity(secondHost))
	c.checkRefused("missing", rest, "remove", "--id", "00000000000000ff")
	spare.kill()

	c.mustMembers("outcome=removed", rest, "remove", "--id", oldID)
	c.checkRefused("name", rest, "add", "--name", "c9", "--addr", lostHost.addr)
	c.checkRefused("name", rest, "add", "--name", lostHost.name, "--addr", lostHost.addr, "--id", oldID)
	c.mustMembers("outcome=added", rest, addArgs...)
	c.mustMembers("outcome=added", rest, addArgs...) // repeated as after a lost response

	secondHost.kill()
	secondHost.wipe()
	remaining := c.others(secondHost)
	c.leader(remaining...)
	if got := confirmedVersion(c.client(remaining...)); got != v {
		t.Errorf("version %d after the loss of the second host, want %d", got, v)
	}
	c.applyMany(c.client(remaining...), "third", v, 5)
	if out := c.mustMembers("leader=true", remaining, "list"); strings.Count(out, "learner=false") != 3 {
		t.Errorf("members after the repair: %s", out)
	}
}

func (c *cluster) identity(p *process) string {
	c.t.Helper()
	st, err := p.status()
	if err != nil {
		c.t.Fatal(err)
	}
	return fmt.Sprintf("%016x", st.ID)
}

// checkBlankHost checks that a wiped host logs a new identity, serves no state, and doesn't vote when
// other is killed.
func (c *cluster) checkBlankHost(blank, other *process, oldID string) {
	c.t.Helper()
	waitUntil(c.t, "blank host responds", func() bool { st, err := blank.status(); return err == nil && st.Blank })
	id := c.identity(blank)
	logText, err := os.ReadFile(blank.settingsPath + ".log")
	if err != nil || id == oldID || !strings.Contains(string(logText), "identity="+id) {
		c.t.Errorf("identity %s of the blank host (was %s) is not in its log: %v", id, oldID, err)
	}
	var out rawConfirmed
	for _, method := range []string{"control/confirmed", "control/history", "control/members"} {
		if err := blank.invoke(method, 3*time.Second, &struct{}{}, &out); err == nil && out.Status == controlplane.StatusCommitted {
			c.t.Errorf("blank host serves %s", method)
		}
	}
	other.kill()
	survivor := c.others(blank)[0]
	time.Sleep(3 * maxElectionTimeout)
	for _, p := range []*process{blank, survivor} {
		if st, err := p.status(); err == nil && st.Self {
			c.t.Errorf("%s leads with the vote of a blank host", p.name)
		}
	}
	other.start()
}

// startSpare starts a blank host that the settings files of the other hosts don't list. Its files are
// in the same directories as those of sibling.
func (c *cluster) startSpare(p, sibling *process) {
	c.t.Helper()
	p.dataDir, p.settingsPath = filepath.Join(filepath.Dir(sibling.dataDir), p.name), filepath.Join(filepath.Dir(sibling.settingsPath), p.name+".ini")
	text := fmt.Sprintf("[control]\nname = %s\ndomain = d1\ndata = %s\nmembers = %s@%s\n[listen]\nrpc = %s\nadmin = %s\n",
		p.name, p.dataDir, p.name, p.addr, p.addr, p.admin)
	if err := os.WriteFile(p.settingsPath, []byte(text), 0o644); err != nil {
		c.t.Fatal(err)
	}
	p.start()
	waitUntil(c.t, "spare host responds", func() bool { st, err := p.status(); return err == nil && st.Blank })
}

// Guards against a planned stop that leaves the group without a leader for an election timeout. The
// host transfers leadership before it stops.
func TestPlannedStopHandsOver(t *testing.T) {
	c := newCluster(t, nil)
	p := c.leader()
	v := c.applyMany(c.client(), "before", 0, 3)
	begin := time.Now()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		t.Fatal("host does not exit after SIGTERM")
	}
	took := time.Since(begin)
	t.Logf("stop_ms=%d", took.Milliseconds())
	if logText, err := os.ReadFile(p.settingsPath + ".log"); err != nil || took >= shutdownTimeout {
		t.Errorf("stop took %s, %v\n%s", took, err, logText)
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if reply := c.client(c.others(p)...).Apply(ctx, newChange("after", v)); reply.State != controlplane.ApplyAccepted {
		t.Errorf("change after a planned stop: %+v", reply)
	}
}
