package deployment

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/upstream"
)

// askTimeout bounds one question to a process.
const askTimeout = 2 * time.Second

// errEnded ends the wait for a process that will never be ready.
var errEnded = errors.New("has ended")

// versionField finds the configuration version in an answer of /version.
var versionField = regexp.MustCompile(`\bconfig=(\d+)\b`)

// waitReady waits until every process of the kinds is ready.
func (d *Deployment) waitReady(ctx context.Context, kinds ...string) error {
	for _, u := range d.Instances {
		if !slices.Contains(kinds, u.Kind) {
			continue
		}
		err := poll(ctx, func() error { return d.ready(ctx, u) })
		if err != nil {
			return errors.Wrapf(err, "%s is not ready, see %s", u.Name, filepath.Join(d.Run, "log", u.Name+".log"))
		}
	}
	return nil
}

func (d *Deployment) ready(ctx context.Context, u Instance) error {
	if d.gone(u.PID) {
		return errors.Wrapf(errEnded, "process %d", u.PID)
	}
	target := "http://" + u.AdminAddr + "/ready"
	if u.Kind == KindUpstream {
		target = "http://" + u.Addr + "/control/stats"
	}
	_, err := ask(ctx, target)
	return err
}

// WaitConfigVersion waits until every node that runs has at least the version and
// returns how long that took.
func (d *Deployment) WaitConfigVersion(ctx context.Context, version uint64) (time.Duration, error) {
	begin := time.Now()
	for _, u := range d.OfKind(KindNode) {
		err := poll(ctx, func() error {
			have, err := NodeConfigVersion(ctx, u.AdminAddr)
			if err == nil && have < version {
				err = errors.Newf("%s has version %d, not %d", u.Name, have, version)
			}
			return err
		})
		if err != nil {
			return 0, err
		}
	}
	return time.Since(begin), nil
}

// NodeConfigVersion asks a node for its active configuration version.
func NodeConfigVersion(ctx context.Context, admin string) (uint64, error) {
	body, err := ask(ctx, "http://"+admin+"/version")
	if err != nil {
		return 0, err
	}
	m := versionField.FindSubmatch(body)
	if m == nil {
		return 0, errors.Newf("no version in the answer %q of %s", body, admin)
	}
	return strconv.ParseUint(string(m[1]), 10, 64)
}

func ask(ctx context.Context, target string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, errors.Wrap(err, "ask")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "ask")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err != nil {
		return nil, errors.Wrap(err, "ask")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("%s answered %s: %s", target, resp.Status, body)
	}
	return body, nil
}

// UpstreamStats asks a simulated upstream for its counters.
func UpstreamStats(ctx context.Context, addr string) (upstream.Stats, error) {
	var s upstream.Stats
	body, err := ask(ctx, "http://"+addr+"/control/stats")
	if err != nil {
		return s, err
	}
	return s, errors.Wrap(json.Unmarshal(body, &s), "counters of upstream")
}

// NodeMetric asks a node for one of its metrics.
func NodeMetric(ctx context.Context, admin, name string) (int, error) {
	body, err := ask(ctx, "http://"+admin+"/metrics")
	if err != nil {
		return 0, err
	}
	for line := range strings.SplitSeq(string(body), "\n") {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			return strconv.Atoi(value)
		}
	}
	return 0, errors.Newf("%s has no metric %s", admin, name)
}

// WaitWarm waits until an upstream is out of its cold start.
func (d *Deployment) WaitWarm(ctx context.Context, u Instance) error {
	return poll(ctx, func() error {
		s, err := UpstreamStats(ctx, u.Addr)
		if err == nil && s.Cold {
			err = errors.Newf("%s is still in its cold start", u.Name)
		}
		return err
	})
}

// WaitAllWarm waits until no upstream is in its cold start.
func (d *Deployment) WaitAllWarm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, u := range d.OfKind(KindUpstream) {
		if err := d.WaitWarm(ctx, u); err != nil {
			return err
		}
	}
	return nil
}
