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
	// maxSourceBytes bounds the files of one change: 230 services with ten
	// sections each take about 200 KB.
	maxSourceBytes = 1 << 20
	// maxChangeID is the longest change identifier in bytes.
	maxChangeID = 128
	// confirmTimeout bounds the confirmation of status; it is below the client's
	// tryTimeout.
	confirmTimeout = 300 * time.Millisecond
	// maxHistory is the largest number of changes in one reply.
	maxHistory = 1_000
)

func (s *Server) apply(ctx context.Context, in *applyRequest) *applyReply {
	if _, _, self := s.cfg.Log.Leader(); !self {
		return &applyReply{replyHead: s.refusal(StatusNotLeader)}
	}
	cmd, problems := changeCommand(in)
	if len(problems) > 0 {
		cur, _ := s.cfg.Machine.Current()
		return &applyReply{State: ApplyInvalid, Version: cur.Version, Problems: problems}
	}
	cmd.ProposedAt = s.cfg.Now().UnixMicro()
	res, head := s.propose(ctx, control.Command{Change: cmd})
	out := &applyReply{replyHead: head, Version: res.Version}
	switch res.Code {
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

// changeCommand validates the files as a whole and makes the command.
func changeCommand(in *applyRequest) (*control.ChangeCommand, []string) {
	if problem := checkChange(in); problem != "" {
		return nil, []string{problem}
	}
	cfg, err := overlay.Merge(in.Base, in.Overlays)
	if err != nil {
		return nil, strings.Split(err.Error(), "\n")
	}
	cfg.Version = in.Version + 1
	cmd := &control.ChangeCommand{ID: in.ID, BaseVersion: in.Version, Fingerprint: changePrint(in), EncodedConfig: overlay.Encode(cfg)}
	for _, f := range append([]overlay.File{in.Base}, in.Overlays...) {
		cmd.Files = append(cmd.Files, control.File{Name: f.Name, Data: f.Data})
	}
	return cmd, nil
}

func checkChange(in *applyRequest) string {
	size := len(in.Base.Data)
	for _, f := range in.Overlays {
		size += len(f.Data)
	}
	switch {
	case in.ID == "" || len(in.ID) > maxChangeID:
		return fmt.Sprintf("change identifier must have 1 to %d bytes", maxChangeID)
	case size > maxSourceBytes:
		return fmt.Sprintf("files have %d bytes together, more than %d", size, maxSourceBytes)
	}
	return ""
}

// changePrint covers contents and not names, because a change may be sent
// again from another directory.
func changePrint(in *applyRequest) uint64 {
	data := [][]byte{in.Base.Data}
	for _, f := range in.Overlays {
		data = append(data, f.Data)
	}
	b, err := codec.Marshal(struct {
		V uint64
		D [][]byte
	}{in.Version, data})
	if err != nil {
		panic(err) // byte strings always encode
	}
	return xxhash.Sum64(b)
}

// status shows a host as leading only when a quorum confirms it: a host that
// was stopped for longer than the election timeout still believes that it leads.
func (s *Server) status(ctx context.Context, _ *emptyRequest) *statusReply {
	_, addr, self := s.cfg.Log.Leader()
	self = self && s.confirm(ctx)
	cur, _ := s.cfg.Machine.Current()
	who := s.who()
	return &statusReply{
		replyHead: replyHead{Leader: addr},
		Host:      s.cfg.Name,
		Domain:    s.cfg.Domain,
		Self:      self,
		ID:        who.ID,
		Blank:     who.Blank,
		Version:   cur.Version,
		Claims:    s.cfg.Machine.ClaimCount(),
		Nodes:     s.reports.list(s.cfg.Now()),
	}
}

// confirm reports whether a quorum confirms what this host has applied.
func (s *Server) confirm(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return s.cfg.Log.ReadBarrier(ctx)
}

// history confirms the list of changes: a host that has just started knows
// only a part of it. The files of one version never change.
func (s *Server) history(ctx context.Context, in *historyRequest) *historyReply {
	if s.who().Blank {
		return &historyReply{replyHead: s.refusal(StatusNotLeader)}
	}
	if in.Version > 0 {
		return &historyReply{Files: s.cfg.Machine.SourceFiles(in.Version)}
	}
	if !s.confirm(ctx) {
		return &historyReply{replyHead: s.refusal(StatusUnavailable)}
	}
	return &historyReply{Changes: s.cfg.Machine.History(min(in.Limit, maxHistory))}
}

func (s *Server) members(_ context.Context, _ *emptyRequest) *membersReply {
	if s.who().Blank {
		return &membersReply{replyHead: s.refusal(StatusNotLeader)}
	}
	return &membersReply{Members: s.cfg.Log.Members()}
}

func (s *Server) report(_ context.Context, in *reportRequest) *reportReply {
	now := s.cfg.Now()
	s.reports.put(*in, now, now.Add(time.Duration(in.Left)*time.Millisecond))
	return &reportReply{}
}
