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

// slowdownFactor multiplies the service times of one upstream of each service in the scenario
// slowdown.
const slowdownFactor = "8"

// resetTimeout bounds the reset between two cells, which waits for the end of all cold starts.
const resetTimeout = 20 * time.Second

// resetDelay is the time for the last responses and load reports of the previous cell to arrive.
const resetDelay = 300 * time.Millisecond

// faultInjector injects the faults of the scenarios into one deployment.
type faultInjector struct {
	d         *deployment.Deployment
	configDir string // directory of the changed configuration
	outDomain string // failure domain that is taken out of service
}

// inject injects the fault of the scenario. begin and length are those of the measured part. A fault
// starts after a quarter of it. A slowdown or a failure domain out of service ends after three
// quarters, so that the start and the end of the fault are both measured.
func (f *faultInjector) inject(ctx context.Context, scenario string, begin time.Time, length time.Duration) error {
	if !pause.For(ctx, time.Until(begin.Add(length/4))) {
		return ctx.Err()
	}
	end := begin.Add(length * 3 / 4)
	switch scenario {
	case "steady":
		return nil
	case "slowdown":
		return f.slowDown(ctx, slowdownFactor, time.Until(end))
	case "lying":
		return f.reportFalseLoad(ctx)
	case "coldrestart":
		return f.restart(ctx)
	case "domain":
		if err := f.setDomainState(ctx, "out"); err != nil {
			return err
		}
		if !pause.For(ctx, time.Until(end)) {
			return ctx.Err()
		}
		return f.setDomainState(ctx, "in")
	default:
		return errors.Newf("unknown scenario %q", scenario)
	}
}

// reset ends slowdowns and false reports and waits until the cold starts of all upstreams are over.
func (f *faultInjector) reset(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, resetTimeout)
	defer cancel()
	for _, u := range f.d.OfKind(deployment.KindUpstream) {
		err := errors.Join(
			deployment.PostControl(ctx, u.Addr, "/control/slow", url.Values{"factor": {"1"}, "for": {"0s"}}),
			deployment.PostControl(ctx, u.Addr, "/control/report", url.Values{"load": {"true"}, "health": {"true"}}),
			f.d.WaitWarm(ctx, u),
		)
		if err != nil {
			return errors.Wrapf(err, "reset %s", u.Name)
		}
	}
	if !pause.For(ctx, resetDelay) {
		return ctx.Err()
	}
	return nil
}

// slowDown multiplies the service times of the first upstream of each service by factor, for the
// given length of time.
func (f *faultInjector) slowDown(ctx context.Context, factor string, length time.Duration) error {
	for _, u := range f.firstUpstreams() {
		form := url.Values{"factor": {factor}, "for": {length.String()}}
		if err := deployment.PostControl(ctx, u.Addr, "/control/slow", form); err != nil {
			return err
		}
	}
	return nil
}

// reportFalseLoad makes every second upstream report that it is idle and the others that they are
// busy, whatever their real load is.
func (f *faultInjector) reportFalseLoad(ctx context.Context) error {
	for i, u := range f.d.OfKind(deployment.KindUpstream) {
		report := []string{"idle", "busy"}[i%2]
		form := url.Values{"load": {report}, "health": {"up"}}
		if err := deployment.PostControl(ctx, u.Addr, "/control/report", form); err != nil {
			return err
		}
	}
	return nil
}

// restart kills the first upstream of each service and starts it again, in a cold start.
func (f *faultInjector) restart(ctx context.Context) error {
	for _, u := range f.firstUpstreams() {
		if err := f.d.Kill(ctx, u.Name); err != nil {
			return err
		}
		if err := f.d.Restart(u.Name); err != nil {
			return err
		}
	}
	return nil
}

// setDomainState takes the failure domain out of service or returns it, by a configuration change.
func (f *faultInjector) setDomainState(ctx context.Context, state string) error {
	if err := deployment.SetConfigKey(f.configDir, "domain "+f.outDomain, "state", state); err != nil {
		return err
	}
	changeID := fmt.Sprintf("compare-%s-%d", state, f.d.ConfigVersion)
	applied, err := f.d.Apply(ctx, f.configDir, f.d.ConfigVersion, changeID)
	if err != nil {
		return err
	}
	if applied.Outcome != "accepted" {
		return errors.Newf("change of the failure domain to %s not accepted: outcome=%s", state, applied.Outcome)
	}
	f.d.ConfigVersion = applied.Version
	return nil
}

// firstUpstreams returns the first upstream of each service.
func (f *faultInjector) firstUpstreams() []deployment.Instance {
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

// newFaultInjector copies the configuration of the site to the run directory, where setDomainState
// changes it.
func newFaultInjector(d *deployment.Deployment, siteConfig, outDomain string) (*faultInjector, error) {
	f := &faultInjector{d: d, configDir: filepath.Join(d.Run, "config"), outDomain: outDomain}
	return f, deployment.CopyConfig(siteConfig, f.configDir)
}
