package controlplane

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/control"
	"github.com/mulberrylink/mulberrylink/state/overlay"
)

//go:generate stringer -type=ApplyState -linecomment -output=client_operator_string.go

// ApplyState is the outcome of a configuration change.
type ApplyState uint8

// Outcomes of configuration changes.
const (
	// ApplyAccepted means that the change was accepted as a version and is durable at a quorum.
	ApplyAccepted ApplyState = iota // accepted
	// ApplyConflict means that the base version of the change was not the current version.
	ApplyConflict // conflict
	// ApplyInvalid means that the files or the change identifier are invalid.
	ApplyInvalid // invalid
	// ApplyUnavailable means that the change was not accepted and will not be.
	ApplyUnavailable // unavailable
	// ApplyIndeterminate means that the change may have been accepted. Sending it again with the same
	// identifier returns its stored outcome.
	ApplyIndeterminate // indeterminate
)

// Change is a change of the configuration.
type Change struct {
	// ID is the change identifier. A change that is sent again has the same identifier.
	ID string
	// BaseVersion is the version that the files were edited from, 0 for the first change.
	BaseVersion uint64
	Base        overlay.File
	Overlays    []overlay.File
}

// ApplyReply is the reply to a configuration change.
type ApplyReply struct {
	State ApplyState
	// Version is the accepted version. For ApplyConflict and ApplyInvalid it is the version that was
	// current.
	Version uint64
	// Problems holds one line for each problem of an invalid change.
	Problems []string
}

// NodeReport is the state that a node reports for operators.
type NodeReport struct {
	Name     string
	Domain   string
	Service  string
	Version  uint64
	State    mulberrylink.NodeState
	Upstream mulberrylink.UpstreamState
	Load     mulberrylink.Load
	// ExpiresAt is when the report expires.
	ExpiresAt time.Time
}

// HostStatus is the state of one control host.
type HostStatus struct {
	Host    string
	Domain  string
	Leading bool
	// ID is the identity of the data directory of the host.
	ID uint64
	// Blank is true for a host that has not been added to a group.
	Blank bool
	// Leader is the address of the leader known to the host, or empty.
	Leader     string
	Version    uint64
	ClaimCount int
	Nodes      []NodeReport
}

// Apply proposes a change of the configuration.
func (c *Client) Apply(ctx context.Context, change Change) ApplyReply {
	in := &applyRequest{ID: change.ID, BaseVersion: change.BaseVersion, Base: change.Base, Overlays: change.Overlays}
	out, status := call[applyReply](ctx, c, methodApply, in)
	switch status {
	case StatusCommitted:
		return ApplyReply{State: out.State, Version: out.Version, Problems: out.Problems}
	case StatusIndeterminate:
		return ApplyReply{State: ApplyIndeterminate}
	default:
		return ApplyReply{State: ApplyUnavailable}
	}
}

// Report sends the report to one host. Each call selects the next host, so that all hosts receive
// reports of the node.
func (c *Client) Report(ctx context.Context, report NodeReport) Status {
	if len(c.hosts) == 0 {
		return StatusUnavailable
	}
	addr := c.hosts[int(c.reportCount.Add(1))%len(c.hosts)]
	return c.attempt(ctx, addr, methodReport, report.wire(), &reportReply{})
}

// Status returns the state of the first host that responds.
func (c *Client) Status(ctx context.Context) (HostStatus, error) {
	out, status := call[statusReply](ctx, c, methodStatus, &emptyRequest{})
	if status != StatusCommitted {
		return HostStatus{}, errNoHost
	}
	s := HostStatus{
		Host:       out.Host,
		Domain:     out.Domain,
		Leading:    out.Leading,
		ID:         out.ID,
		Blank:      out.Blank,
		Leader:     out.Leader,
		Version:    out.Version,
		ClaimCount: out.ClaimCount,
	}
	for _, n := range out.Nodes {
		s.Nodes = append(s.Nodes, n.report())
	}
	return s, nil
}

// History returns up to limit of the latest changes, newest first, read with the confirmation of a
// quorum.
func (c *Client) History(ctx context.Context, limit int) ([]control.ChangeRecord, error) {
	out, status := call[historyReply](ctx, c, methodHistory, &historyRequest{Limit: limit})
	if status != StatusCommitted {
		return nil, errNoHost
	}
	return out.Changes, nil
}

// SourceFiles returns the source files of an accepted version, starting with the base file. It
// returns nil if they are no longer stored.
func (c *Client) SourceFiles(ctx context.Context, version uint64) ([]overlay.File, error) {
	out, status := call[historyReply](ctx, c, methodHistory, &historyRequest{Version: version})
	if status != StatusCommitted {
		return nil, errNoHost
	}
	var files []overlay.File
	for _, f := range out.Files {
		files = append(files, overlay.File{Name: f.Name, Data: f.Data})
	}
	return files, nil
}

// Members returns the control hosts known to the first host that responds.
func (c *Client) Members(ctx context.Context) ([]Member, error) {
	out, status := call[membersReply](ctx, c, methodMembers, &emptyRequest{})
	if status != StatusCommitted {
		return nil, errNoHost
	}
	return out.Members, nil
}

var errNoHost = errors.New("no control host answered")

func (r NodeReport) wire() *reportRequest {
	return &reportRequest{
		Name:            r.Name,
		Domain:          r.Domain,
		Service:         r.Service,
		Version:         r.Version,
		State:           uint8(r.State),
		Upstream:        uint8(r.Upstream),
		InFlight:        r.Load.InFlight,
		Limit:           r.Load.Limit,
		Queued:          r.Load.Queued,
		Latency:         r.Load.Latency,
		Cold:            r.Load.Cold,
		RemainingMillis: time.Until(r.ExpiresAt).Milliseconds(),
	}
}

func (m reportRequest) report() NodeReport {
	return NodeReport{
		Name:     m.Name,
		Domain:   m.Domain,
		Service:  m.Service,
		Version:  m.Version,
		State:    mulberrylink.NodeState(m.State),
		Upstream: mulberrylink.UpstreamState(m.Upstream),
		Load: mulberrylink.Load{
			InFlight: m.InFlight,
			Limit:    m.Limit,
			Queued:   m.Queued,
			Latency:  m.Latency,
			Cold:     m.Cold,
		},
		ExpiresAt: time.Now().Add(time.Duration(m.RemainingMillis) * time.Millisecond),
	}
}
