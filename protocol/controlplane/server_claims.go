package controlplane

import (
	"context"

	"github.com/mulberrylink/mulberrylink/coordination/control"
)

func (s *Server) claim(ctx context.Context, in *claimRequest) *claimReply {
	return s.claimCommand(ctx, control.Command{Claim: &control.ClaimCommand{
		Service:     in.Service,
		Key:         in.Key,
		Fingerprint: in.Fingerprint,
		Holder:      in.Holder,
		RequestID:   in.RequestID,
		Deadline:    s.claimDeadline(in.RemainingMillis),
	}})
}

func (s *Server) finish(ctx context.Context, in *claimRequest) *claimReply {
	return s.claimCommand(ctx, control.Command{Finish: &control.FinishCommand{
		Service:   in.Service,
		Key:       in.Key,
		Holder:    in.Holder,
		RequestID: in.RequestID,
		Response:  in.Response,
	}})
}

func (s *Server) release(ctx context.Context, in *claimRequest) *claimReply {
	return s.claimCommand(ctx, control.Command{Release: &control.ReleaseCommand{
		Service:   in.Service,
		Key:       in.Key,
		Holder:    in.Holder,
		RequestID: in.RequestID,
		Deadline:  s.claimDeadline(in.RemainingMillis),
	}})
}

func (s *Server) claimCommand(ctx context.Context, cmd control.Command) *claimReply {
	result, header := s.propose(ctx, cmd)
	return &claimReply{replyHeader: header, Result: result}
}
