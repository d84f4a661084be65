package main

import (
	"context"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"github.com/mulberrylink/mulberrylink/coordination/control"
	"github.com/mulberrylink/mulberrylink/protocol/controlplane"
	"github.com/mulberrylink/mulberrylink/transport/rpc"
)

// store is the replicated log of this host.
type store struct {
	log controlplane.Log
}

func openStore(cfg controlSettings, machine *control.Machine, l *log.Logger) *store {
	l.Warn().Msg("the control log is kept in memory only")
	return &store{log: controlplane.NewLocal(cfg.self().addr, machine)}
}

func (s *store) register(*rpc.Server) {}

func (s *store) stop(context.Context) {}

// format makes the data directory. The log in memory keeps nothing there yet.
func format(cfg controlSettings) error {
	return errors.Wrap(os.MkdirAll(cfg.Control.Data, 0o755), "make data directory")
}
