package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/mulberrylink/mulberrylink/coordination/control"
	"github.com/mulberrylink/mulberrylink/protocol/controlplane"
	"github.com/mulberrylink/mulberrylink/transport/events"
	"github.com/mulberrylink/mulberrylink/transport/rpc"
)

// shutdownTimeout bounds the shutdown, which waits for calls in progress. Each call has a shorter
// timeout.
const shutdownTimeout = 5 * time.Second

// host is a running control host.
type host struct {
	cfg     controlSettings
	logger  *log.Logger
	replica *replica
	server  *controlplane.Server
	rpc     *rpc.Server
	admin   *adminServer
}

// run runs the control host until SIGTERM or SIGINT.
func run(cfg controlSettings) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logger := events.New(os.Stderr, cfg.Log.Level, "mulberrycontrol", cfg.Control.Name)
	h, err := newHost(cfg, logger)
	if err != nil {
		return err
	}
	return h.serve(ctx)
}

func newHost(cfg controlSettings, logger *log.Logger) (*host, error) {
	h := &host{cfg: cfg, logger: logger}
	reg := metrics.NewRegistry()
	machine := control.NewMachine()
	r, err := openReplica(cfg, machine, logger)
	if err != nil {
		return nil, err
	}
	h.replica = r
	h.server = controlplane.NewServer(controlplane.ServerConfig{
		Name:    cfg.Control.Name,
		Domain:  cfg.Control.Domain,
		Log:     r.replicatedLog,
		Machine: machine,
		Group:   quorumGroup{host: r.quorumHost},
		Now:     time.Now,
		Observe: func(method, outcome string) {
			metrics.GetOrRegisterCounter(method+"."+outcome, reg).Inc(1)
		},
	})
	h.rpc = rpc.NewServer(func(err error) { logger.Debug().Err(err).Msg("connection lost") })
	for method, f := range h.server.Methods() {
		h.rpc.Handle(method, f)
	}
	r.register(h.rpc)
	h.admin, err = newAdminServer(cfg.Listen.Admin, reg, h.ready)
	events.RedirectGoZero(logger) // after go-zero has set up its own log
	return h, err
}

func (h *host) ready() bool {
	_, addr, isLeader := h.replica.replicatedLog.Leader()
	return isLeader || addr != ""
}

func (h *host) serve(ctx context.Context) error {
	var lc net.ListenConfig
	lis, err := lc.Listen(ctx, "tcp", h.cfg.Listen.RPC)
	if err != nil {
		return errors.Wrap(err, "listen for rpc")
	}
	rpcCtx, cancelRPC := context.WithCancel(context.Background())
	defer cancelRPC()
	serveErrs := make(chan error, 2)
	go func() { serveErrs <- h.admin.serve() }()
	go func() { serveErrs <- h.rpc.Serve(rpcCtx, writeTimeoutListener{Listener: lis, timeout: writeTimeout}) }()
	h.logger.Info().Str("rpc", h.cfg.Listen.RPC).Str("admin", h.cfg.Listen.Admin).Str("version", version).Msg("control host started")
	h.logIdentity()
	select {
	case err = <-serveErrs:
	case <-ctx.Done():
	}
	h.stop(cancelRPC)
	return err
}

// logIdentity logs the identity of the host, which an operator needs to add a blank host.
func (h *host) logIdentity() {
	identity := quorumGroup{host: h.replica.quorumHost}.Identity()
	e := h.logger.Info().Str("identity", fmt.Sprintf("%016x", identity.ID)).Bool("blank", identity.Blank)
	if identity.Blank {
		e.Msg("data directory is blank; this host does not join the group until it is added with mulberryctl members add")
		return
	}
	e.Msg("data directory holds the state of a member")
}

// stop transfers leadership, finishes the calls in progress and closes the listeners.
func (h *host) stop(cancelRPC func()) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	h.logger.Info().Msg("control host stopping")
	h.replica.stop(ctx)
	h.server.Drain(ctx)
	cancelRPC()
	h.admin.stop(ctx)
	h.logger.Info().Msg("control host stopped")
}
