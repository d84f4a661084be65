package main

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/state/overlay"
)

const (
	// confirmTime is how long a starting node waits for a control host before
	// it takes the configuration from its peers.
	confirmTime = 3 * time.Second
	// fetchInterval is how often the versions of the peers are compared.
	fetchInterval = 200 * time.Millisecond
)

// committed is one committed version of the configuration.
type committed struct {
	version uint64
	data    []byte
	cfg     *overlay.Config
}

// active holds the configuration that is in force on this node.
type active struct {
	decode  func(version uint64, data []byte) (*overlay.Config, error)
	changed func(old, next *committed) // called in order of versions
	log     *log.Logger

	mu      sync.Mutex
	current atomic.Pointer[committed]
}

// config returns the configuration in force, nil when there is none.
func (a *active) config() *overlay.Config {
	if c := a.current.Load(); c != nil {
		return c.cfg
	}
	return nil
}

// committed returns the version in force and its bytes.
func (a *active) committed() (uint64, []byte) {
	if c := a.current.Load(); c != nil {
		return c.version, c.data
	}
	return 0, nil
}

func (a *active) version() uint64 {
	v, _ := a.committed()
	return v
}

// adopt puts a committed version in force. A version that is not higher than
// the one in force is ignored.
func (a *active) adopt(version uint64, data []byte, source string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.current.Load()
	if version == 0 || old != nil && version <= old.version {
		return
	}
	cfg, err := a.decode(version, data)
	if err != nil {
		a.log.Error().Uint64("version", version).Str("source", source).Err(err).Msg("configuration refused")
		return
	}
	next := &committed{version: version, data: data, cfg: cfg}
	a.current.Store(next)
	a.changed(old, next)
	a.log.Info().Uint64("version", version).Str("source", source).Msg("configuration active")
}

// peerConfig fetches the configuration of a peer.
type peerConfig interface {
	Config(ctx context.Context, n mulberrylink.Node, version uint64) (newest uint64, data []byte, err error)
}

// follow keeps the configuration up to date until ctx ends. It starts with a
// version that the quorum confirms, or with the highest one among the peers
// when no control host answers.
func (a *active) follow(ctx context.Context, link controlLink, g group, peers peerConfig) {
	a.start(ctx, link)
	a.fetch(ctx, g, peers) // before a lagging control host pushes an older version
	if link != nil {
		go link.Watch(ctx, func(version uint64, data []byte) { a.adopt(version, data, "watch") })
	}
	tick := time.NewTicker(fetchInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			a.fetch(ctx, g, peers)
		}
	}
}

// start asks the quorum. It returns after confirmTime without an answer.
func (a *active) start(ctx context.Context, link controlLink) {
	if link == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTime)
	defer cancel()
	for ctx.Err() == nil {
		version, data, err := link.Confirmed(ctx)
		if err == nil {
			a.adopt(version, data, "quorum")
			return
		}
		a.log.Warn().Err(err).Msg("no confirmed configuration yet")
		select {
		case <-ctx.Done():
		case <-time.After(fetchInterval):
		}
	}
}

// fetch takes a higher version from the peer that has it.
func (a *active) fetch(ctx context.Context, g group, peers peerConfig) {
	have := a.version()
	newest, addr := g.MaxVersion()
	if newest <= have || addr == "" {
		return
	}
	version, data, err := peers.Config(ctx, mulberrylink.Node{Addr: addr}, have)
	if err != nil {
		a.log.Warn().Str("peer", addr).Err(err).Msg("configuration of peer not read")
		return
	}
	if len(data) > 0 {
		a.adopt(version, data, "peer")
	}
}
