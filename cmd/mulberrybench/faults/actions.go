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

// applyTimeout bounds one change of the configuration.
const applyTimeout = 10 * time.Second

// verbs are the actions of steps.
var verbs = map[string]func(r *run, ctx context.Context, s Step) error{
	"kill":     (*run).kill,
	"restart":  (*run).restart,
	"stop":     signalWith(syscall.SIGSTOP),
	"continue": signalWith(syscall.SIGCONT),
	"term":     signalWith(syscall.SIGTERM),
	"cut":      func(r *run, _ context.Context, s Step) error { return r.relayed(s, (*relay).cut) },
	"heal":     func(r *run, _ context.Context, s Step) error { return r.relayed(s, (*relay).heal) },
	"domain":   (*run).domain,
	"drain":    command("/control/drain"),
	"undrain":  command("/control/undrain"),
	"cold":     command("/control/cold"),
	"upload":   (*run).startUpload,
	"crash":    (*run).startCrash,
}

// target returns the name of the process that a step names.
func (r *run) target(ctx context.Context, s Step) (string, error) {
	if s.Args[0] != "control" {
		return s.Args[0], nil
	}
	role := strings.Join(s.Args, " ")
	if r.roles == nil {
		leader, err := r.d.Leader(ctx)
		if err != nil {
			return "", err
		}
		r.roles = map[string]string{"control leader": leader}
		for _, u := range r.d.OfKind(deployment.KindControl) {
			if _, ok := r.roles["control other"]; !ok && u.Name != leader {
				r.roles["control other"] = u.Name
			}
		}
	}
	name, ok := r.roles[role]
	if !ok {
		return "", errors.Newf("unknown role %q", role)
	}
	return name, nil
}

func (r *run) kill(ctx context.Context, s Step) error {
	name, err := r.target(ctx, s)
	if err != nil {
		return err
	}
	u, err := r.d.Find(name)
	if err != nil {
		return err
	}
	if u.Kind == deployment.KindUpstream {
		if stats, err := deployment.UpstreamStats(ctx, u.Addr); err == nil {
			r.falls += stats.Overloads
		}
	}
	r.down[name], r.hit[u.Addr] = true, true
	return r.d.Kill(ctx, name)
}

func (r *run) restart(ctx context.Context, s Step) error {
	name, err := r.target(ctx, s)
	if err != nil {
		return err
	}
	delete(r.down, name)
	return r.d.Restart(name)
}

func signalWith(sig syscall.Signal) func(*run, context.Context, Step) error {
	return func(r *run, ctx context.Context, s Step) error {
		name, err := r.target(ctx, s)
		if err != nil {
			return err
		}
		u, err := r.d.Find(name)
		if err != nil {
			return err
		}
		r.down[name] = r.down[name] || sig == syscall.SIGTERM
		r.hit[u.Addr] = r.hit[u.Addr] || sig == syscall.SIGSTOP
		return u.Signal(r.Run, sig)
	}
}

func (r *run) relayed(s Step, do func(*relay)) error {
	relays := r.relays[s.Args[0]]
	if len(relays) == 0 {
		return errors.Newf("no relay before %s", s.Args[0])
	}
	for _, l := range relays {
		do(l)
	}
	return nil
}

// domain applies a change and returns when it is accepted, not when it is
// active.
func (r *run) domain(ctx context.Context, s Step) error {
	if len(s.Args) != 2 {
		return errors.New("domain needs a name and a state")
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	if err := deployment.SetConfigKey(r.config, "domain "+s.Args[0], "state", s.Args[1]); err != nil {
		return err
	}
	a, err := r.d.Apply(ctx, r.config, r.d.ConfigVersion, fmt.Sprintf("faults-%d", r.d.ConfigVersion))
	if err != nil {
		return err
	}
	if a.Outcome != "accepted" {
		return errors.Newf("domain %s %s: outcome=%s", s.Args[0], s.Args[1], a.Outcome)
	}
	r.d.ConfigVersion = a.Version
	return nil
}

func command(path string) func(*run, context.Context, Step) error {
	return func(r *run, ctx context.Context, s Step) error {
		u, err := r.d.Find(s.Args[0])
		if err != nil {
			return err
		}
		form := url.Values{}
		if len(s.Args) > 1 && s.Args[1] == "silent" {
			form.Set("announced", "false")
		}
		return deployment.PostControl(ctx, u.Addr, path, form)
	}
}
