package slope

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/coordination/control"
	"github.com/mulberrylink/mulberrylink/coordination/quorum"
	"github.com/mulberrylink/mulberrylink/protocol/controlplane"
	"github.com/mulberrylink/mulberrylink/state/overlay"
	"github.com/mulberrylink/mulberrylink/transport/rpc"
)

// controlHost is one control host with an in-memory log.
type controlHost struct {
	addr    string
	machine *control.Machine
	cancel  context.CancelFunc
}

func startControlHost(ctx context.Context) (*controlHost, error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for RPC")
	}
	ctx, cancel := context.WithCancel(ctx)
	h := &controlHost{addr: ln.Addr().String(), machine: control.NewMachine(), cancel: cancel}
	server := controlplane.NewServer(controlplane.ServerConfig{
		Name: "control-1", Domain: "d1", Log: controlplane.NewLocalLog(h.addr, h.machine),
		Machine: h.machine, Now: time.Now, Observe: func(string, string) {},
	})
	srv := rpc.NewServer(nil)
	for method, f := range server.Methods() {
		srv.Handle(method, f)
	}
	go func() { _ = srv.Serve(ctx, ln) }()
	return h, nil
}

func newClient(addr string) *controlplane.Client {
	pool := rpc.NewPool(rpc.PoolConfig{DialTimeout: time.Second, IdlePerAddr: 2})
	return controlplane.NewClient(pool, []string{addr})
}

// baseFile returns a base file with n services and ten failure domains. The revision determines the
// timeouts of the services, so that two revisions differ.
func baseFile(n, revision int) overlay.File {
	var b strings.Builder
	for i := range 10 {
		fmt.Fprintf(&b, "[domain domain-%d]\nregion = region-%d\n", i, i%3)
	}
	for i := range n {
		fmt.Fprintf(&b, "[service service-%d]\ntimeout = %dms\n", i, 2000+revision)
		for _, r := range []string{"GET /grades", "POST /filings", "GET /stock"} {
			fmt.Fprintf(&b, "[route service-%d %s]\n", i, r)
		}
	}
	return overlay.File{Name: "base.ini", Data: []byte(b.String())}
}

func apply(ctx context.Context, c *controlplane.Client, services, revision int) error {
	result := c.Apply(ctx, controlplane.Change{
		ID: fmt.Sprintf("slope-%d", revision), BaseVersion: uint64(revision), Base: baseFile(services, revision),
	})
	if result.State != controlplane.ApplyAccepted {
		return errors.Newf("configuration change not accepted: %s", result.State)
	}
	return nil
}

// watchPart measures one control host with n nodes that watch it. The processor time covers both
// the nodes and the host, because both run in this process.
func watchPart() part {
	return part{
		name: "watch", sizeName: "nodes", designSize: designNodes, sizes: []int{50, 100, 200, 400},
		metrics: []string{"cpu_percent", "heap_bytes", "all_ms", "cpu_ms_per_change"},
		run:     measureWatch,
	}
}

// watchChanges is the number of changes over which measureWatch averages.
const watchChanges = 10

func measureWatch(ctx context.Context, o Options, n int) (map[string]float64, error) {
	heapBefore := liveHeap()
	h, err := startControlHost(ctx)
	if err != nil {
		return nil, err
	}
	defer h.cancel()
	client := newClient(h.addr)
	if err := apply(ctx, client, designServices, 0); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var received atomic.Int64
	for range n {
		go func() {
			_ = newClient(h.addr).Watch(ctx, 0, func(uint64, []byte) { received.Add(1) })
		}()
	}
	receivedAtLeast := func(count int) func() bool { return func() bool { return received.Load() >= int64(count) } }
	if err := waitUntil(ctx, 30*time.Second, receivedAtLeast(n)); err != nil {
		return nil, err
	}
	start := currentUsage()
	if err := sleep(ctx, o.Duration); err != nil {
		return nil, err
	}
	cpu, wall := start.since()
	values := map[string]float64{
		"cpu_percent": 100 * cpu.Seconds() / wall.Seconds() / float64(n),
		"heap_bytes":  (liveHeap() - heapBefore) / float64(n),
	}
	start = currentUsage()
	begin := time.Now()
	for i := range watchChanges {
		if err := apply(ctx, client, designServices, i+1); err != nil {
			return nil, err
		}
		if err := waitUntil(ctx, 30*time.Second, receivedAtLeast(n*(i+2))); err != nil {
			return nil, err
		}
	}
	cpu, _ = start.since()
	values["all_ms"] = float64(time.Since(begin).Milliseconds()) / watchChanges
	values["cpu_ms_per_change"] = cpu.Seconds() * 1000 / watchChanges / float64(n)
	return values, nil
}

// configPart measures the size of the configuration that each node receives.
func configPart() part {
	return part{
		name: "config", sizeName: "services", designSize: designServices, sizes: []int{2, 20, 100, 230},
		metrics: []string{"wire_bytes", "decode_us", "merge_us"},
		run: func(_ context.Context, _ Options, n int) (map[string]float64, error) {
			base := baseFile(n, 1)
			begin := time.Now()
			cfg, err := overlay.Merge(base, nil)
			if err != nil {
				return nil, err
			}
			mergeTime := time.Since(begin)
			encoded := overlay.Encode(cfg)
			begin = time.Now()
			if _, err := overlay.Decode(encoded); err != nil {
				return nil, err
			}
			return map[string]float64{
				"wire_bytes": float64(len(encoded)),
				"decode_us":  float64(time.Since(begin).Microseconds()),
				"merge_us":   float64(mergeTime.Microseconds()),
			}, nil
		},
	}
}

// claimPart measures the cost of held claims on a control host.
func claimPart() part {
	return part{
		name: "claims", sizeName: "claims", designSize: designClaims, sizes: []int{10_000, 50_000, 100_000, 200_000},
		metrics: []string{"heap_bytes", "apply_us", "snapshot_bytes", "snapshot_ms"},
		run: func(_ context.Context, _ Options, n int) (map[string]float64, error) {
			heapBefore := liveHeap()
			m := control.NewMachine()
			start := currentUsage()
			for i := range n {
				m.Apply(uint64(i+1), control.Encode(claimCommand(i)))
			}
			cpu, _ := start.since()
			values := map[string]float64{
				"apply_us":   float64(cpu.Microseconds()) / float64(n),
				"heap_bytes": liveHeap() - heapBefore,
			}
			begin := time.Now()
			values["snapshot_bytes"] = float64(len(m.Snapshot()))
			values["snapshot_ms"] = float64(time.Since(begin).Milliseconds())
			return values, nil
		},
	}
}

func claimCommand(i int) control.Command {
	return control.Command{
		Now: int64(i + 1),
		Claim: &control.ClaimCommand{
			Service: "registry", Key: fmt.Sprintf("filing-2026-12-%010d", i), Fingerprint: uint64(i),
			Holder: "node-registry-1", RequestID: fmt.Sprintf("%032x", i), Deadline: int64(i) + 86_400_000_000,
		},
	}
}

// commitPart measures commits of claims by three quorum members that write real files, by the
// number of concurrent callers.
func commitPart() part {
	return part{
		name: "commit", sizeName: "callers", designSize: 1024, sizes: []int{1, 16, 64, 256},
		metrics: []string{"per_second", "mean_ms", "cpu_us"},
		run:     measureCommit,
	}
}

// localTransport delivers messages between the quorum members of this process.
type localTransport struct {
	mu    sync.RWMutex
	hosts map[uint64]*quorum.Host
}

func (t *localTransport) Send(msg quorum.Message) {
	t.mu.RLock()
	h := t.hosts[msg.To]
	t.mu.RUnlock()
	if h != nil {
		h.Receive(msg)
	}
}

func startQuorum(dir string) (*localTransport, func(), error) {
	transport := &localTransport{hosts: make(map[uint64]*quorum.Host)}
	var members []quorum.Member
	for id := uint64(1); id <= 3; id++ {
		members = append(members, quorum.Member{ID: id, Addr: fmt.Sprintf("member-%d", id)})
	}
	stop := func() {
		for _, h := range transport.hosts {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			_ = h.Stop(ctx)
			cancel()
		}
	}
	for _, self := range members {
		cfg := quorum.Config{
			Dir: filepath.Join(dir, self.Addr), ID: self.ID, Addr: self.Addr,
			Machine: control.NewMachine(), Sender: transport,
		}
		if err := quorum.Format(cfg, members); err != nil {
			return nil, stop, err
		}
		h, err := quorum.Open(cfg)
		if err != nil {
			return nil, stop, err
		}
		transport.mu.Lock()
		transport.hosts[self.ID] = h
		transport.mu.Unlock()
	}
	return transport, stop, nil
}

func (t *localTransport) leader() *quorum.Host {
	for _, h := range t.hosts {
		if _, _, self := h.Leader(); self {
			return h
		}
	}
	return nil
}

func measureCommit(ctx context.Context, o Options, callers int) (map[string]float64, error) {
	dir, err := os.MkdirTemp(o.Dir, "slope")
	if err != nil {
		return nil, errors.Wrap(err, "create data directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	transport, stop, err := startQuorum(dir)
	defer stop()
	if err != nil {
		return nil, err
	}
	if err := waitUntil(ctx, 10*time.Second, func() bool { return transport.leader() != nil }); err != nil {
		return nil, err
	}
	return commitClaims(ctx, transport.leader(), callers, o.Duration/2)
}

// commitClaims keeps one claim per caller in progress for the given duration.
func commitClaims(ctx context.Context, leader *quorum.Host, callers int, duration time.Duration) (map[string]float64, error) {
	var committed, nextID atomic.Int64
	deadline := time.Now().Add(duration)
	start := currentUsage()
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for time.Now().Before(deadline) && ctx.Err() == nil {
				data := control.Encode(claimCommand(int(nextID.Add(1))))
				if _, status := leader.Propose(ctx, data); status == quorum.Committed {
					committed.Add(1)
				}
			}
		})
	}
	wg.Wait()
	cpu, wall := start.since()
	n := float64(committed.Load())
	if n == 0 {
		return nil, errors.New("no claim was committed")
	}
	return map[string]float64{
		"per_second": n / wall.Seconds(),
		"mean_ms":    1000 * wall.Seconds() * float64(callers) / n,
		"cpu_us":     float64(cpu.Microseconds()) / n,
	}, nil
}
