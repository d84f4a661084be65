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
	interimInterval = 250 * time.Millisecond
	// silentTime is the quiet after which an entry node takes the connection
	// for lost: two interim answers may be late.
	peerSilenceTimeout = 700 * time.Millisecond
)

// servePeer runs a request for another node.
func (g *Gateway) servePeer(w http.ResponseWriter, r *http.Request) {
	if id, ok := strings.CutPrefix(r.URL.Path, hop.ResolvePath); ok {
		g.serveResolve(w, r, id)
		return
	}
	meta, err := hop.ParseRequestMeta(r.Header.Get(hop.Header))
	if err != nil {
		g.log.Warn().Str("peer", r.RemoteAddr).Err(err).Msg("request of no node refused")
		http.Error(w, "this address serves nodes only", http.StatusBadRequest)
		return
	}
	now := time.Now()
	if g.leaving.Load() {
		g.respondToPeer(w, ptr(g.reject(reasonLeaving, 0)))
		return
	}
	var rec *outcomeRecord
	if meta.Kind != routes.Safe {
		if rec = g.outcomes.begin(meta.ExchangeID, now); rec == nil {
			g.respondToPeer(w, ptr(g.reject(reasonBarred, 0)))
			return
		}
	}
	req := &upstreamRequest{
		meta: meta, method: r.Method, target: r.RequestURI, host: r.Host,
		header: ingress.EndToEnd(r.Header), length: r.ContentLength,
		objective: now.Add(meta.Objective), deadline: now.Add(meta.Timeout),
	}
	if r.ContentLength != 0 {
		req.body = r.Body
	}
	stop := func() {}
	if r.Header.Get("Expect") == "" {
		// net/http itself writes to the connection while such a body is read.
		stop = g.sendInterim(w)
	}
	res := g.admit(r.Context(), req)
	stop()
	if rec != nil {
		resp := res.resp
		if resp != nil && resp.Rest != nil {
			resp = nil // too long to keep; the outcome is then unknown
		}
		g.outcomes.finish(rec, resp, res.meta.Encode(), time.Now())
	}
	g.respondToPeer(w, &res)
}

func ptr(r result) *result { return &r }

// interim shows the entry node that its request is alive until stop is called.
func (g *Gateway) sendInterim(w http.ResponseWriter) (stop func()) {
	stopped := make(chan struct{})
	var done sync.WaitGroup
	done.Go(func() {
		timer := time.NewTimer(interimInterval)
		defer timer.Stop()
		for {
			select {
			case <-stopped:
				return
			case <-timer.C:
			}
			w.Header().Set(hop.Header, hop.ResponseMeta{Load: g.admission.Load(), Epoch: g.epoch}.Encode())
			w.WriteHeader(http.StatusProcessing)
			timer.Reset(interimInterval)
		}
	})
	return func() {
		close(stopped)
		done.Wait()
	}
}

// answerPeer passes a result on to the entry node.
func (g *Gateway) respondToPeer(w http.ResponseWriter, res *result) {
	defer res.resp.Close()
	h := w.Header()
	if res.resp == nil {
		h.Set(hop.Header, res.meta.Encode())
		h["Content-Type"] = nil
		h.Set("Content-Length", "0")
		status := http.StatusServiceUnavailable
		if res.mayHaveRun() {
			status = http.StatusBadGateway
		}
		w.WriteHeader(status)
		return
	}
	copyResponse(w, res.resp, res.meta.Encode())
}

// copyAnswer writes an answer as the upstream gave it. An answer that breaks off
// ends with a connection that breaks off.
func copyResponse(w http.ResponseWriter, resp *exchange.Answer, hopHeader string) {
	h := w.Header()
	for name, values := range ingress.EndToEnd(resp.Header) {
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
	case resp.Rest == nil:
		setLength(h, int64(len(resp.Body)))
	case resp.Length >= 0:
		setLength(h, resp.Length)
	}
	w.WriteHeader(resp.Status)
	if _, err := w.Write(resp.Body); err != nil {
		return // the other side has gone
	}
	if resp.Rest == nil {
		return
	}
	if _, err := io.Copy(flushWriter{w, http.NewResponseController(w)}, resp.Rest); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// flushing passes on each piece of a long answer as it comes.
type flushWriter struct {
	w          io.Writer
	controller *http.ResponseController
}

// Write implements io.Writer.
func (f flushWriter) Write(p []byte) (int, error) {
	n, err := f.w.Write(p)
	if err == nil {
		err = f.controller.Flush()
	}
	return n, err
}

// resolve tells what became of an exchange whose connection was lost. One that
// has not begun does not begin any more.
func (g *Gateway) serveResolve(w http.ResponseWriter, r *http.Request, id string) {
	rec := g.outcomes.resolve(id, time.Now())
	stop := g.sendInterim(w)
	select {
	case <-rec.done:
	case <-r.Context().Done():
	}
	stop()
	if r.Context().Err() != nil {
		return
	}
	g.log.Info().Str("exchange", id).Bool("barred", rec.mustNotRun).Bool("kept", rec.resp != nil).Msg("lost exchange resolved")
	switch {
	case rec.mustNotRun:
		g.respondToPeer(w, ptr(g.reject(reasonBarred, 0)))
	case rec.resp != nil:
		copyResponse(w, rec.resp, rec.hopHeader)
	default:
		h := w.Header()
		h.Set(hop.Header, rec.hopHeader)
		h.Set("Content-Length", "0")
		w.WriteHeader(http.StatusBadGateway)
	}
}
