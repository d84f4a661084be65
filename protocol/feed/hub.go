package feed

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"storj.io/drpc"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/directory"
	"github.com/mulberrylink/mulberrylink/coordination/document"
	"github.com/mulberrylink/mulberrylink/state/codec"
)

// keptStates is the number of former documents kept to compute differences
// for subscribers that are a little behind.
const keptStates = 16

// sessionPrefix marks the sources of records that nodes delivered themselves.
const sessionPrefix = "session-"

// HubConfig is what a Hub is built from.
type HubConfig struct {
	Directory *directory.Directory
	// State returns the committed state and a channel that is closed when the state changes.
	State func() (*document.State, <-chan struct{})
	// HasLeader reports whether this control host knows a leader or is the leader.
	HasLeader func() bool
	// Hosts returns the control hosts.
	Hosts func() []Host
	// Domain is the failure domain of this control host.
	Domain string
	Log    *log.Logger
}

// Hub serves the subscribers of one control host.
type Hub struct {
	cfg  HubConfig
	next atomic.Uint64

	mu     sync.Mutex
	kept   []*document.State
	packed map[span][]byte // of the newest version
}

// NewHub returns a hub without subscribers.
func NewHub(cfg HubConfig) *Hub {
	return &Hub{cfg: cfg, packed: make(map[span][]byte)}
}

// Method returns the name and the handler of the stream.
func (h *Hub) Method() (string, func(drpc.Stream) error) { return methodWatch, h.serve }

// span is what a packed document leads from and to.
type span struct{ from, to uint64 }

// session is one subscriber.
type session struct {
	hub    *Hub
	st     drpc.Stream
	source string
	host   string // set for a control host

	heard    atomic.Int64 // Unix nanoseconds
	raise    chan uint64
	revision uint64
	version  uint64
	serial   uint64
	hosts    []Host
}

func (h *Hub) serve(st drpc.Stream) error {
	var first upMessage
	if err := st.MsgRecv(&first, codec.Encoding{}); err != nil {
		return err
	}
	s := &session{
		hub: h, st: st, host: first.Host, raise: make(chan uint64, 1),
		source:  fmt.Sprintf("%s%d", sessionPrefix, h.next.Add(1)),
		version: first.Version, serial: first.Serial,
	}
	s.heard.Store(time.Now().UnixNano())
	s.take(first.Node)
	ctx, cancel := context.WithCancel(st.Context())
	defer cancel()
	go func() {
		defer cancel()
		for {
			var m upMessage
			if err := st.MsgRecv(&m, codec.Encoding{}); err != nil {
				return
			}
			s.heard.Store(time.Now().UnixNano())
			s.take(m.Node)
		}
	}()
	err := s.send(ctx)
	if s.host == "" {
		time.AfterFunc(graceTime, func() {
			for _, name := range h.cfg.Directory.MarkSourceGone(s.source, time.Now()) {
				h.cfg.Log.Warn().Str("node", name).Msg("node lost: its feed ended and it has not come back")
			}
		})
	}
	return err
}

// take puts the subscriber's record into the directory. A record that is older
// than the one held belongs to a node whose clock was set back: the node is
// told which incarnation to exceed.
func (s *session) take(n *mulberrylink.Node) {
	if n == nil {
		return
	}
	d := s.hub.cfg.Directory
	if d.Put(*n, s.source, time.Now()) {
		s.hub.cfg.Log.Info().Str("node", n.Name).Str("state", n.State.String()).Str("upstream", n.Upstream.String()).
			Str("service", n.Service).Uint64("incarnation", n.Incarnation).Msg("node record")
		return
	}
	if e, ok := d.Get(n.Name); ok && (e.Node.Incarnation > n.Incarnation || e.Node != *n) {
		select {
		case s.raise <- e.Node.Incarnation:
		default:
		}
	}
}

// send passes changes on until the stream ends or the subscriber is silent.
func (s *session) send(ctx context.Context) error {
	beat := time.NewTimer(0)
	defer beat.Stop()
	for {
		var m downMessage
		nodes := s.nodes(&m)
		state := s.document(&m)
		s.standing(&m)
		if err := s.st.MsgSend(&m, codec.Encoding{}); err != nil {
			return err
		}
		beat.Reset(beatInterval)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m.Raise = <-s.raise:
			if err := s.st.MsgSend(&downMessage{Raise: m.Raise}, codec.Encoding{}); err != nil {
				return err
			}
		case <-nodes:
			time.Sleep(settleTime)
		case <-state:
		case <-beat.C:
		}
		if time.Since(time.Unix(0, s.heard.Load())) > silentTime {
			return errSilent
		}
	}
}

// nodes adds the records that changed. Another control host is told only of
// the nodes that are subscribed here.
func (s *session) nodes(m *downMessage) <-chan struct{} {
	entries, revision, next := s.hub.cfg.Directory.ChangedSince(s.revision)
	s.revision = revision
	for _, e := range entries {
		if e.Source != s.source && (s.host == "" || isSession(e.Source)) {
			m.Nodes = append(m.Nodes, e.Node)
		}
	}
	return next
}

func isSession(source string) bool {
	return len(source) > len(sessionPrefix) && source[:len(sessionPrefix)] == sessionPrefix
}

// document adds what changed of the document. Control hosts have it from the
// log.
func (s *session) document(m *downMessage) <-chan struct{} {
	state, next := s.hub.cfg.State()
	s.hub.keep(state)
	if s.host != "" || state.Revision <= s.serial || state.Version < s.version {
		return next
	}
	m.Out, m.Serial = state.DomainsOut, state.Revision
	if state.Version > s.version {
		m.Packed = s.hub.pack(s.version, state)
	}
	s.version, s.serial = state.Version, state.Revision
	return next
}

// standing adds what the subscriber needs to choose a control host.
func (s *session) standing(m *downMessage) {
	m.Behind = !s.hub.cfg.HasLeader()
	if hosts := s.hub.cfg.Hosts(); !slices.Equal(hosts, s.hosts) {
		s.hosts, m.Hosts, m.Domain = hosts, hosts, s.hub.cfg.Domain
	}
}

func (h *Hub) keep(state *document.State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := len(h.kept)
	if n > 0 && h.kept[n-1].Version >= state.Version {
		return
	}
	h.kept = append(h.kept, state)
	if n >= keptStates {
		h.kept = slices.Delete(h.kept, 0, 1)
	}
}

// pack returns what leads from a version to a state. Subscribers with the same
// version share it.
func (h *Hub) pack(from uint64, to *document.State) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := span{from, to.Version}
	if data, ok := h.packed[key]; ok {
		return data
	}
	for k := range h.packed {
		if k.to != to.Version {
			delete(h.packed, k)
		}
	}
	n := &news{Full: to}
	if old := h.former(from); old != nil {
		n = &news{Change: document.Diff(old, to)}
	}
	data, err := pack(n)
	if err != nil {
		h.cfg.Log.Error().Uint64("version", to.Version).Err(err).Msg("document not packed")
		return nil
	}
	h.packed[key] = data
	return data
}

func (h *Hub) former(version uint64) *document.State {
	for _, s := range h.kept {
		if s.Version == version && version != 0 {
			return s
		}
	}
	return nil
}
