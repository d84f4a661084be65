package controlplane

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc"

	"github.com/mulberrylink/mulberrylink/coordination/control"
	"github.com/mulberrylink/mulberrylink/state/codec"
)

// proposeTimeout bounds how long a call waits until its command is applied. An election takes up to
// 1.5 s, and the client tries another host before that.
const proposeTimeout = 2 * time.Second

// maxClaimTTL bounds the remaining time of a claim. It is the maximum of the settings key keyttl.
const maxClaimTTL = 168 * time.Hour

// drainPollInterval is how often Drain checks for calls in progress.
const drainPollInterval = 10 * time.Millisecond

// ServerConfig configures a Server.
type ServerConfig struct {
	// Name and Domain are the name and failure domain of the host, shown by status.
	Name   string
	Domain string
	Log    Log
	// Machine is the state machine that Log applies commands to.
	Machine *control.Machine
	// Group changes the members of Log. It may be nil if the log has a single host: membership changes
	// are then refused as unsupported.
	Group Group
	// Now returns the wall clock time of the host.
	Now func() time.Time
	// Observe is called with the method and the outcome of each call: the text of its Status, or
	// "started" for a watch. It may be nil.
	Observe func(method, outcome string)
}

// Server handles the calls of nodes and operators on one control host.
type Server struct {
	cfg         ServerConfig
	clock       *control.Clock
	reports     *reportTable
	activeCalls atomic.Int64  // unary calls in progress
	draining    chan struct{} // closed by Drain
	drainOnce   sync.Once
}

// NewServer returns a server.
func NewServer(cfg ServerConfig) *Server {
	if cfg.Observe == nil {
		cfg.Observe = func(string, string) {}
	}
	return &Server{
		cfg:      cfg,
		clock:    control.NewClock(cfg.Machine, cfg.Now),
		reports:  newReportTable(),
		draining: make(chan struct{}),
	}
}

// Drain ends the watch streams, so that their clients change to another host, and returns when no
// other call is in progress or ctx ends.
func (s *Server) Drain(ctx context.Context) {
	s.drainOnce.Do(func() { close(s.draining) })
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for s.activeCalls.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// Methods returns the RPC handlers by method name.
func (s *Server) Methods() map[string]func(drpc.Stream) error {
	return map[string]func(drpc.Stream) error{
		methodWatch:     s.watch,
		methodConfirmed: unary(s, methodConfirmed, s.confirmed),
		methodClaim:     unary(s, methodClaim, s.claim),
		methodFinish:    unary(s, methodFinish, s.finish),
		methodRelease:   unary(s, methodRelease, s.release),
		methodReport:    unary(s, methodReport, s.report),
		methodApply:     unary(s, methodApply, s.apply),
		methodStatus:    unary(s, methodStatus, s.status),
		methodHistory:   unary(s, methodHistory, s.history),
		methodMembers:   unary(s, methodMembers, s.members),
		methodIdentity:  unary(s, methodIdentity, s.identity),
		methodAdd:       unary(s, methodAdd, s.addMember),
		methodRemove:    unary(s, methodRemove, s.removeMember),
	}
}

// unary returns the handler of a method with one request and one reply.
func unary[In any, Out reply](s *Server, method string, f func(context.Context, *In) Out) func(drpc.Stream) error {
	return func(st drpc.Stream) error {
		in := new(In)
		if err := st.MsgRecv(in, codec.Encoding{}); err != nil {
			return err
		}
		s.activeCalls.Add(1)
		defer s.activeCalls.Add(-1)
		out := f(st.Context(), in)
		s.cfg.Observe(method, out.header().Status.String())
		return st.MsgSend(out, codec.Encoding{})
	}
}

// propose replicates one command. The result is valid only if the status in the header is
// StatusCommitted.
func (s *Server) propose(ctx context.Context, cmd control.Command) (control.Result, replyHeader) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	cmd.Now = s.clock.Micros()
	encoded, status := s.cfg.Log.Propose(ctx, control.Encode(cmd))
	if status != StatusCommitted {
		return control.Result{}, s.rejection(status)
	}
	result, err := control.DecodeResult(encoded)
	if err != nil {
		return control.Result{}, replyHeader{Status: StatusIndeterminate}
	}
	return result, replyHeader{}
}

// rejection returns the reply header of a rejected call. It names the leader if another host leads.
func (s *Server) rejection(status Status) replyHeader {
	_, addr, self := s.cfg.Log.Leader()
	if self {
		return replyHeader{Status: status}
	}
	return replyHeader{Status: status, Leader: addr}
}

func (s *Server) confirmed(ctx context.Context, _ *emptyRequest) *confirmedReply {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if !s.cfg.Log.ReadBarrier(ctx) {
		_, _, self := s.cfg.Log.Leader()
		if self {
			return &confirmedReply{replyHeader: s.rejection(StatusUnavailable)}
		}
		return &confirmedReply{replyHeader: s.rejection(StatusNotLeader)}
	}
	current, _ := s.cfg.Machine.Current()
	return &confirmedReply{Version: current.Version, EncodedConfig: current.EncodedConfig}
}

// claimDeadline converts the remaining milliseconds of a claim to a deadline on the clock of the log,
// in microseconds since the Unix epoch.
func (s *Server) claimDeadline(remainingMillis int64) int64 {
	return s.clock.Micros() + min(remainingMillis, maxClaimTTL.Milliseconds())*time.Millisecond.Microseconds()
}
