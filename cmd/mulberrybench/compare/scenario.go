package compare

import (
	"context"
	"fmt"
	"net/url"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/deployment"
	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/pause"
)

// slowFactor is the sudden slowdown of one upstream of each service.
const slowFactor = "8"

// settleTimeout bounds the wait for warm upstreams between two cells.
const settleTimeout = 20 * time.Second

// settlePause lets the last answers and load reports of a cell pass.
const settlePause = 300 * time.Millisecond

// faults carries out the faults of one cell at their times.
type faults struct {
	d      *deployment.Deployment
	config string // directory of the changed configuration
	out    string // failure domain that leaves and returns
}

// inject runs the scenario. The fault lasts from a quarter to three quarters of
// the measured part, so that its begin and its end both count.
func (f *faults) inject(ctx context.Context, scenario string, begin time.Time, length time.Duration) error {
	if !pause.For(ctx, time.Until(begin.Add(length/4))) {
		return ctx.Err()
	}
	end := begin.Add(length * 3 / 4)
	switch scenario {
	case "steady":
		return nil
	case "slowdown":
		return f.slow(ctx, slowFactor, time.Until(end))
	case "lying":
		return f.lie(ctx)
	case "coldrestart":
		return f.restart(ctx)
	case "domain":
		if err := f.domain(ctx, "out"); err != nil {
			return err
		}
		if !pause.For(ctx, time.Until(end)) {
			return ctx.Err()
		}
		return f.domain(ctx, "in")
	default:
		return errors.Newf("unknown scenario %q", scenario)
	}
}

// settle takes all faults back and waits until every upstream is warm.
func (f *faults) settle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for _, u := range f.d.OfKind(deployment.KindUpstream) {
		err := errors.Join(
			deployment.PostControl(ctx, u.Addr, "/control/slow", url.Values{"factor": {"1"}, "for": {"0s"}}),
			deployment.PostControl(ctx, u.Addr, "/control/report", url.Values{"load": {"true"}, "health": {"true"}}),
			f.d.WaitWarm(ctx, u),
		)
		if err != nil {
			return errors.Wrapf(err, "settle %s", u.Name)
		}
	}
	if !pause.For(ctx, settlePause) {
		return ctx.Err()
	}
	return nil
}

// slow slows the first upstream of each service down.
func (f *faults) slow(ctx context.Context, factor string, length time.Duration) error {
	for _, u := range f.firsts() {
		form := url.Values{"factor": {factor}, "for": {length.String()}}
		if err := deployment.PostControl(ctx, u.Addr, "/control/slow", form); err != nil {
			return err
		}
	}
	return nil
}

// lie makes every second upstream report that it is idle and the others that
// they are busy.
func (f *faults) lie(ctx context.Context) error {
	for i, u := range f.d.OfKind(deployment.KindUpstream) {
		report := []string{"idle", "busy"}[i%2]
		form := url.Values{"load": {report}, "health": {"up"}}
		if err := deployment.PostControl(ctx, u.Addr, "/control/report", form); err != nil {
			return err
		}
	}
	return nil
}

// restart kills the first upstream of each service and starts it again.
func (f *faults) restart(ctx context.Context) error {
	for _, u := range f.firsts() {
		if err := f.d.Kill(ctx, u.Name); err != nil {
			return err
		}
		if err := f.d.Restart(u.Name); err != nil {
			return err
		}
	}
	return nil
}

func (f *faults) domain(ctx context.Context, state string) error {
	if err := deployment.SetConfigKey(f.config, "domain "+f.out, "state", state); err != nil {
		return err
	}
	id := fmt.Sprintf("compare-%s-%d", state, f.d.ConfigVersion)
	a, err := f.d.Apply(ctx, f.config, f.d.ConfigVersion, id)
	if err != nil {
		return err
	}
	if a.Outcome != "accepted" {
		return errors.Newf("failure domain %s: outcome=%s", state, a.Outcome)
	}
	f.d.ConfigVersion = a.Version
	return nil
}

// firsts returns the first upstream of each service.
func (f *faults) firsts() []deployment.Instance {
	seen := make(map[string]bool)
	var all []deployment.Instance
	for _, u := range f.d.OfKind(deployment.KindUpstream) {
		if !seen[u.Service()] {
			seen[u.Service()] = true
			all = append(all, u)
		}
	}
	return all
}

func newFaults(d *deployment.Deployment, site, out string) (*faults, error) {
	f := &faults{d: d, config: filepath.Join(d.Run, "config"), out: out}
	return f, deployment.CopyConfig(site, f.config)
}
