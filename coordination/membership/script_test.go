package membership

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/mulberrylink/mulberrylink"
)

// network runs cores on a simulated clock and delivers their datagrams.
type network struct {
	now      time.Time
	rand     *rand.Rand
	cores    map[string]*Core
	dead     map[string]bool
	blocked  map[[2]string]bool // from, to
	lossRate float64
	inFlight []inFlightPacket
	notes    map[string]int
	steps    int
}

// inFlightPacket is a packet that has not been delivered yet.
type inFlightPacket struct {
	deliverAt time.Time
	from      string
	packet    Packet
}

const (
	stepInterval  = 10 * time.Millisecond
	deliveryDelay = 2 * time.Millisecond
	stepsPerTick  = int(tickInterval / stepInterval)
)

func newNetwork(seed uint64) *network {
	return &network{
		now: time.Unix(1_000_000, 0), rand: rand.New(rand.NewPCG(seed, 1)),
		cores: map[string]*Core{}, dead: map[string]bool{}, blocked: map[[2]string]bool{}, notes: map[string]int{},
	}
}

func (n *network) start(name, service string) {
	n.dead[name] = false
	n.cores[name] = NewCore(Config{
		Self: mulberrylink.Node{
			Name: name, Addr: name, Domain: "d1", Service: service,
			Upstream: mulberrylink.UpstreamUp, Slots: 6,
		},
		Seeds:  []string{"n000", "n001", "n002"},
		Rand:   rand.New(rand.NewPCG(n.rand.Uint64(), 2)),
		OnNote: func(uint8, []byte) { n.notes[name]++ },
	})
}

func (n *network) names() []string {
	var names []string
	for name := range n.cores {
		if !n.dead[name] {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

func (n *network) step() {
	n.now = n.now.Add(stepInterval)
	if n.steps++; n.steps%stepsPerTick == 0 {
		for _, name := range n.names() {
			c := n.cores[name]
			c.adoptMaxVersion()
			n.enqueue(name, c.Tick(n.now))
		}
	}
	for len(n.inFlight) > 0 && !n.inFlight[0].deliverAt.After(n.now) {
		f := n.inFlight[0]
		n.inFlight = n.inFlight[1:]
		c, ok := n.cores[f.packet.To]
		if !ok || n.dead[f.packet.To] || n.blocked[[2]string{f.from, f.packet.To}] || n.rand.Float64() < n.lossRate {
			continue
		}
		n.enqueue(f.packet.To, c.Receive(n.now, f.packet.Datagram))
	}
}

// adoptMaxVersion simulates a node that fetches a newer configuration reported by another member
// and then reports its version as its own.
func (c *Core) adoptMaxVersion() {
	if v, _ := c.MaxVersion(); v > c.self.Version {
		c.Update(func(s *mulberrylink.Node) { s.Version = v })
	}
}

func (n *network) enqueue(from string, packets []Packet) {
	for _, p := range packets {
		n.inFlight = append(n.inFlight, inFlightPacket{deliverAt: n.now.Add(deliveryDelay), from: from, packet: p})
	}
}

func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		n.step()
	}
}

// runUntil advances the network until cond holds on every running core, for at most limit. It
// returns the elapsed time and whether cond was reached.
func (n *network) runUntil(limit time.Duration, cond func(name string, c *Core) bool) (time.Duration, bool) {
	start := n.now
	for n.now.Sub(start) <= limit {
		all := true
		for _, name := range n.names() {
			if !cond(name, n.cores[name]) {
				all = false
				break
			}
		}
		if all {
			return n.now.Sub(start), true
		}
		n.step()
	}
	return limit, false
}

func stateOf(c *Core, name string) string {
	if c.self.Name == name {
		return c.self.State.String()
	}
	m, ok := c.members[name]
	if !ok {
		return "unknown"
	}
	return m.node.State.String()
}

// Runs the scripts in testdata, which simulate loss, killed nodes, restarts and partitions. Each
// script names the failure that it guards against.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, file := range files {
		for seed := uint64(1); seed <= 3; seed++ {
			t.Run(fmt.Sprintf("%s/%d", filepath.Base(file), seed), func(t *testing.T) {
				t.Parallel()
				runScript(t, file, seed)
			})
		}
	}
}

func runScript(t *testing.T, file string, seed uint64) {
	f, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	n := newNetwork(seed)
	sc := bufio.NewScanner(f)
	for line := 1; sc.Scan(); line++ {
		words := strings.Fields(sc.Text())
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		if err := n.command(t, words); err != nil {
			t.Fatalf("%s:%d: %s: %v", file, line, sc.Text(), err)
		}
	}
}

func (n *network) command(t *testing.T, words []string) error {
	switch words[0] {
	case "nodes":
		count, _ := strconv.Atoi(words[1])
		for i := range count {
			n.start(fmt.Sprintf("n%03d", i), fmt.Sprintf("s%d", i%3))
		}
	case "run":
		n.run(duration(words[1]))
	case "loss":
		n.lossRate, _ = strconv.ParseFloat(words[1], 64)
	case "kill":
		n.dead[words[1]] = true
	case "restart":
		n.start(words[1], "s0")
	case "clock":
		n.now = n.now.Add(duration(words[1]))
	case "leave":
		n.cores[words[1]].Update(func(s *mulberrylink.Node) { s.State = mulberrylink.NodeLeaving })
	case "version":
		v, _ := strconv.ParseUint(words[2], 10, 64)
		n.cores[words[1]].Update(func(s *mulberrylink.Node) { s.Version = v })
	case "note":
		n.cores[words[1]].BroadcastService(n.now, words[2], 1, []byte("x"))
	case "split", "heal":
		n.setPartition(words[0] == "split", words[1:])
	case "expect":
		return n.expect(t, words[1:])
	default:
		return fmt.Errorf("unknown command %q", words[0])
	}
	return nil
}

// setPartition blocks or unblocks all datagrams between the named nodes and the others.
func (n *network) setPartition(block bool, group []string) {
	inGroup := map[string]bool{}
	for _, s := range group {
		inGroup[s] = true
	}
	for a := range n.cores {
		for b := range n.cores {
			if inGroup[a] != inGroup[b] {
				n.blocked[[2]string{a, b}] = block
			}
		}
	}
}

func (n *network) expect(t *testing.T, words []string) error {
	limit := duration(words[len(words)-1])
	var cond func(name string, c *Core) bool
	switch words[0] {
	case "known": // expect known COUNT within D
		count, _ := strconv.Atoi(words[1])
		cond = func(_ string, c *Core) bool { return len(c.All()) == count }
	case "state": // expect state NODE STATE within D
		cond = func(name string, c *Core) bool { return name == words[1] || stateOf(c, words[1]) == words[2] }
	case "service": // expect service NODE SERVICE within D
		cond = func(name string, c *Core) bool {
			return name == words[1] || c.members[words[1]].node.Service == words[2]
		}
	case "version": // expect version V within D
		v, _ := strconv.ParseUint(words[1], 10, 64)
		cond = func(_ string, c *Core) bool { return c.self.Version == v }
	case "notes": // expect notes COUNT within D
		count, _ := strconv.Atoi(words[1])
		cond = func(string, *Core) bool { return len(n.notes) == count }
	case "bytes": // expect bytes PER_SECOND over D
		return n.expectBytes(t, words[1], limit)
	case "steady": // expect steady COUNT over D
		return n.expectSteady(words[1], limit)
	default:
		return fmt.Errorf("unknown expectation %q", words[0])
	}
	took, ok := n.runUntil(limit, cond)
	if !ok {
		return fmt.Errorf("not reached in %s", limit)
	}
	t.Logf("%s after %s", strings.Join(words, " "), took)
	return nil
}

func (n *network) expectBytes(t *testing.T, perSecond string, over time.Duration) error {
	limit, _ := strconv.ParseFloat(perSecond, 64)
	before := map[string]uint64{}
	for _, name := range n.names() {
		before[name] = n.cores[name].SentBytes()
	}
	n.run(over)
	worst := 0.0
	for _, name := range n.names() {
		worst = max(worst, float64(n.cores[name].SentBytes()-before[name])/over.Seconds())
	}
	t.Logf("most bytes per second sent by one node: %.0f", worst)
	if worst > limit {
		return fmt.Errorf("a node sent %.0f bytes per second", worst)
	}
	return nil
}

func (n *network) expectSteady(count string, over time.Duration) error {
	want, _ := strconv.Atoi(count)
	for end := n.now.Add(over); n.now.Before(end); {
		n.step()
		for _, name := range n.names() {
			if got := len(n.cores[name].All()); got != want {
				return fmt.Errorf("%s knows %d members", name, got)
			}
		}
	}
	return nil
}

func duration(s string) time.Duration {
	d, err := time.ParseDuration(s)
	if err != nil {
		panic(err)
	}
	return d
}
