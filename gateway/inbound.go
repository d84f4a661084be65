package gateway

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/mulberrylink/mulberrylink/coordination/routes"
	"github.com/mulberrylink/mulberrylink/protocol/hop"
	"github.com/mulberrylink/mulberrylink/transport/exchange"
	"github.com/mulberrylink/mulberrylink/transport/ingress"
)

const (
	// interimTime is how often an entry node is shown that its request runs.
	interimTime = 250 * time.Millisecond
	// silentTime is the quiet after which an entry node takes the connection
	// for lost: two interim answers may be late.
	silentTime = 700 * time.Millisecond
)

// servePeer runs a request for another node.
func (g *Gateway) servePeer(w http.ResponseWriter, r *http.Request) {
	if id, ok := strings.CutPrefix(r.URL.Path, hop.ResolvePath); ok {
		g.resolve(w, r, id)
		return
	}
	ask, err := hop.ParseRequestMeta(r.Header.Get(hop.Header))
	if err != nil {
		g.log.Warn().Str("peer", r.RemoteAddr).Err(err).Msg("request of no node refused")
		http.Error(w, "this address serves nodes only", http.StatusBadRequest)
		return
	}
	now := time.Now()
	if g.leaving.Load() {
		g.answerPeer(w, ptr(g.refusal(refusedLeaving, 0)))
		return
	}
	var rec *record
	if ask.Kind != routes.Safe {
		if rec = g.runs.begin(ask.ExchangeID, now); rec == nil {
			g.answerPeer(w, ptr(g.refusal(refusedBarred, 0)))
			return
		}
	}
	in := &work{
		ask: ask, method: r.Method, target: r.RequestURI, host: r.Host,
		header: ingress.EndToEnd(r.Header), length: r.ContentLength,
		objective: now.Add(ask.Objective), deadline: now.Add(ask.Timeout),
	}
	if r.ContentLength != 0 {
		in.body = r.Body
	}
	stop := func() {}
	if r.Header.Get("Expect") == "" {
		// net/http itself writes to the connection while such a body is read.
		stop = g.interim(w)
	}
	res := g.admit(r.Context(), in)
	stop()
	if rec != nil {
		kept := res.ans
		if kept != nil && kept.Rest != nil {
			kept = nil // too long to keep; the outcome is then unknown
		}
		g.runs.finish(rec, kept, res.reply.Encode(), time.Now())
	}
	g.answerPeer(w, &res)
}

func ptr(r result) *result { return &r }

// interim shows the entry node that its request is alive until stop is called.
func (g *Gateway) interim(w http.ResponseWriter) (stop func()) {
	quit := make(chan struct{})
	var done sync.WaitGroup
	done.Go(func() {
		timer := time.NewTimer(interimTime)
		defer timer.Stop()
		for {
			select {
			case <-quit:
				return
			case <-timer.C:
			}
			w.Header().Set(hop.Header, hop.ResponseMeta{Load: g.gate.Load(), Epoch: g.epoch}.Encode())
			w.WriteHeader(http.StatusProcessing)
			timer.Reset(interimTime)
		}
	})
	return func() {
		close(quit)
		done.Wait()
	}
}

// answerPeer passes a result on to the entry node.
func (g *Gateway) answerPeer(w http.ResponseWriter, res *result) {
	defer res.ans.Close()
	h := w.Header()
	if res.ans == nil {
		h.Set(hop.Header, res.reply.Encode())
		h["Content-Type"] = nil
		h.Set("Content-Length", "0")
		status := http.StatusServiceUnavailable
		if res.ran() {
			status = http.StatusBadGateway
		}
		w.WriteHeader(status)
		return
	}
	copyAnswer(w, res.ans, res.reply.Encode())
}

// copyAnswer writes an answer as the upstream gave it. An answer that breaks off
// ends with a connection that breaks off.
func copyAnswer(w http.ResponseWriter, ans *exchange.Answer, hopHeader string) {
	h := w.Header()
	for name, values := range ingress.EndToEnd(ans.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	delete(h, hop.Header)
	if hopHeader != "" {
		h.Set(hop.Header, hopHeader)
	}
	switch {
	case ans.Rest == nil:
		setLength(h, int64(len(ans.Body)))
	case ans.Length >= 0:
		setLength(h, ans.Length)
	}
	w.WriteHeader(ans.Status)
	if _, err := w.Write(ans.Body); err != nil {
		return // the other side has gone
	}
	if ans.Rest == nil {
		return
	}
	if _, err := io.Copy(flushing{w, http.NewResponseController(w)}, ans.Rest); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// flushing passes on each piece of a long answer as it comes.
type flushing struct {
	w io.Writer
	c *http.ResponseController
}

// Write implements io.Writer.
func (f flushing) Write(p []byte) (int, error) {
	n, err := f.w.Write(p)
	if err == nil {
		err = f.c.Flush()
	}
	return n, err
}

// resolve tells what became of an exchange whose connection was lost. One that
// has not begun does not begin any more.
func (g *Gateway) resolve(w http.ResponseWriter, r *http.Request, id string) {
	rec := g.runs.resolve(id, time.Now())
	stop := g.interim(w)
	select {
	case <-rec.done:
	case <-r.Context().Done():
	}
	stop()
	if r.Context().Err() != nil {
		return
	}
	g.log.Info().Str("exchange", id).Bool("barred", rec.barred).Bool("kept", rec.ans != nil).Msg("lost exchange resolved")
	switch {
	case rec.barred:
		g.answerPeer(w, ptr(g.refusal(refusedBarred, 0)))
	case rec.ans != nil:
		copyAnswer(w, rec.ans, rec.header)
	default:
		h := w.Header()
		h.Set(hop.Header, rec.header)
		h.Set("Content-Length", "0")
		w.WriteHeader(http.StatusBadGateway)
	}
}
