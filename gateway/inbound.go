package gateway

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/routes"
	"github.com/mulberrylink/mulberrylink/protocol/hop"
	"github.com/mulberrylink/mulberrylink/state/memory"
	"github.com/mulberrylink/mulberrylink/transport/exchange"
	"github.com/mulberrylink/mulberrylink/transport/ingress"
)

const (
	// interimInterval is the interval between the interim responses that show an entry
	// node that its request is still running.
	interimInterval = 250 * time.Millisecond
	// peerInactivityTimeout is the time without any response after which an entry node
	// treats the connection as lost. It allows for two late interim responses.
	peerInactivityTimeout = 700 * time.Millisecond
)

// servePeer handles a request that another node forwards.
func (g *Gateway) servePeer(w http.ResponseWriter, r *http.Request) {
	if id, ok := strings.CutPrefix(r.URL.Path, hop.ResolvePath); ok {
		g.serveResolve(w, r, id)
		return
	}
	meta, err := hop.ParseRequestMeta(r.Header.Get(hop.Header))
	if err != nil {
		g.log.Warn().Str("peer", r.RemoteAddr).Err(err).Msg("rejected a request without a valid hop header")
		http.Error(w, "this address serves nodes only", http.StatusBadRequest)
		return
	}
	now := time.Now()
	if g.leaving.Load() {
		g.respondToPeer(w, ptr(g.reject(reasonLeaving, 0)))
		return
	}
	mem := g.memory.NewAccount(nil)
	defer mem.Close()
	if !mem.Acquire(memory.Requests, peerRequestBytes, memory.PeerLevel) {
		g.respondToPeer(w, ptr(g.reject(mulberrylink.ReasonMemory.String(), minMemoryRetryAfter)))
		return
	}
	var rec *outcomeRecord
	if meta.Kind != routes.Safe {
		if rec = g.outcomes.begin(meta.ExchangeID, now); rec == nil {
			g.respondToPeer(w, ptr(g.reject(reasonBarred, 0)))
			return
		}
	}
	g.mergeSuspicion(meta.Fingerprint, meta.Suspicion)
	g.mergeIntegrity(meta.Integrity)
	req := &upstreamRequest{
		meta: meta, method: r.Method, target: r.RequestURI, host: r.Host,
		header: ingress.EndToEndHeaders(r.Header), length: r.ContentLength, mem: mem,
		objective: now.Add(meta.Objective), deadline: now.Add(meta.Timeout),
	}
	if r.ContentLength != 0 {
		req.body = r.Body
		if err := http.NewResponseController(w).SetReadDeadline(req.deadline.Add(responseSlack)); err != nil {
			g.log.Warn().Str("peer", r.RemoteAddr).Err(err).Msg("body of a forwarded request has no read deadline")
		}
	}
	stop := func() {}
	if r.Header.Get("Expect") == "" {
		// net/http itself writes "100 Continue" while the body of such a request is read.
		stop = g.sendInterim(w)
	}
	res := g.admit(r.Context(), req)
	res.meta.Suspicion = g.suspicion(meta.Fingerprint)
	stop()
	if rec != nil {
		resp := res.resp
		if resp != nil && resp.Rest != nil {
			resp = nil // too large to keep; the outcome is then unknown
		}
		g.outcomes.finish(rec, resp, res.meta.Encode(), time.Now())
	}
	g.overflow.admitted(r.ContentLength, &res)
	g.respondToPeer(w, &res)
}

func ptr(r result) *result { return &r }

// sendInterim sends interim responses with the current load to the entry node until stop
// is called.
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
			w.Header().Set(hop.Header, g.newResponseMeta().Encode())
			w.WriteHeader(http.StatusProcessing)
			timer.Reset(interimInterval)
		}
	})
	return func() {
		close(stopped)
		done.Wait()
	}
}

// respondToPeer sends a result to the entry node.
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
	if err := copyResponse(w, res.resp, res.meta.Encode()); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// copyResponse writes a response as the upstream sent it. It returns an error when the response
// is cut off; the caller must then close the connection, so that the receiver notices.
func copyResponse(w http.ResponseWriter, resp *exchange.Response, hopHeader string) error {
	h := w.Header()
	for name, values := range ingress.EndToEndHeaders(resp.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // stops net/http from detecting one
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
		return nil // the receiver has disconnected
	}
	if resp.Rest == nil {
		return nil
	}
	_, err := io.Copy(flushWriter{w, http.NewResponseController(w)}, resp.Rest)
	return err
}

// flushWriter flushes each part of a large response as it arrives.
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

var errOutcomeExpired = errors.New("the outcome of the exchange is no longer known")

// serveResolve responds with the outcome of an exchange whose connection was lost, and
// waits for the outcome while the exchange runs. An exchange that hasn't begun is
// prevented from running.
func (g *Gateway) serveResolve(w http.ResponseWriter, r *http.Request, id string) {
	rec := g.outcomes.resolve(id, time.Now())
	if rec == nil {
		g.log.Info().Str("exchange", id).Msg("outcome of a lost exchange is no longer known")
		meta := g.newResponseMeta()
		meta.ExchangeFailed = true
		g.respondToPeer(w, &result{err: errOutcomeExpired, meta: meta})
		return
	}
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
		if err := copyResponse(w, rec.resp, rec.hopHeader); err != nil {
			panic(http.ErrAbortHandler)
		}
	default:
		h := w.Header()
		h.Set(hop.Header, rec.hopHeader)
		h.Set("Content-Length", "0")
		w.WriteHeader(http.StatusBadGateway)
	}
}
