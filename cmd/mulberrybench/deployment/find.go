package deployment

import (
	"context"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/journal"
)

// Find returns the named process.
func (d *Deployment) Find(name string) (Instance, error) {
	for _, u := range d.Instances {
		if u.Name == name {
			return u, nil
		}
	}
	return Instance{}, errors.Newf("no process %q", name)
}

// Leader returns the name of the control host that leads.
func (d *Deployment) Leader(ctx context.Context) (string, error) {
	cmd := exec.CommandContext(ctx, filepath.Join(d.Bin, "mulberryctl"), "status", "--control", d.controlAddrs())
	out, err := cmd.Output()
	if err != nil {
		return "", errors.Wrap(err, "ask for the leader")
	}
	line, _, _ := strings.Cut(string(out), "\n")
	v, err := journal.ParseFields(line)
	if err != nil {
		return "", errors.Wrap(err, "ask for the leader")
	}
	for _, u := range d.OfKind(KindControl) {
		if u.Addr == v["leader"] || v["leading"] == "true" && u.Name == v["host"] {
			return u.Name, nil
		}
	}
	return "", errors.Newf("no control host leads: %q", line)
}
