package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/rest"
)

// Limits of the admin endpoints. The defaults of go-zero are meant for a public API.
const (
	adminTimeout      = 2 * time.Second
	adminMaxBodyBytes = 4 << 10
	adminMaxConns     = 64
	forceQuitDelay    = 24 * time.Hour
)

// adminServer is the HTTP server of the admin endpoints.
type adminServer struct {
	srv     *rest.Server
	metrics metrics.Registry
	ready   func() bool

	mu         sync.Mutex
	httpServer *http.Server
}

func newAdminServer(addr string, reg metrics.Registry, ready func() bool) (*adminServer, error) {
	// By default, go-zero ends the process 5.5 s after SIGTERM, possibly during a call. With this
	// delay, the process ends when run returns.
	proc.SetTimeToForceQuit(forceQuitDelay)
	conf, err := adminConfig(addr)
	if err != nil {
		return nil, err
	}
	srv, err := rest.NewServer(conf)
	if err != nil {
		return nil, errors.Wrap(err, "set up admin server")
	}
	a := &adminServer{srv: srv, metrics: reg, ready: ready}
	srv.AddRoutes([]rest.Route{
		{Method: http.MethodGet, Path: "/health", Handler: textHandler("ok")},
		{Method: http.MethodGet, Path: "/ready", Handler: a.serveReady},
		{Method: http.MethodGet, Path: "/metrics", Handler: a.serveMetrics},
		{Method: http.MethodGet, Path: "/version", Handler: textHandler("version=" + version)},
	})
	return a, nil
}

func adminConfig(addr string) (rest.RestConf, error) {
	var conf rest.RestConf
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return conf, errors.Wrap(err, "parse admin address")
	}
	conf.Host = host
	if conf.Port, err = strconv.Atoi(port); err != nil {
		return conf, errors.Wrap(err, "parse port of admin address")
	}
	conf.Name = "mulberrycontrol"
	conf.Log.Mode = "console"
	conf.Timeout = adminTimeout.Milliseconds()
	conf.MaxBytes = adminMaxBodyBytes
	conf.MaxConns = adminMaxConns
	conf.Middlewares = rest.MiddlewaresConf{MaxConns: true, Timeout: true, Recover: true, MaxBytes: true}
	return conf, nil
}

// serve serves the endpoints until stop is called. It returns an error if it cannot listen on the
// address.
func (a *adminServer) serve() (err error) {
	// go-zero panics if it cannot listen.
	defer func() {
		if p := recover(); p != nil {
			err = errors.Newf("serve admin endpoints: %v", p)
		}
	}()
	a.srv.StartWithOpts(func(srv *http.Server) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.httpServer = srv
	})
	return nil
}

func (a *adminServer) stop(ctx context.Context) {
	a.mu.Lock()
	srv := a.httpServer
	a.mu.Unlock()
	if srv != nil {
		_ = srv.Shutdown(ctx)
	}
}

func (a *adminServer) serveReady(w http.ResponseWriter, r *http.Request) {
	if !a.ready() {
		http.Error(w, "no leader is known", http.StatusServiceUnavailable)
		return
	}
	textHandler("ok")(w, r)
}

func (a *adminServer) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	metrics.WriteOnce(a.metrics, w)
}

func textHandler(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = fmt.Fprintln(w, body)
	}
}
