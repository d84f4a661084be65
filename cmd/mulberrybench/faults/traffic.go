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

// uploadTimeout is the timeout of an upload beyond the time it is sent over.
const uploadTimeout = 10 * time.Second

// uploadChunk is the size of one write of an upload in bytes.
const uploadChunk = 64 << 10

// askTimeout bounds one send of a lookup.
const askTimeout = 5 * time.Second

// startUpload sends a long upload beside the load. The scenario fails unless
// it is answered whole by the upstream that the step names.
func (r *run) startUpload(ctx context.Context, s Step) error {
	size, err1 := strconv.Atoi(s.Options["bytes"])
	over, err2 := time.ParseDuration(s.Options["over"])
	via, err3 := r.d.Find(s.Options["via"])
	if err := errors.Join(err1, err2, err3); err != nil {
		return err
	}
	u := upload{
		service: s.Args[0], entry: via.Addr, at: s.Options["at"], bytes: size, over: over,
		token: fmt.Sprintf("upload%d-%d", r.script.Load.Seed, s.Line),
	}
	r.tasks.Go(func() {
		begin := time.Now()
		err := u.send(ctx)
		r.print("step=uploaded line=%d bytes=%d took=%s error=%q", s.Line, size, since(begin), fmt.Sprint(err))
		r.fault(errors.Wrapf(err, "line %d: upload", s.Line))
	})
	return nil
}

type upload struct {
	service, entry, at, token string
	bytes                     int
	over                      time.Duration
}

func (u upload) send(ctx context.Context) error {
	limit := u.over + uploadTimeout
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	body := &slowBody{ctx: ctx, sum: xxhash.New(), chunk: upstream.TokenBody(u.token+"/", uploadChunk), left: u.bytes}
	body.pause = u.over / time.Duration(max(u.bytes/uploadChunk, 1))
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+u.entry+"/patterns/"+u.token, body)
	if err != nil {
		return err
	}
	req.Host, req.ContentLength = u.service, int64(u.bytes)
	req.Header.Set(upstream.HeaderToken, u.token)
	req.Header.Set("Mulberry-Timeout", strconv.FormatInt(limit.Milliseconds(), 10))
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
		return errors.Newf("stored with size %s and another sum", h.Get(upstream.HeaderSize))
	case h.Get(upstream.HeaderName) != u.at:
		return errors.Newf("ran on %s, the scenario needs %s", h.Get(upstream.HeaderName), u.at)
	}
	return nil
}

// slowBody is read at a steady pace.
type slowBody struct {
	ctx   context.Context //nolint:containedctx // io.Reader takes none
	sum   *xxhash.Digest
	chunk []byte
	left  int
	pause time.Duration
	next  time.Time
}

// Read returns one chunk once its time has come.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	if b.next.IsZero() {
		b.next = time.Now()
	}
	if !pause.For(b.ctx, time.Until(b.next)) {
		return 0, b.ctx.Err()
	}
	n := copy(p, b.chunk[:min(len(b.chunk), b.left)])
	// The pace follows the bytes because the reader may take small pieces.
	b.next = b.next.Add(b.pause * time.Duration(n) / uploadChunk)
	b.left -= n
	_, _ = b.sum.Write(p[:n])
	return n, nil
}

// resend sends each lookup that was in flight when an upstream died and ended as
// unknown again, as its caller does, and returns how many are still not
// answered. A lookup that crashed nothing must not stay a suspect.
func (r *run) resend(ctx context.Context, rep *load.Report, header map[string]string) int {
	lost, failed := 0, 0
	for i, c := range rep.Calls {
		route := rep.Routes[c.Route].Route
		if route.Method != http.MethodGet || c.Last().Outcome != load.Unknown || c.Last().Reason != "crashed" {
			continue
		}
		lost++
		entries := r.d.FrontAddrs()
		told := ask(ctx, route.Service, entries[i%len(entries)], c.Target(route), c.Token, header)
		if told != "200//" {
			failed++
			r.print("step=resend token=%s told=%s", c.Token, told)
		}
	}
	r.print("step=resent lookups=%d unanswered=%d", lost, failed)
	return failed
}

// startCrash sends the same crashing request again and again, each time to
// another node, as its caller does.
func (r *run) startCrash(ctx context.Context, s Step) error {
	sends, err1 := strconv.Atoi(s.Options["sends"])
	every, err2 := time.ParseDuration(s.Options["every"])
	if err := errors.Join(err1, err2); err != nil {
		return err
	}
	nodes := r.d.OfKind(deployment.KindNode)
	r.tasks.Go(func() {
		var told []string
		for i := range sends {
			told = append(told, crash(ctx, s.Args[0], nodes[i%len(nodes)].Addr))
			if !pause.For(ctx, every) {
				return
			}
		}
		r.print("step=crashed line=%d told=%s", s.Line, strings.Join(told, ","))
	})
	return nil
}

// crash returns what the caller of a crashing request is told.
func crash(ctx context.Context, service, entry string) string {
	return ask(ctx, service, entry, "/grades?id=crash", "crash", map[string]string{upstream.HeaderCrash: "true"})
}

// ask sends a lookup and returns status, outcome and reason.
func ask(ctx context.Context, service, entry, target, token string, header map[string]string) string {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+target, nil)
	if err != nil {
		return "error"
	}
	req.Host = service
	req.Header.Set(upstream.HeaderToken, token)
	req.Header.Set("Mulberry-Timeout", "3000")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "broken"
	}
	defer func() { _ = resp.Body.Close() }()
	return fmt.Sprintf("%d/%s/%s", resp.StatusCode, resp.Header.Get("Mulberry-Outcome"), resp.Header.Get("Mulberry-Reason"))
}
