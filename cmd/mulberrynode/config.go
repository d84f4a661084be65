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
	// confirmTimeout is how long a starting node waits for a confirmed configuration before it uses
	// that of its peers.
	confirmTimeout = 3 * time.Second
	// fetchInterval is how often the configuration version is compared with those of the peers, and
	// the delay before a failed request to the control hosts is retried.
	fetchInterval = 200 * time.Millisecond
)

// configVersion is one committed version of the configuration, encoded and decoded.
type configVersion struct {
	version uint64
	data    []byte
	cfg     *overlay.Config
}

// activeConfig holds the configuration that is in force on this node and keeps it up to date.
type activeConfig struct {
	decode   func(version uint64, data []byte) (*overlay.Config, error)
	onChange func(old, next *configVersion) // called in ascending order of versions; old may be nil
	log      *log.Logger

	mu      sync.Mutex
	current atomic.Pointer[configVersion]
}

// config returns the configuration in force, nil when there is none yet.
func (a *activeConfig) config() *overlay.Config {
	if c := a.current.Load(); c != nil {
		return c.cfg
	}
	return nil
}

// encoded returns the version in force and its encoded configuration, 0 and nil when there is none yet.
func (a *activeConfig) encoded() (uint64, []byte) {
	if c := a.current.Load(); c != nil {
		return c.version, c.data
	}
	return 0, nil
}

func (a *activeConfig) version() uint64 {
	v, _ := a.encoded()
	return v
}

// apply puts a committed version into force. It ignores versions that aren't newer than the one in
// force.
func (a *activeConfig) apply(version uint64, data []byte, source string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.current.Load()
	if version == 0 || old != nil && version <= old.version {
		return
	}
	cfg, err := a.decode(version, data)
	if err != nil {
		a.log.Error().Uint64("version", version).Str("source", source).Err(err).Msg("failed to decode configuration; keeping the current one")
		return
	}
	next := &configVersion{version: version, data: data, cfg: cfg}
	a.current.Store(next)
	a.onChange(old, next)
	a.log.Info().Uint64("version", version).Str("source", source).Msg("configuration active")
}

// peerConfigSource fetches the configuration of a peer.
type peerConfigSource interface {
	Config(ctx context.Context, n mulberrylink.Node, version uint64) (newest uint64, data []byte, err error)
}

// run keeps the configuration up to date until ctx ends. It starts with the version that a quorum of
// the control hosts confirms, or with the highest version among the peers when no quorum responds.
func (a *activeConfig) run(ctx context.Context, control controlHosts, group nodeGroup, peers peerConfigSource) {
	a.fetchConfirmed(ctx, control)
	a.fetchFromPeers(ctx, group, peers) // before a lagging control host pushes an older version
	if control != nil {
		go control.Watch(ctx, func(version uint64, data []byte) { a.apply(version, data, "watch") })
	}
	tick := time.NewTicker(fetchInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			a.fetchFromPeers(ctx, group, peers)
		}
	}
}

// fetchConfirmed applies the configuration that a quorum of the control hosts confirms. It gives up
// after confirmTimeout.
func (a *activeConfig) fetchConfirmed(ctx context.Context, control controlHosts) {
	if control == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for ctx.Err() == nil {
		version, data, err := control.Confirmed(ctx)
		if err == nil {
			a.apply(version, data, "quorum")
			return
		}
		a.log.Warn().Err(err).Msg("no confirmed configuration yet")
		select {
		case <-ctx.Done():
		case <-time.After(fetchInterval):
		}
	}
}

// fetchFromPeers fetches the configuration of the peer with the highest version, if that is newer than
// the one in force.
func (a *activeConfig) fetchFromPeers(ctx context.Context, group nodeGroup, peers peerConfigSource) {
	current := a.version()
	newest, addr := group.MaxVersion()
	if newest <= current || addr == "" {
		return
	}
	version, data, err := peers.Config(ctx, mulberrylink.Node{Addr: addr}, current)
	if err != nil {
		a.log.Warn().Str("peer", addr).Err(err).Msg("failed to fetch the configuration of a peer; retrying")
		return
	}
	if len(data) > 0 {
		a.apply(version, data, "peer")
	}
}
