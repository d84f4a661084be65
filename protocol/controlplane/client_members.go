package controlplane

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Identity asks the host at addr, and no other, for its identity.
func (c *Client) Identity(ctx context.Context, addr string) (Identity, error) {
	out := new(identityReply)
	if status := c.try(ctx, addr, methodIdentity, &emptyRequest{}, out); status != StatusCommitted {
		return Identity{}, errors.Newf("control host %s does not answer", addr)
	}
	return Identity{Host: out.Host, ID: out.ID, Blank: out.Blank, Formed: out.Formed, Voting: out.Voting}, nil
}

// AddMember adds a blank host and returns when it is caught up, synced and has
// its vote, when the change is refused, or with MemberWaiting when ctx ends.
func (c *Client) AddMember(ctx context.Context, id uint64, addr string) (MemberResult, error) {
	return c.changeMember(ctx, methodAdd, &memberRequest{ID: id, Addr: addr})
}

// RemoveMember removes a member and returns when that is durable at a quorum.
func (c *Client) RemoveMember(ctx context.Context, id uint64) (MemberResult, error) {
	return c.changeMember(ctx, methodRemove, &memberRequest{ID: id})
}

// changeMember asks until the change is done or refused. A change that a lost
// answer left open is asked for again: the hosts accept the repetition.
func (c *Client) changeMember(ctx context.Context, method string, in *memberRequest) (MemberResult, error) {
	var last MemberResult
	asked := false
	for {
		out, status := call[memberReply](ctx, c, method, in)
		if status == StatusCommitted {
			asked, last = true, out.Result
			if last.State != MemberWaiting {
				return last, nil
			}
		}
		if !pause(ctx) {
			break
		}
	}
	if !asked {
		return MemberResult{}, errNoHost
	}
	return last, nil
}
