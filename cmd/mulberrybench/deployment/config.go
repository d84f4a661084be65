package deployment

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// CopyConfig copies the base file and the overlays of a site to another directory, where a run can
// change them.
func CopyConfig(source, target string) error {
	base, overlays, err := ConfigFiles(source)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(target, 0o755); err != nil {
		return errors.Wrap(err, "copy configuration")
	}
	for _, f := range append(overlays, base) {
		data, err := os.ReadFile(f)
		if err != nil {
			return errors.Wrap(err, "copy configuration")
		}
		if err := os.WriteFile(filepath.Join(target, filepath.Base(f)), data, 0o644); err != nil {
			return errors.Wrap(err, "copy configuration")
		}
	}
	return nil
}

// SetConfigKey sets one key of the configuration in dir. It edits the last overlay that already has
// the section, or the first overlay if none has it.
func SetConfigKey(dir, section, key, value string) error {
	_, overlays, err := ConfigFiles(dir)
	if err != nil || len(overlays) == 0 {
		return errors.Newf("no overlays in %s", dir)
	}
	target := overlays[0]
	for _, f := range overlays {
		file, err := ini.Load(f)
		if err != nil {
			return errors.Wrap(err, "read overlay")
		}
		if file.HasSection(section) {
			target = f
		}
	}
	file, err := ini.Load(target)
	if err != nil {
		return errors.Wrap(err, "read overlay")
	}
	file.Section(section).Key(key).SetValue(value)
	return errors.Wrap(file.SaveTo(target), "write overlay")
}

// PostControl posts a form to a control endpoint of a simulated upstream.
func PostControl(ctx context.Context, addr, path string, form url.Values) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, strings.NewReader(form.Encode()))
	if err != nil {
		return errors.Wrap(err, "create control request")
	}
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "send control request")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
		return errors.Newf("%s%s responded with %s: %s", addr, path, resp.Status, text)
	}
	return nil
}
