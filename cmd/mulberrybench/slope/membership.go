package slope

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/membership"
	"github.com/mulberrylink/mulberrylink/protocol/gossip"
)

// joinTimeout bounds the time until every member knows all others.
const joinTimeout = 180 * time.Second

// settleDelay lets the updates of the join spread before the measurement starts.
const settleDelay = 10 * time.Second

// churnInterval is the time between two changes of a record. For comparison, 370 restarts per day
// with three changes each at the design size make one change every 78 s.
const churnInterval = time.Second

// nodeGroup runs the membership of a group of nodes in one process, with real sockets.
type nodeGroup struct {
	conns  []*gossip.Conn
	groups []*membership.Group
	cancel context.CancelFunc
}

func startNodeGroup(ctx context.Context, n int) (*nodeGroup, error) {
	ctx, cancel := context.WithCancel(ctx)
	group := &nodeGroup{cancel: cancel}
	var seeds []string
	for i := range n {
		conn, err := gossip.Listen("127.0.0.1:0")
		if err != nil {
			group.stop()
			return nil, err
		}
		name := fmt.Sprintf("node-service-%d-%04d", i%designServices, i)
		g := membership.NewGroup(membership.Config{
			Self: mulberrylink.Node{
				Name: name, Domain: fmt.Sprintf("domain-%d", i%10), Addr: conn.Addr(), Front: conn.Addr(),
				Service: fmt.Sprintf("service-%d", i%designServices), Incarnation: 1_700_000_000_000,
				Upstream: mulberrylink.UpstreamUp, Slots: 12,
			},
			Seeds: seeds,
			Rand:  rand.New(rand.NewPCG(uint64(i), 7)),
		}, conn)
		if i < 3 {
			seeds = append(seeds, conn.Addr())
		}
		group.conns = append(group.conns, conn)
		group.groups = append(group.groups, g)
		go g.Run(ctx)
		go conn.Serve(gossip.Handlers{Name: name, Deliver: g.Deliver})
	}
	return group, nil
}

func (ng *nodeGroup) stop() {
	ng.cancel()
	for _, conn := range ng.conns {
		_ = conn.Close()
	}
}

func (ng *nodeGroup) joined() bool {
	for _, g := range ng.groups {
		if len(g.All()) != len(ng.groups) {
			return false
		}
	}
	return true
}

func (ng *nodeGroup) sentBytes() float64 {
	total := 0.0
	for _, conn := range ng.conns {
		_, bytes, _ := conn.Counts()
		total += float64(bytes)
	}
	return total
}

func membershipPart() part {
	return part{
		name: "membership", sizeName: "nodes", designSize: designNodes, sizes: []int{50, 100, 200, 300},
		metrics: []string{"cpu_percent", "bytes", "heap_bytes", "join_seconds"},
		run: func(ctx context.Context, o Options, n int) (map[string]float64, error) {
			return measureGroup(ctx, o, n, 0)
		},
	}
}

// churnPart measures a node group in which one record changes per second.
func churnPart() part {
	return part{
		name: "churn", sizeName: "nodes", designSize: designNodes, sizes: []int{50, 100, 200, 300},
		metrics: []string{"cpu_percent", "bytes"},
		run: func(ctx context.Context, o Options, n int) (map[string]float64, error) {
			return measureGroup(ctx, o, n, churnInterval)
		},
	}
}

// measureGroup returns the cost per node in a group of n nodes. One record is updated per interval
// churn, or none if churn is 0. The metric bytes counts sent bytes per second; on average a node
// receives as many.
func measureGroup(ctx context.Context, o Options, n int, churn time.Duration) (map[string]float64, error) {
	heapBefore := liveHeap()
	begin := time.Now()
	group, err := startNodeGroup(ctx, n)
	if err != nil {
		return nil, err
	}
	defer group.stop()
	if err := waitUntil(ctx, joinTimeout, group.joined); err != nil {
		return nil, err
	}
	joinTime := time.Since(begin)
	if err := sleep(ctx, settleDelay); err != nil {
		return nil, err
	}
	if churn > 0 {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		go group.updateRecords(ctx, churn)
	}
	start, sentBefore := currentUsage(), group.sentBytes()
	if err := sleep(ctx, o.Duration); err != nil {
		return nil, err
	}
	cpu, wall := start.since()
	sent := group.sentBytes() - sentBefore
	return map[string]float64{
		"cpu_percent":  100 * cpu.Seconds() / wall.Seconds() / float64(n),
		"bytes":        sent / wall.Seconds() / float64(n),
		"heap_bytes":   (liveHeap() - heapBefore) / float64(n),
		"join_seconds": joinTime.Seconds(),
	}, nil
}

func (ng *nodeGroup) updateRecords(ctx context.Context, every time.Duration) {
	for i := 0; sleep(ctx, every) == nil; i++ {
		ng.groups[i%len(ng.groups)].Update(func(self *mulberrylink.Node) {
			self.Slots = 12 + self.Slots%2
		})
	}
}
