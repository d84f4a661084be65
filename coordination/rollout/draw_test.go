package rollout_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/coordination/document"
	"github.com/mulberrylink/mulberrylink/coordination/rollout"
)

func candidates(olds, news int) []rollout.Upstream {
	var all []rollout.Upstream
	for i := range olds {
		all = append(all, rollout.Upstream{Name: fmt.Sprint("old-", i), Release: "v1", Slots: 6})
	}
	for i := range news {
		all = append(all, rollout.Upstream{Name: fmt.Sprint("new-", i), Release: "v2", Slots: 6})
	}
	return all
}

// count returns how many upstreams of each version are selected.
func count(all []rollout.Upstream, selected []bool) (olds, news int) {
	for i, s := range selected {
		switch {
		case s && all[i].Release == "v2":
			news++
		case s:
			olds++
		}
	}
	return olds, news
}

// Guards against requests that reach a version in a state or with a draw in which they must not.
func TestSelect(t *testing.T) {
	running, completed, back := document.RolloutRunning, document.RolloutCompleted, document.RolloutRolledBack
	for _, c := range []struct {
		name       string
		state      document.RolloutState
		share      int
		random     float64
		repeated   bool
		cautious   bool
		olds, news int
		change     func(all []rollout.Upstream)
		wantOld    int
		wantNew    int
	}{
		{name: "drawn for the old version", state: running, share: 50, random: 0.05, olds: 20, news: 20, wantOld: 20},
		{name: "drawn for the new version", state: running, share: 50, random: 0.049, olds: 20, news: 20, wantNew: 3},
		{name: "as many new upstreams as the share needs", state: running, share: 250, olds: 20, news: 20, wantNew: 5},
		{name: "few new upstreams carry the load of many old ones", state: running, share: 250, olds: 20, news: 8, wantNew: 5},
		{name: "repeated", state: running, share: 500, repeated: true, olds: 20, news: 20, wantOld: 20},
		{name: "full share", state: running, share: 1000, random: 0.999, repeated: true, olds: 20, news: 20, wantNew: 20},
		{name: "full share without a new upstream", state: running, share: 1000, olds: 20, wantOld: 20},
		{name: "no new upstream", state: running, share: 50, olds: 4, wantOld: 4},
		{name: "no old upstream, not trusted", state: running, share: 50, random: 0.9, news: 4},
		{name: "no old upstream, trusted", state: running, share: 500, random: 0.9, news: 4, wantNew: 3},
		{name: "cautious", state: running, share: 100, cautious: true, olds: 4, news: 4, wantOld: 4},
		{name: "all new upstreams cold", state: running, share: 50, olds: 4, news: 4, wantOld: 4, change: func(all []rollout.Upstream) {
			for i := range all {
				all[i].Cold = all[i].Release == "v2"
			}
		}},
		{name: "all new upstreams excluded", state: running, share: 50, olds: 4, news: 4, wantOld: 4, change: func(all []rollout.Upstream) {
			for i := range all {
				all[i].Excluded = all[i].Release == "v2"
			}
		}},
		{name: "unknown version", state: running, share: 50, random: 0.9, olds: 4, news: 4, wantOld: 3, change: func(all []rollout.Upstream) { all[0].Release = "" }},
		{name: "completed", state: completed, olds: 4, news: 4, wantNew: 4},
		{name: "completed, later replaced without an order", state: completed, olds: 4, wantOld: 4},
		{name: "completed, all excluded", state: completed, olds: 4, news: 1, wantNew: 1, change: func(all []rollout.Upstream) { all[4].Excluded = true }},
		{name: "rolled back", state: back, olds: 4, news: 4, wantOld: 4},
		{name: "rolled back, no other version", state: back, news: 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			all := candidates(c.olds, c.news)
			if c.change != nil {
				c.change(all)
			}
			draw := rollout.Draw{
				Order:  &document.Rollout{Service: "a", To: "v2", State: c.state, Share: c.share},
				Random: c.random, Repeated: c.repeated, Cautious: c.cautious,
			}
			olds, news := count(all, draw.Select(all))
			is.Equal(olds, c.wantOld)
			is.Equal(news, c.wantNew)
		})
	}
}

// Guards against entry nodes that spread the requests of an untrusted version over different upstreams:
// none of these would run at its later load.
func TestCanariesAreTheSameInAnyOrder(t *testing.T) {
	is := is.New(t)
	all := candidates(20, 20)
	draw := rollout.Draw{Order: &document.Rollout{Service: "a", To: "v2", Share: 100}}
	chosen := make(map[string]bool)
	for i, s := range draw.Select(all) {
		if s {
			chosen[all[i].Name] = true
		}
	}
	for i, j := 0, len(all)-1; i < j; i, j = i+1, j-1 {
		all[i], all[j] = all[j], all[i]
	}
	for i, s := range draw.Select(all) {
		is.Equal(s, chosen[all[i].Name])
	}
}
