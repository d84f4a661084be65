package controlplane

import (
	"context"

	"github.com/mulberrylink/mulberrylink/coordination/control"
)

func (s *Server) claim(ctx context.Context, in *claimRequest) *claimReply {
	return s.claimCommand(ctx, control.Command{Claim: &control.ClaimCommand{
		Service:     in.Service,
		Key:         in.Key,
		Fingerprint: in.Print,
		Holder:      in.Holder,
		RequestID:   in.Request,
		Deadline:    s.until(in.Left),
	}})
}

func (s *Server) finish(ctx context.Context, in *claimRequest) *claimReply {
	return s.claimCommand(ctx, control.Command{Finish: &control.FinishCommand{
		Service:   in.Service,
		Key:       in.Key,
		Holder:    in.Holder,
		RequestID: in.Request,
		Response:  in.Answer,
	}})
}

func (s *Server) release(ctx context.Context, in *claimRequest) *claimReply {
	return s.claimCommand(ctx, control.Command{Release: &control.ReleaseCommand{
		Service:   in.Service,
		Key:       in.Key,
		Holder:    in.Holder,
		RequestID: in.Request,
		Deadline:  s.until(in.Left),
	}})
}

func (s *Server) claimCommand(ctx context.Context, c control.Command) *claimReply {
	res, head := s.propose(ctx, c)
	return &claimReply{replyHead: head, Result: res}
}
