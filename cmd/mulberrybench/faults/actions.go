package faults

import (
	"context"
	"fmt"
	"net/url"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/deployment"
)

// applyTimeout bounds applying one configuration change.
const applyTimeout = 10 * time.Second

// verbs maps the verb of a step to its action.
var verbs = map[string]func(r *run, ctx context.Context, s Step) error{
	"kill":     (*run).kill,
	"restart":  (*run).restart,
	"stop":     signalWith(syscall.SIGSTOP),
	"continue": signalWith(syscall.SIGCONT),
	"term":     signalWith(syscall.SIGTERM),
	"cut":      func(r *run, _ context.Context, s Step) error { return r.forEachRelay(s, (*relay).cut) },
	"heal":     func(r *run, _ context.Context, s Step) error { return r.forEachRelay(s, (*relay).heal) },
	"domain":   (*run).domain,
	"drain":    controlRequest("/control/drain"),
	"undrain":  controlRequest("/control/undrain"),
	"cold":     controlRequest("/control/cold"),
	"upload":   (*run).startUpload,
	"crash":    (*run).startCrash,
}

// targetName returns the name of the process that a step targets. It resolves the roles control
// leader and control other when the scenario uses one for the first time.
func (r *run) targetName(ctx context.Context, s Step) (string, error) {
	if s.Args[0] != "control" {
		return s.Args[0], nil
	}
	role := strings.Join(s.Args, " ")
	if r.controlRoles == nil {
		leader, err := r.d.Leader(ctx)
		if err != nil {
			return "", err
		}
		r.controlRoles = map[string]string{"control leader": leader}
		for _, host := range r.d.OfKind(deployment.KindControl) {
			if _, ok := r.controlRoles["control other"]; !ok && host.Name != leader {
				r.controlRoles["control other"] = host.Name
			}
		}
	}
	name, ok := r.controlRoles[role]
	if !ok {
		return "", errors.Newf("unknown role %q", role)
	}
	return name, nil
}

func (r *run) kill(ctx context.Context, s Step) error {
	name, err := r.targetName(ctx, s)
	if err != nil {
		return err
	}
	inst, err := r.d.Find(name)
	if err != nil {
		return err
	}
	if inst.Kind == deployment.KindUpstream {
		if stats, err := deployment.UpstreamStats(ctx, inst.Addr); err == nil {
			r.overloads += stats.Overloads
		}
	}
	r.endedProcesses[name], r.disruptedAddrs[inst.Addr] = true, true
	return r.d.Kill(ctx, name)
}

func (r *run) restart(ctx context.Context, s Step) error {
	name, err := r.targetName(ctx, s)
	if err != nil {
		return err
	}
	delete(r.endedProcesses, name)
	return r.d.Restart(name)
}

func signalWith(sig syscall.Signal) func(*run, context.Context, Step) error {
	return func(r *run, ctx context.Context, s Step) error {
		name, err := r.targetName(ctx, s)
		if err != nil {
			return err
		}
		inst, err := r.d.Find(name)
		if err != nil {
			return err
		}
		r.endedProcesses[name] = r.endedProcesses[name] || sig == syscall.SIGTERM
		r.disruptedAddrs[inst.Addr] = r.disruptedAddrs[inst.Addr] || sig == syscall.SIGSTOP
		return inst.Signal(r.Run, sig)
	}
}

func (r *run) forEachRelay(s Step, do func(*relay)) error {
	relays := r.relays[s.Args[0]]
	if len(relays) == 0 {
		return errors.Newf("the scenario has no relay statement for %s", s.Args[0])
	}
	for _, l := range relays {
		do(l)
	}
	return nil
}

// domain changes the state of a failure domain. It returns when the change is accepted, not when
// the nodes apply it.
func (r *run) domain(ctx context.Context, s Step) error {
	if len(s.Args) != 2 {
		return errors.New("domain needs a name and a state")
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	if err := deployment.SetConfigKey(r.configDir, "domain "+s.Args[0], "state", s.Args[1]); err != nil {
		return err
	}
	applied, err := r.d.Apply(ctx, r.configDir, r.d.ConfigVersion, fmt.Sprintf("faults-%d", r.d.ConfigVersion))
	if err != nil {
		return err
	}
	if applied.Outcome != "accepted" {
		return errors.Newf("change of domain %s to %s not accepted: outcome=%s", s.Args[0], s.Args[1], applied.Outcome)
	}
	r.d.ConfigVersion = applied.Version
	return nil
}

func controlRequest(path string) func(*run, context.Context, Step) error {
	return func(r *run, ctx context.Context, s Step) error {
		inst, err := r.d.Find(s.Args[0])
		if err != nil {
			return err
		}
		form := url.Values{}
		if len(s.Args) > 1 && s.Args[1] == "silent" {
			form.Set("announced", "false")
		}
		return deployment.PostControl(ctx, inst.Addr, path, form)
	}
}
