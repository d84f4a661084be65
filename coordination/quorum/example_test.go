package quorum_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/mulberrylink/mulberrylink/coordination/quorum"
)

// counter is a state machine that counts proposals.
type counter struct{ n atomic.Int64 }

func (c *counter) Apply(uint64, []byte) []byte { return fmt.Append(nil, c.n.Add(1)) }

func (c *counter) Snapshot() []byte { return fmt.Append(nil, c.n.Load()) }

func (c *counter) Restore(data []byte) error {
	var n int64
	_, err := fmt.Sscan(string(data), &n)
	c.n.Store(n)
	return err
}

// localSender delivers messages between hosts of one process.
type localSender struct {
	hosts [3]atomic.Pointer[quorum.Host]
}

func (l *localSender) Send(m quorum.Message) {
	var i int
	if _, err := fmt.Sscanf(m.ToAddr, "host-%d", &i); err != nil {
		return
	}
	if h := l.hosts[i].Load(); h != nil {
		h.Receive(m)
	}
}

// Runs a group of three members in one process: format, open, propose, read barrier, stop.
func Example() {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	dir, err := os.MkdirTemp("", "quorum")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	var members []quorum.Member
	for i := range 3 {
		members = append(members, quorum.Member{ID: uint64(i + 1), Addr: fmt.Sprint("host-", i)})
	}
	var sender localSender
	for i, m := range members {
		cfg := quorum.Config{
			Dir: filepath.Join(dir, m.Addr), ID: m.ID, Addr: m.Addr,
			Machine: &counter{}, Sender: &sender,
		}
		if err := quorum.Format(cfg, members); err != nil {
			panic(err)
		}
		h, err := quorum.Open(cfg)
		if err != nil {
			panic(err)
		}
		sender.hosts[i].Store(h)
	}
	for done := 0; done < 2; time.Sleep(10 * time.Millisecond) {
		for i := range sender.hosts {
			result, status := sender.hosts[i].Load().Propose(ctx, []byte("add"))
			if status == quorum.Committed {
				fmt.Println(status, string(result))
				done++
				break
			}
		}
	}
	fmt.Println(sender.hosts[0].Load().ReadBarrier(ctx))
	for i := range sender.hosts {
		if err := sender.hosts[i].Load().Stop(ctx); err != nil {
			panic(err)
		}
	}
	// Output:
	// committed 1
	// committed 2
	// true
}
