package capacity_test

import (
	"context"
	"math"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberrylink/mulberrylink/coordination/capacity"
	"github.com/mulberrylink/mulberrylink/coordination/integrity"
	"github.com/mulberrylink/mulberrylink/coordination/placement"
)

const (
	faultyFor = 60 * time.Second
	// lastPart is the time at the end in which mended upstreams must have their share again.
	lastPart = 20 * time.Second
	// maxShareDifference is the difference of two shares of requests up to which they count as the same.
	maxShareDifference = 0.05
)

// faultyService simulates a service with faulty upstreams. Each upstream has a node with a Controller, each
// entry node a Balancer.
type faultyService struct {
	withoutReserve bool
	faulty, oneIn  int
	work           time.Duration
	sizeKiB        float64
	controllers    []*capacity.Controller
	balancers      []*placement.Balancer
	candidates     []placement.Candidate
	mendedAt       time.Time
	end            time.Time

	mu    sync.Mutex
	rnd   *rand.Rand
	tally reserveTally
}

// reserveTally counts the requests of a simulation, in the time before the upstreams are mended and in the
// last part.
type reserveTally struct {
	requests, refused      int
	malformed, lost        int
	before, beforeAtFaulty int
	last, lastAtFaulty     int
}

func newFaultyService(t *testing.T, o map[string]string, seed uint64) *faultyService {
	s := script{t: t}
	f := &faultyService{
		faulty: int(s.number(o["faulty"], 1)), oneIn: int(s.number(o["onein"], 1)), work: s.time(o["work"], 0), sizeKiB: s.number(o["size"], 1),
		mendedAt: time.Now().Add(faultyFor), end: time.Now().Add(faultyFor + lastPart + s.time(o["delay"], 0)), rnd: rand.New(rand.NewPCG(seed, 2)),
	}
	slots := int(s.number(o["slots"], 1))
	for i := range int(s.number(o["upstreams"], 2)) {
		c := placement.Candidate{Name: string(rune('a' + i)), Domain: "d1", Slots: slots}
		if o["far"] != "" && i >= f.faulty {
			c.Domain = "d2"
		}
		f.candidates = append(f.candidates, c)
		f.controllers = append(f.controllers, capacity.New(time.Now))
		f.controllers[i].Open(capacity.Upstream{Slots: slots, ID: c.Name, Incarnation: 1})
	}
	for i := range int(s.number(o["entries"], 1)) {
		domain := "d1"
		if i < len(f.candidates) {
			domain = f.candidates[i].Domain // of the upstream beside the entry node
		}
		f.balancers = append(f.balancers, placement.New(placement.Config{TransferCostPerKiB: 0.035, CrossDomainRTT: time.Millisecond, Domain: domain}))
	}
	return f
}

// run sends requests until the end. Every other one may run only once.
func (f *faultyService) run(perSecond float64) reserveTally {
	var requests sync.WaitGroup
	requested := 0
	for ; time.Now().Before(f.end); requested++ {
		entry, repeatable := f.intn(len(f.balancers)), requested%2 == 0
		requests.Go(func() { f.request(entry, repeatable) })
		time.Sleep(time.Duration(float64(time.Second) / perSecond * 2 * f.float()))
	}
	requests.Wait()
	f.tally.requests = requested
	return f.tally
}

func (f *faultyService) intn(n int) int { f.mu.Lock(); defer f.mu.Unlock(); return f.rnd.IntN(n) }

func (f *faultyService) float() float64 { f.mu.Lock(); defer f.mu.Unlock(); return f.rnd.Float64() }

// request simulates one request at an entry node.
func (f *faultyService) request(entry int, repeatable bool) {
	start, b, exclude, passedBack, ran := time.Now(), f.balancers[entry], make(map[string]bool), 0, false
	for try := range 8 {
		now := time.Now()
		candidates := append([]placement.Candidate(nil), f.candidates...)
		if entry < len(candidates) {
			own := &candidates[entry]
			own.Local = true
			b.RecordLoad(own.Name, f.controllers[entry].Load(), now)
			b.RecordIntegrity(own.Name, f.integrity(entry), now)
		}
		trial := repeatable && try == 0
		c, ok := b.Choose(now, &placement.Request{
			ServiceTime: f.work, Objective: start.Add(4 * f.work), Deadline: start.Add(12 * f.work), SizeKiB: f.sizeKiB, Value: 1, Exclude: exclude,
			Reroutable: passedBack < 3, Repeatable: repeatable, Trial: trial,
		}, candidates)
		if !ok {
			break
		}
		i := int(c.Name[0] - 'a')
		req := &capacity.Request{ServiceTime: f.work, Repeatable: repeatable, Objective: start.Add(4 * f.work), Deadline: start.Add(12 * f.work)}
		if passedBack < 3 {
			req.AlternativeCost = c.AlternativeCost
		}
		if passedBack < 3 && !f.withoutReserve {
			req.SoundAlternative, req.SoundExtraCost, req.Trial = c.SoundAlternative, c.SoundExtraCost, trial
		}
		b.RequestSent(c.Name)
		time.Sleep(time.Millisecond / 4)
		permit, rejection := f.controllers[i].Acquire(context.Background(), req)
		malformed := false
		if permit != nil {
			time.Sleep(f.work)
			malformed = i < f.faulty && time.Now().Before(f.mendedAt) && f.intn(f.oneIn) == 0
			f.controllers[i].RecordIntegrity(c.Name, malformed)
			f.controllers[i].RecordResult(f.work, f.work, malformed)
			permit.Release()
		}
		b.RequestEnded(c.Name)
		now = time.Now()
		b.RecordLoad(c.Name, f.controllers[i].Load(), now)
		b.RecordIntegrity(c.Name, f.integrity(i), now)
		switch {
		case permit != nil:
			ran = true
			b.RecordResult(c.Name, malformed, now)
			f.record(i < f.faulty, malformed, repeatable)
			if !malformed || !repeatable {
				return
			}
			exclude[c.Name] = true
		case rejection.Reason == capacity.Slower || rejection.Reason == capacity.Reserved:
			passedBack++
		default:
			b.RecordRejection(c.Name, now)
			exclude[c.Name] = true
		}
	}
	if !ran {
		f.mu.Lock()
		f.tally.refused++
		f.mu.Unlock()
	}
}

// integrity returns the estimate that the node beside an upstream states.
func (f *faultyService) integrity(i int) integrity.Estimate {
	e := f.controllers[i].Integrity()
	if f.withoutReserve {
		e.Missing = 0
	}
	return e
}

func (f *faultyService) record(atFaulty, malformed, repeatable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, n := time.Now(), &f.tally
	count := func(all, part *int) {
		*all++
		if atFaulty {
			*part++
		}
	}
	switch {
	case now.Before(f.mendedAt):
		count(&n.before, &n.beforeAtFaulty)
	case now.After(f.end.Add(-lastPart)):
		count(&n.last, &n.lastAtFaulty)
	}
	if malformed {
		n.malformed++
		if !repeatable {
			n.lost++
		}
	}
}

// Guards against requests at an upstream that sends malformed responses while another one has room,
// against a well-formed upstream that gets more than it can take, and against a mended one without load.
func TestReserve(t *testing.T) {
	text, err := os.ReadFile("testdata/reserve/scenarios.txt")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		words := strings.Fields(line)
		if len(words) == 0 || words[0] == "#" {
			continue
		}
		t.Run(words[0], func(t *testing.T) { runReserveScenario(t, options(words[1:])) })
	}
}

func runReserveScenario(t *testing.T, o map[string]string) {
	t.Parallel()
	s := script{t: t}
	n := meanTally(t, o, false)
	t.Logf("malformed %.1f, lost %.1f, share %.3f, mended %.2f, refused %.4f", n.malformed, n.lost, n.share, n.mended, n.refused)
	if n.malformed > s.number(o["malformed"], math.Inf(1)) {
		t.Errorf("%.1f malformed responses, want at most %s", n.malformed, o["malformed"])
	}
	if n.lost > s.number(o["lost"], math.Inf(1)) {
		t.Errorf("%.1f requests lost, want at most %s", n.lost, o["lost"])
	}
	if n.share > s.number(o["share"], 1) {
		t.Errorf("the faulty upstreams got a share of %.3f, want at most %s", n.share, o["share"])
	}
	if o["same"] == "" && o["delay"] == "" {
		if n.refused > 0 {
			t.Errorf("a share of %.4f of the requests was refused", n.refused)
		}
		return
	}
	without := meanTally(t, o, true)
	t.Logf("without the reserve: share %.3f, mended %.2f, refused %.4f", without.share, without.mended, without.refused)
	if o["same"] != "" && math.Abs(n.share-without.share) > maxShareDifference {
		t.Errorf("the faulty upstreams got a share of %.3f, without the reserve %.3f", n.share, without.share)
	}
	if o["delay"] != "" && n.mended < without.mended-maxShareDifference {
		t.Errorf("the mended upstreams got a share of %.2f, without the reserve %.2f", n.mended, without.mended)
	}
	if n.refused > without.refused+0.001 {
		t.Errorf("a share of %.4f of the requests was refused, without the reserve %.4f", n.refused, without.refused)
	}
}

// reserveMeans are the means of a scenario over its seeds.
type reserveMeans struct {
	malformed, lost        float64
	share, mended, refused float64 // of the requests
}

func meanTally(t *testing.T, o map[string]string, withoutReserve bool) reserveMeans {
	s := script{t: t}
	var sum reserveTally
	seeds := s.number(o["seeds"], 5)
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			f := newFaultyService(t, o, seed+1)
			f.withoutReserve = withoutReserve
			n := f.run(s.number(o["rate"], 1))
			sum.requests, sum.refused = sum.requests+n.requests, sum.refused+n.refused
			sum.malformed, sum.lost = sum.malformed+n.malformed, sum.lost+n.lost
			sum.before, sum.beforeAtFaulty = sum.before+n.before, sum.beforeAtFaulty+n.beforeAtFaulty
			sum.last, sum.lastAtFaulty = sum.last+n.last, sum.lastAtFaulty+n.lastAtFaulty
		})
	}
	share := func(part, all int) float64 { return float64(part) / float64(all) }
	return reserveMeans{
		malformed: float64(sum.malformed) / seeds, lost: float64(sum.lost) / seeds,
		share: share(sum.beforeAtFaulty, sum.before), mended: share(sum.lastAtFaulty, sum.last), refused: share(sum.refused, sum.requests),
	}
}
