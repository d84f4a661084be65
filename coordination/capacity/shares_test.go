package capacity_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberrylink/mulberrylink/coordination/capacity"
)

// accountLoad is the load of a large and 20 small client accounts with equal requests, at an upstream of 9
// slots. Each small account sends perSecond requests, the large one 20 times as many.
func accountLoad(perSecond float64) []requestClass {
	search := requestClass{perSecond: 20 * perSecond, serviceTime: 220 * time.Millisecond, objective: 600 * time.Millisecond, deadline: 4 * time.Second, accounts: []string{"large"}}
	load := []requestClass{search}
	for i := range 20 {
		search.perSecond, search.accounts = perSecond, []string{fmt.Sprint("small", i)}
		load = append(load, search)
	}
	return load
}

// TestAccountsShareAnOverloadedUpstream guards against a large client account that takes the capacity of
// small ones, and against small ones that leave the large one nothing, at an upstream with up to
// 2.5 times its load. Each account must get at least a quarter of the mean share of what it asks for, and
// the small ones a larger share than the large one.
func TestAccountsShareAnOverloadedUpstream(t *testing.T) {
	const slots, capacityPerSecond = 9, 9 / 0.22
	for i, overload := range []float64{1.2, 1.7, 2.5} {
		out := simulate(t, slots, accountLoad(overload*capacityPerSecond/40), 60*time.Second, uint64(i))
		least, sum := 1.0, 0.0
		for i := range out {
			least, sum = min(least, share(out[i])), sum+share(out[i])
		}
		mean, small := sum/float64(len(out)), (sum-share(out[0]))/20
		t.Logf("%.1f times the capacity: large account %.2f, mean of the small ones %.2f, least %.2f", overload, share(out[0]), small, least)
		if least < mean/4 {
			t.Errorf("%.1f times the capacity: an account got %.2f of what it asked for, want at least a quarter of the mean of %.2f", overload, least, mean)
		}
		if small < share(out[0]) {
			t.Errorf("%.1f times the capacity: the large account got %.2f, the small ones %.2f", overload, share(out[0]), small)
		}
	}
}

// kindsOfA are the kinds of requests of a deployment with 73 client accounts, with their shares of the load,
// by priority: deposits, searches and waitlist entries.
var kindsOfA = []requestClass{
	{perSecond: 68.0 / 385, serviceTime: 150 * time.Millisecond, priority: 0, objective: 400 * time.Millisecond, deadline: 3 * time.Second},
	{perSecond: 217.0 / 385, serviceTime: 220 * time.Millisecond, priority: 1, objective: 600 * time.Millisecond, deadline: 4 * time.Second},
	{perSecond: 99.0 / 385, serviceTime: 290 * time.Millisecond, priority: 2, objective: 1500 * time.Millisecond, deadline: 5 * time.Second},
}

// loadOfA returns the load of 73 accounts, three of which send ten times as many requests as the others.
func loadOfA(perSecond float64, accounts bool) []requestClass {
	var names []string
	for i := range 73 {
		for range 1 + 9*max(0, min(1, 3-i)) {
			names = append(names, fmt.Sprint("a", i))
		}
	}
	load := slices.Clone(kindsOfA)
	for i := range load {
		load[i].perSecond *= perSecond
		if accounts {
			load[i].accounts = names
		}
	}
	return load
}

// TestAccountsKeepKindsInTime guards against sharing between accounts that makes requests late, or that
// weakens priorities, at an upstream with 1.3 times its load. Requests must meet their objective as often as
// without accounts, up to 1 in 20, and urgent kinds more often than the others.
func TestAccountsKeepKindsInTime(t *testing.T) {
	const slots, perSecond = 9, 1.3 * 9 / 0.226
	var kinds [2][]outcome
	for i, accounts := range []bool{false, true} {
		kinds[i] = make([]outcome, len(kindsOfA))
		for j, o := range simulate(t, slots, loadOfA(perSecond, accounts), 60*time.Second, 1) {
			kinds[i][j].add(o)
		}
		t.Logf("accounts %v: in time %.3f, %.3f, %.3f", accounts, share(kinds[i][0]), share(kinds[i][1]), share(kinds[i][2]))
	}
	for j := range kindsOfA {
		if with, without := share(kinds[1][j]), share(kinds[0][j]); with < without-0.05 {
			t.Errorf("kind %d: %.3f in time with accounts, %.3f without", j, with, without)
		}
		if j > 0 && share(kinds[1][j]) > share(kinds[1][j-1]) {
			t.Errorf("kind %d is in time more often than the more urgent one", j)
		}
	}
}

// TestAccountsWhoseCallersReturn guards against refused callers of a large account that return and go before the
// new requests of small ones. At up to 2.5 times the capacity, the account that gets the least must get a
// quarter of the mean share, and the small ones a larger share than the large one.
func TestAccountsWhoseCallersReturn(t *testing.T) {
	class := requestClass{serviceTime: 220 * time.Millisecond, objective: 600 * time.Millisecond, deadline: 4 * time.Second}
	for _, overload := range []float64{1.2, 1.7, 2.5} {
		tallies := make([]returnTally, 21) // the first account sends half of the requests
		synctest.Test(t, func(_ *testing.T) {
			rng := rand.New(rand.NewPCG(1, 1))
			c := capacity.New(time.Now)
			c.Open(capacity.Upstream{Slots: 9})
			var mu sync.Mutex
			var callers sync.WaitGroup
			for at := 0.0; at < 30; at += rng.ExpFloat64() / (overload * 9 / 0.22) {
				i := max(0, rng.IntN(40)-19)
				r := returningCaller{c: c, class: &class, promises: true, account: fmt.Sprint(i)}
				took := time.Duration(float64(class.serviceTime) * max(0.3, 1+0.3*rng.NormFloat64()))
				callers.Go(func() {
					time.Sleep(time.Duration(at * float64(time.Second)))
					r.call(took, &mu, &tallies[i])
				})
			}
			callers.Wait()
		})
		served := func(n *returnTally) float64 { return float64(n.inTime+n.late) / float64(n.sent) }
		least, sum := 1.0, 0.0
		for i := range tallies {
			least, sum = min(least, served(&tallies[i])), sum+served(&tallies[i])
		}
		large, small := served(&tallies[0]), (sum-served(&tallies[0]))/20
		t.Logf("%.1f times the capacity: large account %.2f, mean of the small ones %.2f, least %.2f; large %+v", overload, large, small, least, tallies[0])
		if least < sum/21/4 || small < large {
			t.Errorf("%.1f times the capacity: the large account got %.2f, the small ones %.2f, the least %.2f", overload, large, small, least)
		}
	}
}
