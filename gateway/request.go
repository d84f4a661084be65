package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/routes"
	"github.com/mulberrylink/mulberrylink/transport/ingress"
)

// request is a caller's request at its entry node.
type request struct {
	g         *Gateway
	id        string // of the caller
	began     time.Time
	arrived   time.Time // when its body had been read
	view      *view
	route     *routes.Route
	service   string
	in        *http.Request
	header    http.Header
	length    int64
	body      []byte    // when it was kept
	rest      io.Reader // what follows body, nil when body is all
	objective time.Time
	deadline  time.Time
	work      time.Duration
	guessed   bool                  // no request of the route has been answered yet
	account   *mulberrylink.Request // for the retry budget
}

func (g *Gateway) newRequest(v *view, route *routes.Route, r *http.Request, now time.Time) *request {
	wait, ok := g.cfg.Headers.Timeout(r.Header)
	if !ok {
		wait = defaultWait
	}
	if route.Timeout > 0 {
		wait = min(wait, route.Timeout+timeoutSlack)
	}
	objective := wait
	if route.Objective > 0 {
		objective = min(wait, max(route.Objective-g.cfg.Tuning.CallerRTT, route.Objective/2))
	}
	q := &request{
		g: g, id: g.cfg.Headers.RequestID(r.Header), began: now, view: v, route: route, service: g.splits.Pick(route),
		in: r, header: ingress.EndToEnd(r.Header), length: r.ContentLength,
		objective: now.Add(objective), deadline: now.Add(wait),
	}
	q.work, q.guessed = g.workOf(route)
	q.account = &mulberrylink.Request{Service: q.service, Idempotent: route.Kind == routes.Safe, Deadline: q.deadline}
	return q
}

// workOf returns the time that requests of a route take on an undisturbed host,
// and whether it is a guess. The mean of other routes would be a bad one: some
// take a millisecond.
func (g *Gateway) workOf(r *routes.Route) (work time.Duration, guessed bool) {
	if work = g.works.MeanOr(r.Name, 0); work > 0 {
		return work, false
	}
	if r.Objective > 0 {
		return r.Objective / objectiveWorks, true
	}
	return g.works.Mean(r.Name), true
}

// readBody reads the body, or its beginning when it is long.
func (q *request) readBody() error {
	if q.length == 0 {
		return nil
	}
	var buf bytes.Buffer
	if q.length > 0 {
		buf.Grow(int(min(q.length, keptBody)) + 512)
	}
	_, err := io.CopyN(&buf, q.in.Body, keptBody)
	q.body = buf.Bytes()
	switch {
	case errors.Is(err, io.EOF):
		q.length = int64(len(q.body))
		return nil
	case err == nil:
		if q.length != keptBody {
			q.rest = q.in.Body
		}
		return nil
	}
	return err
}

// replayable reports whether the body can be sent once more.
func (q *request) replayable() bool { return q.rest == nil }

func (q *request) reader() io.Reader {
	switch {
	case q.length == 0:
		return nil
	case q.rest != nil:
		return io.MultiReader(bytes.NewReader(q.body), q.rest)
	}
	return bytes.NewReader(q.body)
}
