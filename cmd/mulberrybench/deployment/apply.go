package deployment

import (
	"context"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/journal"
)

// firstChange identifies the change that a start applies. A later start of the
// same run directory sends it again and gets the first answer.
const firstChange = "up-1"

// ApplyResult is the answer to a change.
type ApplyResult struct {
	Outcome string
	Version uint64
}

// ConfigFiles returns the base file and the overlays of a directory.
func ConfigFiles(dir string) (base string, overlays []string, err error) {
	overlays, err = filepath.Glob(filepath.Join(dir, "site-*.ini"))
	return filepath.Join(dir, "base.ini"), overlays, errors.Wrap(err, "list overlays")
}

// Apply sends the configuration in the directory as a change of the version.
func (d *Deployment) Apply(ctx context.Context, dir string, version uint64, change string) (ApplyResult, error) {
	base, overlays, err := ConfigFiles(dir)
	if err != nil {
		return ApplyResult{}, err
	}
	args := []string{"apply", "--control", d.controlAddrs(), "--base", base}
	for _, o := range overlays {
		args = append(args, "--overlay", o)
	}
	args = append(args, "--version", strconv.FormatUint(version, 10), "--change", change)
	cmd := exec.CommandContext(ctx, filepath.Join(d.Bin, "mulberryctl"), args...)
	var errText strings.Builder
	cmd.Stderr = &errText
	out, runErr := cmd.Output()
	a, err := parseApplied(string(out))
	if err != nil {
		return a, errors.Wrapf(errors.Join(runErr, err), "mulberryctl apply: %s%s", out, errText.String())
	}
	return a, nil
}

func parseApplied(out string) (ApplyResult, error) {
	var a ApplyResult
	line, _, _ := strings.Cut(out, "\n")
	v, err := journal.ParseFields(line)
	if err != nil {
		return a, err
	}
	if a.Outcome = v["outcome"]; a.Outcome == "" {
		return a, errors.Newf("no outcome in %q", line)
	}
	if v["version"] == "" {
		return a, nil
	}
	a.Version, err = strconv.ParseUint(v["version"], 10, 64)
	return a, errors.Wrap(err, "version")
}

// applyFirst sends the configuration of the site until a quorum answers. A
// conflict means that this run directory already holds later changes, which
// stay active.
func (d *Deployment) applyFirst(ctx context.Context) error {
	var last ApplyResult
	err := poll(ctx, func() error {
		a, err := d.Apply(ctx, d.Config, 0, firstChange)
		last = a
		if err == nil && a.Outcome == "unavailable" {
			err = errors.New("apply: no quorum")
		}
		return err
	})
	if err != nil {
		return err
	}
	if last.Outcome == "invalid" {
		return errors.Newf("the configuration in %s is not valid", d.Config)
	}
	d.ConfigVersion = last.Version
	return nil
}

func (d *Deployment) controlAddrs() string {
	var addrs []string
	for _, u := range d.OfKind(KindControl) {
		addrs = append(addrs, u.Addr)
	}
	return strings.Join(addrs, ",")
}
