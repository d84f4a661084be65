package controlplane

import (
	"context"
	"time"
)

// memberChangeTimeout bounds one membership change call. It is shorter than the client's
// attemptTimeout, because the client repeats the call until the change is done.
const memberChangeTimeout = 400 * time.Millisecond

// hostIdentity returns the identity of this host. A host without a Group is never blank.
func (s *Server) hostIdentity() Identity {
	if s.cfg.Group == nil {
		id, _, _ := s.cfg.Log.Leader()
		return Identity{ID: id, Formed: true, Voting: true}
	}
	return s.cfg.Group.Identity()
}

func (s *Server) identity(_ context.Context, _ *emptyRequest) *identityReply {
	identity := s.hostIdentity()
	return &identityReply{Host: s.cfg.Name, ID: identity.ID, Blank: identity.Blank, Formed: identity.Formed, Voting: identity.Voting}
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

func (s *Server) changeMember(ctx context.Context, change func(context.Context) (MemberResult, Status)) *memberReply {
	if s.cfg.Group == nil {
		return &memberReply{Result: MemberResult{State: MemberRefused, Reason: MemberUnsupported}}
	}
	ctx, cancel := context.WithTimeout(ctx, memberChangeTimeout)
	defer cancel()
	result, status := change(ctx)
	if status != StatusCommitted {
		return &memberReply{replyHeader: s.rejection(status)}
	}
	return &memberReply{Result: result}
}
