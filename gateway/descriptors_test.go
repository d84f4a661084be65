package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// descriptorLimit is the limit of the process under test.
const descriptorLimit = 200

// runNodeUntilEOF runs a node in this process until its standard input ends, and writes the address
// for callers to standard output.
func runNodeUntilEOF(t *testing.T) {
	d := newDeployment(t)
	n := d.addNode("n1", "d1", "archive", 4)
	d.waitReady(n)
	fmt.Println("address", n.outbound)
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		fmt.Println("ready", n.g.Ready())
	}
}

// Guards against a node that has used up its descriptors for idle connections, and leaves new callers
// waiting while it states that it is ready.
func TestIdleCallersDoNotUseUpDescriptors(t *testing.T) {
	if os.Getenv("RUN_NODE") != "" {
		runNodeUntilEOF(t)
		return
	}
	is := is.New(t)
	//nolint:gosec // The command is this test itself.
	cmd := exec.CommandContext(t.Context(), "/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s -test.run='^TestIdleCallersDoNotUseUpDescriptors$'", descriptorLimit, os.Args[0]))
	cmd.Env = append(os.Environ(), "RUN_NODE=1")
	stdin, err := cmd.StdinPipe()
	is.NoErr(err)
	stdout, err := cmd.StdoutPipe()
	is.NoErr(err)
	is.NoErr(cmd.Start())
	defer func() {
		is.NoErr(stdin.Close())
		is.NoErr(cmd.Wait())
	}()
	lines := bufio.NewScanner(stdout)
	is.True(lines.Scan())
	addr := strings.TrimPrefix(lines.Text(), "address ")

	var idle []net.Conn
	defer func() {
		for _, conn := range idle {
			_ = conn.Close()
		}
	}()
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range 2 * descriptorLimit {
		conn, err := net.Dial("tcp", addr)
		is.NoErr(err)
		idle = append(idle, conn)
		if i%20 != 0 {
			continue
		}
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+addr+"/read/1", http.NoBody)
		is.NoErr(err)
		resp := sendRequest(client, r, fmt.Sprint("r", i), 2*time.Second)
		if resp.err != nil || resp.status != http.StatusOK {
			t.Fatalf("with %d idle connections: status %d, error %v", i, resp.status, resp.err)
		}
	}
	_, err = fmt.Fprintln(stdin)
	is.NoErr(err)
	is.True(lines.Scan())
	is.Equal(lines.Text(), "ready true")
}
