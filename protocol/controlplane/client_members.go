package controlplane

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Identity returns the identity of the host at addr. It makes one attempt, at this host only.
func (c *Client) Identity(ctx context.Context, addr string) (Identity, error) {
	out := new(identityReply)
	if status := c.attempt(ctx, addr, methodIdentity, &emptyRequest{}, out); status != StatusCommitted {
		return Identity{}, errors.Newf("control host %s does not answer", addr)
	}
	return Identity{Host: out.Host, ID: out.ID, Blank: out.Blank, Formed: out.Formed, Voting: out.Voting}, nil
}

// AddMember adds a blank host. It returns when the host has synced all committed entries and is a
// voter, when the change is refused, or with MemberWaiting when ctx ends.
func (c *Client) AddMember(ctx context.Context, id uint64, addr string) (MemberResult, error) {
	return c.changeMember(ctx, methodAdd, &memberRequest{ID: id, Addr: addr})
}

// RemoveMember removes a member. It returns when the removal is durable at a quorum or refused, or
// with MemberWaiting when ctx ends.
func (c *Client) RemoveMember(ctx context.Context, id uint64) (MemberResult, error) {
	return c.changeMember(ctx, methodRemove, &memberRequest{ID: id})
}

// changeMember repeats a membership change until it is done or refused, or ctx ends. It also repeats a
// change whose reply was lost, because the hosts accept repeated changes.
func (c *Client) changeMember(ctx context.Context, method string, in *memberRequest) (MemberResult, error) {
	var last MemberResult
	replied := false
	for {
		out, status := call[memberReply](ctx, c, method, in)
		if status == StatusCommitted {
			replied, last = true, out.Result
			if last.State != MemberWaiting {
				return last, nil
			}
		}
		if !waitRetryDelay(ctx) {
			break
		}
	}
	if !replied {
		return MemberResult{}, errNoHost
	}
	return last, nil
}
