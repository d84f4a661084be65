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

// proposeTimeout bounds how long a call waits for its command. A new leader
// takes up to 1.5 s, and the client tries another host before that.
const proposeTimeout = 2 * time.Second

// maxClaimLeft bounds the deadline that a node may ask for. It is the limit of
// the settings key keyttl.
const maxClaimLeft = 168 * time.Hour

// drainPoll is how often Drain looks for calls in progress.
const drainPoll = 10 * time.Millisecond

// ServerConfig holds what a Server needs.
type ServerConfig struct {
	// Name and Domain are those of the host, shown by status.
	Name   string
	Domain string
	Log    Log
	// Machine is the state machine that Log applies commands to.
	Machine *control.Machine
	// Group changes the members of Log. It may be nil when the log has one host.
	Group Group
	// Now is the clock of the host.
	Now func() time.Time
	// Observe is called with the method and the outcome word of each call. It
	// may be nil.
	Observe func(method, outcome string)
}

// Server answers the calls of nodes and operators on one control host.
type Server struct {
	cfg     ServerConfig
	clock   *control.Clock
	reports *reports
	calls   atomic.Int64  // unary calls in progress
	closing chan struct{} // closed by Drain
	once    sync.Once
}

// NewServer returns a server.
func NewServer(cfg ServerConfig) *Server {
	if cfg.Observe == nil {
		cfg.Observe = func(string, string) {}
	}
	return &Server{
		cfg:     cfg,
		clock:   control.NewClock(cfg.Machine, cfg.Now),
		reports: newReports(),
		closing: make(chan struct{}),
	}
}

// Drain ends the watch streams, whose clients then go to another host, and
// returns when no other call is in progress or ctx ends.
func (s *Server) Drain(ctx context.Context) {
	s.once.Do(func() { close(s.closing) })
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for s.calls.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// Methods returns the handlers by method name.
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

// unary makes a handler from a function of one request and one reply.
func unary[In any, Out reply](s *Server, method string, f func(context.Context, *In) Out) func(drpc.Stream) error {
	return func(st drpc.Stream) error {
		in := new(In)
		if err := st.MsgRecv(in, codec.Encoding{}); err != nil {
			return err
		}
		s.calls.Add(1)
		defer s.calls.Add(-1)
		out := f(st.Context(), in)
		s.cfg.Observe(method, out.head().Status.String())
		return st.MsgSend(out, codec.Encoding{})
	}
}

// propose replicates one command. The result is only valid with status
// StatusCommitted.
func (s *Server) propose(ctx context.Context, c control.Command) (control.Result, replyHead) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	c.Now = s.clock.Micros()
	data, status := s.cfg.Log.Propose(ctx, control.Encode(c))
	if status != StatusCommitted {
		return control.Result{}, s.refusal(status)
	}
	res, err := control.DecodeResult(data)
	if err != nil {
		return control.Result{}, replyHead{Status: StatusIndeterminate}
	}
	return res, replyHead{}
}

// refusal returns the head of a reply to a call that was not served, with the
// leader when another host leads.
func (s *Server) refusal(status Status) replyHead {
	_, addr, self := s.cfg.Log.Leader()
	if self {
		return replyHead{Status: status}
	}
	return replyHead{Status: status, Leader: addr}
}

func (s *Server) confirmed(ctx context.Context, _ *emptyRequest) *confirmedReply {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if !s.cfg.Log.ReadBarrier(ctx) {
		_, _, self := s.cfg.Log.Leader()
		if self {
			return &confirmedReply{replyHead: s.refusal(StatusUnavailable)}
		}
		return &confirmedReply{replyHead: s.refusal(StatusNotLeader)}
	}
	cur, _ := s.cfg.Machine.Current()
	return &confirmedReply{Version: cur.Version, Raw: cur.EncodedConfig}
}

// until returns the deadline, on the clock of the log, of a time that travelled
// as milliseconds left.
func (s *Server) until(left int64) int64 {
	return s.clock.Micros() + min(left, maxClaimLeft.Milliseconds())*time.Millisecond.Microseconds()
}
