package upstream

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/journal"
)

// Limits of the HTTP server. There is no read or write timeout because uploads may take long and
// loopback clients are trusted.
const (
	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 64 << 10
	shutdownTimeout   = 30 * time.Second
)

// CrashExitStatus is the exit status of a simulated crash.
const CrashExitStatus = 3

// Server is one simulated upstream.
type Server struct {
	cfg            Settings
	log            *log.Logger
	journal        *journal.Writer
	slots          *slots
	cold           *coldStart
	serviceTimes   *serviceTimeSampler
	store          *store
	report         *reporter
	client         *http.Client
	started        time.Time
	draining       atomic.Bool
	hideCold       atomic.Bool // announces ready instead of cold
	openConns      atomic.Int64
	executionCount atomic.Int64
	shedCount      atomic.Int64
	canceledCount  atomic.Int64
	// crash ends the process; tests replace it.
	crash func(cause string)
}

// Stats holds the counters of an upstream.
type Stats struct {
	Executions int64 `json:"executions"`
	Shed       int64 `json:"shed"`
	Canceled   int64 `json:"canceled"`
	Probes     int   `json:"probes"`
	Overloads  int   `json:"falls"`
	Peak       int   `json:"peak"`
	Cold       bool  `json:"cold"`
}

// New returns a server with the given settings and opens its journal.
func New(cfg Settings, l *log.Logger) (*Server, error) {
	now := time.Now()
	s := &Server{
		cfg:          cfg,
		log:          l,
		slots:        newSlots(cfg.Upstream.Slots, cfg.Upstream.Shed),
		cold:         newColdStart(cfg.Cold, now),
		serviceTimes: newServiceTimeSampler(cfg.Work.Distribution, cfg.Work.Mean, cfg.Work.Sigma, cfg.Work.Seed),
		store:        newStore(cfg.Store.Bytes),
		report:       &reporter{lag: cfg.Report.Lag, load: cfg.Report.Load, health: cfg.Report.Health},
		client:       &http.Client{},
		started:      now,
	}
	s.crash = s.exit
	if cfg.Journal.File == "" {
		return s, nil
	}
	j, err := journal.Open(cfg.Journal.File)
	if err != nil {
		return nil, err
	}
	s.journal = j
	return s, nil
}

// Run serves until ctx ends, then completes the requests in flight.
func (s *Server) Run(ctx context.Context) error {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", s.cfg.Listen.HTTP)
	if err != nil {
		return errors.Wrap(err, "listen for HTTP")
	}
	srv := &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         s.countConnection,
	}
	drain := make(chan os.Signal, 1)
	signal.Notify(drain, syscall.SIGUSR1)
	defer signal.Stop(drain)
	loopCtx, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoops()
	go s.sampleLoop(loopCtx)
	if s.cfg.Node.Admin != "" {
		go s.announceLoop(loopCtx)
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- srv.Serve(ln) }()
	s.log.Info().Str("addr", ln.Addr().String()).Msg("upstream started")
	for {
		select {
		case <-drain:
			s.drain()
		case err := <-serveErr:
			return errors.Wrap(err, "serve HTTP")
		case <-ctx.Done():
			return s.stop(srv)
		}
	}
}

// Handler returns the handler of all endpoints of the server.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", s.serveLoad)
	mux.HandleFunc("GET /health", s.serveHealth)
	mux.HandleFunc("GET /control/stats", s.serveStats)
	mux.HandleFunc("POST /control/drain", func(http.ResponseWriter, *http.Request) { s.drain() })
	mux.HandleFunc("POST /control/undrain", func(http.ResponseWriter, *http.Request) { s.draining.Store(false) })
	mux.HandleFunc("POST /control/slow", s.serveSlow)
	mux.HandleFunc("POST /control/cold", s.serveCold)
	mux.HandleFunc("POST /control/report", s.serveReport)
	mux.HandleFunc("/", s.serveRequest)
	return mux
}

func (s *Server) drain() {
	s.draining.Store(true)
	s.log.Info().Msg("upstream draining")
}

func (s *Server) stop(srv *http.Server) error {
	s.drain()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := srv.Shutdown(ctx)
	if s.journal != nil {
		err = errors.Join(err, s.journal.Close())
	}
	s.log.Info().Msg("upstream stopped")
	return errors.Wrap(err, "shut down the upstream")
}

// countConnection counts open connections and closes those above the limit, as a real server does
// when it is full.
func (s *Server) countConnection(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if s.openConns.Add(1) > int64(s.cfg.Upstream.Connections) {
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		s.openConns.Add(-1)
	default:
	}
}

func (s *Server) exit(cause string) {
	s.log.Warn().Str("cause", cause).Msg("upstream crashed")
	os.Exit(CrashExitStatus)
}

// Stats returns the current counters.
func (s *Server) Stats() Stats {
	_, _, peak := s.slots.counts()
	return Stats{
		Executions: s.executionCount.Load(),
		Shed:       s.shedCount.Load(),
		Canceled:   s.canceledCount.Load(),
		Probes:     s.report.probeCount(),
		Overloads:  s.cold.overloadCount(),
		Peak:       peak,
		Cold:       s.cold.active(time.Now()),
	}
}

func (s *Server) serveStats(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Stats()) }

func (s *Server) serveSlow(w http.ResponseWriter, r *http.Request) {
	factor, err1 := strconv.ParseFloat(r.FormValue("factor"), 64)
	duration, err2 := time.ParseDuration(r.FormValue("for"))
	if err := errors.Join(err1, err2); err != nil || factor <= 0 {
		http.Error(w, "the form needs factor (above 0) and for (a duration)", http.StatusBadRequest)
		return
	}
	s.serviceTimes.setSlowdown(factor, time.Now().Add(duration))
}

func (s *Server) serveCold(_ http.ResponseWriter, r *http.Request) {
	s.hideCold.Store(r.FormValue("announced") == "false")
	s.cold.restart(time.Now())
}

func (s *Server) serveReport(w http.ResponseWriter, r *http.Request) {
	if err := s.report.set(r.FormValue("load"), r.FormValue("health"), r.FormValue("lag")); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}
