package membership_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/membership"
)

// Two members join through a seed. The example delivers their datagrams.
func ExampleCore() {
	cores := make(map[string]*membership.Core)
	for i, addr := range []string{"10.0.0.1:9201", "10.0.0.2:9201"} {
		cores[addr] = membership.NewCore(membership.Config{
			Self:  mulberrylink.Node{Name: fmt.Sprintf("node-%d", i), Addr: addr, Incarnation: 1},
			Seeds: []string{"10.0.0.1:9201"},
			Rand:  rand.New(rand.NewPCG(1, uint64(i))),
		})
	}
	now := time.Unix(0, 0)
	var queue []membership.Packet
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		for _, c := range cores {
			queue = append(queue, c.Tick(now)...)
		}
		for len(queue) > 0 {
			p := queue[0]
			queue = append(queue[1:], cores[p.To].Receive(now, p.Datagram)...)
		}
	}
	for _, n := range cores["10.0.0.1:9201"].All() {
		fmt.Println(n.Name, n.State)
	}
	// Output:
	// node-0 ready
	// node-1 ready
}
