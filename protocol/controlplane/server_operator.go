package controlplane

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrylink/mulberrylink/coordination/control"
	"github.com/mulberrylink/mulberrylink/state/codec"
	"github.com/mulberrylink/mulberrylink/state/overlay"
)

const (
	// maxSourceBytes bounds the total size of the files of one change. 230 services with ten sections
	// each take about 200 KB.
	maxSourceBytes = 1 << 20
	// maxChangeID is the maximum length of a change identifier in bytes.
	maxChangeID = 128
	// readBarrierTimeout bounds the read barrier of status and history. It is shorter than the
	// client's attemptTimeout.
	readBarrierTimeout = 300 * time.Millisecond
	// maxHistory is the maximum number of changes in one reply.
	maxHistory = 1_000
)

func (s *Server) apply(ctx context.Context, in *applyRequest) *applyReply {
	if _, _, self := s.cfg.Log.Leader(); !self {
		return &applyReply{replyHeader: s.rejection(StatusNotLeader)}
	}
	cmd, problems := newChangeCommand(in)
	if len(problems) > 0 {
		current, _ := s.cfg.Machine.Current()
		return &applyReply{State: ApplyInvalid, Version: current.Version, Problems: problems}
	}
	cmd.ProposedAt = s.cfg.Now().UnixMicro() //nolint:forbidigo // shown in the history, not compared
	result, header := s.propose(ctx, control.Command{Change: cmd})
	out := &applyReply{replyHeader: header, Version: result.Version}
	switch result.Code {
	case control.Accepted:
		out.State = ApplyAccepted
	case control.Conflict:
		out.State = ApplyConflict
	case control.Reused:
		out.State = ApplyInvalid
		out.Problems = []string{fmt.Sprintf("change identifier %q was used before with other files or another version", in.ID)}
	default:
		out.State = ApplyUnavailable
	}
	return out
}

// newChangeCommand merges and validates the files of a change and returns its command, or a list of
// problems.
func newChangeCommand(in *applyRequest) (*control.ChangeCommand, []string) {
	if problem := validateChange(in); problem != "" {
		return nil, []string{problem}
	}
	cfg, err := overlay.Merge(in.Base, in.Overlays)
	if err != nil {
		return nil, strings.Split(err.Error(), "\n")
	}
	cfg.Version = in.BaseVersion + 1
	cmd := &control.ChangeCommand{ID: in.ID, BaseVersion: in.BaseVersion, Fingerprint: changeFingerprint(in), EncodedConfig: overlay.Encode(cfg)}
	for _, f := range append([]overlay.File{in.Base}, in.Overlays...) {
		cmd.Files = append(cmd.Files, control.File{Name: f.Name, Data: f.Data})
	}
	return cmd, nil
}

func validateChange(in *applyRequest) string {
	size := len(in.Base.Data)
	for _, f := range in.Overlays {
		size += len(f.Data)
	}
	switch {
	case in.ID == "" || len(in.ID) > maxChangeID:
		return fmt.Sprintf("change identifier must have 1 to %d bytes", maxChangeID)
	case size > maxSourceBytes:
		return fmt.Sprintf("files have a total size of %d bytes, the limit is %d", size, maxSourceBytes)
	}
	return ""
}

// changeFingerprint hashes the base version and the contents of the files. It omits the file names,
// because a change may be sent again from another directory.
func changeFingerprint(in *applyRequest) uint64 {
	data := [][]byte{in.Base.Data}
	for _, f := range in.Overlays {
		data = append(data, f.Data)
	}
	b, err := codec.Marshal(struct {
		V uint64
		D [][]byte
	}{in.BaseVersion, data})
	if err != nil {
		panic(err) // byte strings always encode
	}
	return xxhash.Sum64(b)
}

// status reports a host as leading only if a quorum confirms it, because a host that was paused for
// longer than the election timeout may still consider itself the leader.
func (s *Server) status(ctx context.Context, _ *emptyRequest) *statusReply {
	_, addr, self := s.cfg.Log.Leader()
	self = self && s.readBarrier(ctx)
	current, _ := s.cfg.Machine.Current()
	identity := s.hostIdentity()
	return &statusReply{
		replyHeader: replyHeader{Leader: addr},
		Host:        s.cfg.Name,
		Domain:      s.cfg.Domain,
		Leading:     self,
		ID:          identity.ID,
		Blank:       identity.Blank,
		Version:     current.Version,
		ClaimCount:  s.cfg.Machine.ClaimCount(),
		Nodes:       s.reports.list(s.cfg.Now()),
	}
}

// readBarrier reports whether a quorum confirmed that the applied state of this host is current.
func (s *Server) readBarrier(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readBarrierTimeout)
	defer cancel()
	return s.cfg.Log.ReadBarrier(ctx)
}

// history reads the list of changes behind a read barrier, because a host that has just started may
// hold only a part of it. The files of a version never change, so they need no read barrier.
func (s *Server) history(ctx context.Context, in *historyRequest) *historyReply {
	if s.hostIdentity().Blank {
		return &historyReply{replyHeader: s.rejection(StatusNotLeader)}
	}
	if in.Version > 0 {
		return &historyReply{Files: s.cfg.Machine.SourceFiles(in.Version)}
	}
	if !s.readBarrier(ctx) {
		return &historyReply{replyHeader: s.rejection(StatusUnavailable)}
	}
	return &historyReply{Changes: s.cfg.Machine.History(min(in.Limit, maxHistory))}
}

func (s *Server) members(_ context.Context, _ *emptyRequest) *membersReply {
	if s.hostIdentity().Blank {
		return &membersReply{replyHeader: s.rejection(StatusNotLeader)}
	}
	return &membersReply{Members: s.cfg.Log.Members()}
}

// maxReportMillis bounds how long the report of a node is kept, one hour. A larger value would
// overflow a time.Duration.
const maxReportMillis = 60 * 60 * 1000

func (s *Server) report(_ context.Context, in *reportRequest) *reportReply {
	now := s.cfg.Now()
	remaining := time.Duration(min(max(in.RemainingMillis, 0), maxReportMillis)) * time.Millisecond
	s.reports.put(*in, now, now.Add(remaining))
	return &reportReply{}
}
