package main

import (
	"time"

	"github.com/phuslu/log"

	"github.com/mulberrylink/mulberrylink/coordination/suspect"
	"github.com/mulberrylink/mulberrylink/state/codec"
)

// suspectNoteKind is the kind of group notes that carry a suspectNote.
const suspectNoteKind uint8 = 1

// suspectNote is the wire format of a suspect.Notice. It carries the remaining time instead of a
// point in time, because the clocks of hosts differ.
type suspectNote struct {
	Fingerprint     uint64 `cbor:"p"`
	Stage           uint32 `cbor:"s"`
	RemainingMillis int64  `cbor:"l"`
}

// crashSuspects shares the list of crash suspects with the node group.
type crashSuspects struct {
	list  *suspect.List
	group nodeGroup
	// service returns the service name of the local upstream.
	service func() string
	log     *log.Logger
}

// recordCrash records a crash of the local upstream. It must be called before any caller of the
// requests in flight gets its response.
func (s *crashSuspects) recordCrash(fingerprints []uint64) {
	s.broadcast(s.service(), s.list.RecordCrash(fingerprints))
}

// recordCompletion records that a request completed, which clears a suspect that ran alone.
func (s *crashSuspects) recordCompletion(service string, fingerprint uint64, alone bool) {
	s.broadcast(service, s.list.RecordCompletion(fingerprint, alone))
}

// broadcast sends notices directly to the nodes of the service and disseminates them to all nodes.
func (s *crashSuspects) broadcast(service string, notices []suspect.Notice) {
	for _, n := range notices {
		data, err := codec.Marshal(suspectNote{
			Fingerprint: n.Fingerprint, Stage: n.Stage, RemainingMillis: n.RemainingMillis(time.Now()),
		})
		if err != nil {
			s.log.Error().Err(err).Msg("failed to encode crash suspect; not broadcasting it")
			continue
		}
		s.group.BroadcastService(service, suspectNoteKind, data)
		s.log.Info().Uint64("print", n.Fingerprint).Uint64("stage", uint64(n.Stage)).Msg("crash suspect broadcast")
	}
}

// handleNote merges a note of another node. It ignores notes of other kinds.
func (s *crashSuspects) handleNote(kind uint8, data []byte) {
	if kind != suspectNoteKind {
		return
	}
	var note suspectNote
	if err := codec.Unmarshal(data, &note); err != nil {
		s.log.Warn().Err(err).Msg("failed to decode note of another node; ignoring it")
		return
	}
	s.list.Merge(suspect.Notice{
		Fingerprint: note.Fingerprint, Stage: note.Stage,
		Until: time.Now().Add(time.Duration(note.RemainingMillis) * time.Millisecond),
	})
}
