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

// initialChangeID identifies the configuration change that a start applies. A later start in the
// same run directory sends the same change again and gets the response to the first one.
const initialChangeID = "up-1"

// ApplyResult is the result of applying a configuration change. Version is 0 if mulberryctl printed
// none.
type ApplyResult struct {
	Outcome string
	Version uint64
}

// ConfigFiles returns the paths of the base file and of the overlays in a directory.
func ConfigFiles(dir string) (base string, overlays []string, err error) {
	overlays, err = filepath.Glob(filepath.Join(dir, "site-*.ini"))
	return filepath.Join(dir, "base.ini"), overlays, errors.Wrap(err, "list overlays")
}

// Apply submits the configuration in dir as a change that is based on the given version.
func (d *Deployment) Apply(ctx context.Context, dir string, version uint64, changeID string) (ApplyResult, error) {
	base, overlays, err := ConfigFiles(dir)
	if err != nil {
		return ApplyResult{}, err
	}
	args := []string{"apply", "--control", d.controlAddrs(), "--base", base}
	for _, overlay := range overlays {
		args = append(args, "--overlay", overlay)
	}
	args = append(args, "--version", strconv.FormatUint(version, 10), "--change", changeID)
	cmd := exec.CommandContext(ctx, filepath.Join(d.Bin, "mulberryctl"), args...)
	var stderr strings.Builder
	cmd.Stderr = &stderr
	out, runErr := cmd.Output()
	applied, err := parseApplyResult(string(out))
	if err != nil {
		return applied, errors.Wrapf(errors.Join(runErr, err), "mulberryctl apply: %s%s", out, stderr.String())
	}
	return applied, nil
}

func parseApplyResult(out string) (ApplyResult, error) {
	var applied ApplyResult
	line, _, _ := strings.Cut(out, "\n")
	fields, err := journal.ParseFields(line)
	if err != nil {
		return applied, err
	}
	if applied.Outcome = fields["outcome"]; applied.Outcome == "" {
		return applied, errors.Newf("no outcome in %q", line)
	}
	if fields["version"] == "" {
		return applied, nil
	}
	applied.Version, err = strconv.ParseUint(fields["version"], 10, 64)
	return applied, errors.Wrap(err, "parse version")
}

// applyInitial submits the configuration of the site until a quorum responds. A conflict means that
// the run directory already holds later changes; they stay active.
func (d *Deployment) applyInitial(ctx context.Context) error {
	var last ApplyResult
	err := poll(ctx, func() error {
		applied, err := d.Apply(ctx, d.Config, 0, initialChangeID)
		last = applied
		if err == nil && applied.Outcome == "unavailable" {
			err = errors.New("apply initial configuration: no quorum")
		}
		return err
	})
	if err != nil {
		return err
	}
	if last.Outcome == "invalid" {
		return errors.Newf("configuration in %s is not valid", d.Config)
	}
	d.ConfigVersion = last.Version
	return nil
}

func (d *Deployment) controlAddrs() string {
	var addrs []string
	for _, host := range d.OfKind(KindControl) {
		addrs = append(addrs, host.Addr)
	}
	return strings.Join(addrs, ",")
}
