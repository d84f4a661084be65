package deployment

import (
	"context"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/journal"
)

// Find returns the process with the given name.
func (d *Deployment) Find(name string) (Instance, error) {
	for _, inst := range d.Instances {
		if inst.Name == name {
			return inst, nil
		}
	}
	return Instance{}, errors.Newf("no process %q", name)
}

// Leader returns the name of the control host that is the current leader.
func (d *Deployment) Leader(ctx context.Context) (string, error) {
	cmd := exec.CommandContext(ctx, filepath.Join(d.Bin, "mulberryctl"), "status", "--control", d.controlAddrs())
	out, err := cmd.Output()
	if err != nil {
		return "", errors.Wrap(err, "run mulberryctl status")
	}
	line, _, _ := strings.Cut(string(out), "\n")
	fields, err := journal.ParseFields(line)
	if err != nil {
		return "", errors.Wrap(err, "parse output of mulberryctl status")
	}
	for _, host := range d.OfKind(KindControl) {
		if host.Addr == fields["leader"] || fields["leading"] == "true" && host.Name == fields["host"] {
			return host.Name, nil
		}
	}
	return "", errors.Newf("no control host is the leader: %q", line)
}
