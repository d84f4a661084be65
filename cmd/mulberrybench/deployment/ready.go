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

// requestTimeout bounds one HTTP request to a process of the deployment.
const requestTimeout = 2 * time.Second

// errExited makes poll return at once, because a process that has exited never becomes ready.
var errExited = errors.New("has exited")

// versionField matches the configuration version in a response of /version.
var versionField = regexp.MustCompile(`\bconfig=(\d+)\b`)

// waitReady waits until every process of the given kinds is ready.
func (d *Deployment) waitReady(ctx context.Context, kinds ...string) error {
	for _, inst := range d.Instances {
		if !slices.Contains(kinds, inst.Kind) {
			continue
		}
		err := poll(ctx, func() error { return d.checkReady(ctx, inst) })
		if err != nil {
			return errors.Wrapf(err, "%s is not ready, see %s", inst.Name, filepath.Join(d.Run, "log", inst.Name+".log"))
		}
	}
	return nil
}

func (d *Deployment) checkReady(ctx context.Context, inst Instance) error {
	if d.hasExited(inst.PID) {
		return errors.Wrapf(errExited, "process %d", inst.PID)
	}
	target := "http://" + inst.AdminAddr + "/ready"
	if inst.Kind == KindUpstream {
		target = "http://" + inst.Addr + "/control/stats"
	}
	_, err := get(ctx, target)
	return err
}

// WaitConfigVersion waits until at least the given configuration version is active on every node,
// and returns how long that took.
func (d *Deployment) WaitConfigVersion(ctx context.Context, version uint64) (time.Duration, error) {
	begin := time.Now()
	for _, node := range d.OfKind(KindNode) {
		err := poll(ctx, func() error {
			active, err := NodeConfigVersion(ctx, node.AdminAddr)
			if err == nil && active < version {
				err = errors.Newf("%s has configuration version %d, not %d", node.Name, active, version)
			}
			return err
		})
		if err != nil {
			return 0, err
		}
	}
	return time.Since(begin), nil
}

// NodeConfigVersion returns the configuration version that is active on a node.
func NodeConfigVersion(ctx context.Context, adminAddr string) (uint64, error) {
	body, err := get(ctx, "http://"+adminAddr+"/version")
	if err != nil {
		return 0, err
	}
	m := versionField.FindSubmatch(body)
	if m == nil {
		return 0, errors.Newf("no configuration version in the response %q of %s", body, adminAddr)
	}
	return strconv.ParseUint(string(m[1]), 10, 64)
}

func get(ctx context.Context, target string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "send request")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err != nil {
		return nil, errors.Wrap(err, "read response")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("%s responded with %s: %s", target, resp.Status, body)
	}
	return body, nil
}

// UpstreamStats returns the counters of a simulated upstream.
func UpstreamStats(ctx context.Context, addr string) (upstream.Stats, error) {
	var s upstream.Stats
	body, err := get(ctx, "http://"+addr+"/control/stats")
	if err != nil {
		return s, err
	}
	return s, errors.Wrap(json.Unmarshal(body, &s), "decode upstream counters")
}

// NodeMetric returns the value of a metric of a node.
func NodeMetric(ctx context.Context, adminAddr, name string) (int, error) {
	body, err := get(ctx, "http://"+adminAddr+"/metrics")
	if err != nil {
		return 0, err
	}
	for line := range strings.SplitSeq(string(body), "\n") {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			return strconv.Atoi(value)
		}
	}
	return 0, errors.Newf("%s has no metric %s", adminAddr, name)
}

// WaitWarm waits until the cold start of an upstream is over.
func (d *Deployment) WaitWarm(ctx context.Context, u Instance) error {
	return poll(ctx, func() error {
		s, err := UpstreamStats(ctx, u.Addr)
		if err == nil && s.Cold {
			err = errors.Newf("%s is still in its cold start", u.Name)
		}
		return err
	})
}

// WaitAllWarm waits until the cold starts of all upstreams are over.
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
