package controlplane

import (
	"context"
	"time"
)

// memberStep bounds one call that changes the members. It is below the
// client's tryTimeout: the client asks again until the change is done.
const memberStep = 400 * time.Millisecond

// who returns the identity of this host. A log without a group is never blank.
func (s *Server) who() Identity {
	if s.cfg.Group == nil {
		id, _, _ := s.cfg.Log.Leader()
		return Identity{ID: id, Formed: true, Voting: true}
	}
	return s.cfg.Group.Identity()
}

func (s *Server) identity(_ context.Context, _ *emptyRequest) *identityReply {
	who := s.who()
	return &identityReply{Host: s.cfg.Name, ID: who.ID, Blank: who.Blank, Formed: who.Formed, Voting: who.Voting}
}

func (s *Server) addMember(ctx context.Context, in *memberRequest) *memberReply {
	return s.changeMember(ctx, func(ctx context.Context) (MemberResult, Status) {
		return s.cfg.Group.Add(ctx, in.ID, in.Addr)
	})
}

func (s *Server) removeMember(ctx context.Context, in *memberRequest) *memberReply {
	return s.changeMember(ctx, func(ctx context.Context) (MemberResult, Status) {
		return s.cfg.Group.Remove(ctx, in.ID)
	})
}

func (s *Server) changeMember(ctx context.Context, f func(context.Context) (MemberResult, Status)) *memberReply {
	if s.cfg.Group == nil {
		return &memberReply{Result: MemberResult{State: MemberRefused, Reason: MemberUnsupported}}
	}
	ctx, cancel := context.WithTimeout(ctx, memberStep)
	defer cancel()
	res, status := f(ctx)
	if status != StatusCommitted {
		return &memberReply{replyHead: s.refusal(status)}
	}
	return &memberReply{Result: res}
}
