package faults

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/deployment"
	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/load"
	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/pause"
	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/upstream"
)

// uploadTimeout is the timeout of an upload in addition to the time over which it is sent.
const uploadTimeout = 10 * time.Second

// uploadChunkBytes is the maximum size of one read from the body of an upload.
const uploadChunkBytes = 64 << 10

// lookupTimeout bounds one attempt of a lookup.
const lookupTimeout = 5 * time.Second

// startUpload starts a long upload concurrently with the load. The scenario fails unless the
// upstream that the step names stores it completely.
func (r *run) startUpload(ctx context.Context, s Step) error {
	size, err1 := strconv.Atoi(s.Options["bytes"])
	over, err2 := time.ParseDuration(s.Options["over"])
	via, err3 := r.d.Find(s.Options["via"])
	if err := errors.Join(err1, err2, err3); err != nil {
		return err
	}
	u := upload{
		service: s.Args[0], entryAddr: via.Addr, expectedUpstream: s.Options["at"], bytes: size, duration: over,
		token: fmt.Sprintf("upload%d-%d", r.scenario.Load.Seed, s.Line),
	}
	r.tasks.Go(func() {
		begin := time.Now()
		err := u.send(ctx)
		r.print("step=uploaded line=%d bytes=%d took=%s error=%q", s.Line, size, elapsedSince(begin), fmt.Sprint(err))
		r.recordFailure(errors.Wrapf(err, "line %d: upload", s.Line))
	})
	return nil
}

type upload struct {
	service, entryAddr, expectedUpstream, token string
	bytes                                       int
	duration                                    time.Duration
}

func (u upload) send(ctx context.Context) error {
	timeout := u.duration + uploadTimeout
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body := &pacedBody{ctx: ctx, sum: xxhash.New(), chunk: upstream.TokenBody(u.token+"/", uploadChunkBytes), remaining: u.bytes}
	body.interval = u.duration / time.Duration(max(u.bytes/uploadChunkBytes, 1))
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+u.entryAddr+"/patterns/"+u.token, body)
	if err != nil {
		return err
	}
	req.Host, req.ContentLength = u.service, int64(u.bytes)
	req.Header.Set(upstream.HeaderToken, u.token)
	req.Header.Set("Mulberry-Timeout", strconv.FormatInt(timeout.Milliseconds(), 10))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	h := resp.Header
	switch {
	case resp.StatusCode != http.StatusOK:
		return errors.Newf("%s outcome=%s reason=%s", resp.Status, h.Get("Mulberry-Outcome"), h.Get("Mulberry-Reason"))
	case h.Get(upstream.HeaderSize) != strconv.Itoa(u.bytes) || h.Get(upstream.HeaderChecksum) != upstream.FormatChecksum(body.sum.Sum64()):
		return errors.Newf("stored with size %s: size or checksum differs from the upload", h.Get(upstream.HeaderSize))
	case h.Get(upstream.HeaderName) != u.expectedUpstream:
		return errors.Newf("ran on %s, expected %s", h.Get(upstream.HeaderName), u.expectedUpstream)
	}
	return nil
}

// pacedBody is a request body that is read at a constant rate.
type pacedBody struct {
	ctx       context.Context //nolint:containedctx // io.Reader has no context parameter
	sum       *xxhash.Digest
	chunk     []byte
	remaining int
	interval  time.Duration
	nextRead  time.Time
}

// Read waits until the next chunk is due and returns it.
func (b *pacedBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	if b.nextRead.IsZero() {
		b.nextRead = time.Now()
	}
	if !pause.For(b.ctx, time.Until(b.nextRead)) {
		return 0, b.ctx.Err()
	}
	n := copy(p, b.chunk[:min(len(b.chunk), b.remaining)])
	// The delay depends on the number of bytes because p may be smaller than a chunk.
	b.nextRead = b.nextRead.Add(b.interval * time.Duration(n) / uploadChunkBytes)
	b.remaining -= n
	_, _ = b.sum.Write(p[:n])
	return n, nil
}

// resendLookups resends, as a caller would, each lookup that was in flight when an upstream crashed
// and ended as unknown. It returns how many get no response with status 200 again. A lookup that
// did not cause the crash must not stay under suspicion.
func (r *run) resendLookups(ctx context.Context, rep *load.Report, headers map[string]string) int {
	resent, unanswered := 0, 0
	for i, c := range rep.Calls {
		route := rep.Routes[c.Route].Route
		if route.Method != http.MethodGet || c.Last().Outcome != load.Unknown || c.Last().Reason != "crashed" {
			continue
		}
		resent++
		entryAddrs := r.d.FrontAddrs()
		response := sendLookup(ctx, route.Service, entryAddrs[i%len(entryAddrs)], c.Target(route), c.Token, headers)
		if response != "200//" {
			unanswered++
			r.print("step=resend token=%s told=%s", c.Token, response)
		}
	}
	r.print("step=resent lookups=%d unanswered=%d", resent, unanswered)
	return unanswered
}

// startCrash starts to send the same crashing request repeatedly, each time to another node, as a
// caller that retries it would.
func (r *run) startCrash(ctx context.Context, s Step) error {
	attempts, err1 := strconv.Atoi(s.Options["sends"])
	every, err2 := time.ParseDuration(s.Options["every"])
	if err := errors.Join(err1, err2); err != nil {
		return err
	}
	nodes := r.d.OfKind(deployment.KindNode)
	r.tasks.Go(func() {
		var responses []string
		for i := range attempts {
			responses = append(responses, sendCrash(ctx, s.Args[0], nodes[i%len(nodes)].Addr))
			if !pause.For(ctx, every) {
				return
			}
		}
		r.print("step=crashed line=%d told=%s", s.Line, strings.Join(responses, ","))
	})
	return nil
}

// sendCrash sends a request that crashes its upstream, and returns the status, outcome and reason
// that its caller gets.
func sendCrash(ctx context.Context, service, entryAddr string) string {
	return sendLookup(ctx, service, entryAddr, "/grades?id=crash", "crash", map[string]string{upstream.HeaderCrash: "true"})
}

// sendLookup sends a lookup and returns the status, outcome and reason of the response.
func sendLookup(ctx context.Context, service, entryAddr, target, token string, headers map[string]string) string {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entryAddr+target, nil)
	if err != nil {
		return "error"
	}
	req.Host = service
	req.Header.Set(upstream.HeaderToken, token)
	req.Header.Set("Mulberry-Timeout", "3000")
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "broken"
	}
	defer func() { _ = resp.Body.Close() }()
	return fmt.Sprintf("%d/%s/%s", resp.StatusCode, resp.Header.Get("Mulberry-Outcome"), resp.Header.Get("Mulberry-Reason"))
}
