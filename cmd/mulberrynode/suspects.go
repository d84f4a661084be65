package main

import (
	"time"

	"github.com/phuslu/log"

	"github.com/mulberrylink/mulberrylink/coordination/suspect"
	"github.com/mulberrylink/mulberrylink/state/codec"
)

// noteSuspect is the kind of the notes that carry crash suspects.
const suspectNoteKind uint8 = 1

// suspectNote is a suspect.Notice on the wire. It carries the time left,
// because the clocks of hosts differ.
type suspectNote struct {
	Fingerprint     uint64 `cbor:"p"`
	Stage           uint32 `cbor:"s"`
	RemainingMillis int64  `cbor:"l"` // milliseconds
}

// suspects connects the list of crash suspects to the node group.
type crashSuspects struct {
	list  *suspect.List
	group nodeGroup
	// service returns the service of the local upstream.
	service func() string
	log     *log.Logger
}

// crashed is called before any caller of the requests in flight is answered.
func (s *crashSuspects) recordCrash(fingerprints []uint64) {
	s.broadcast(s.service(), s.list.RecordCrash(fingerprints))
}

func (s *crashSuspects) recordCompletion(service string, fingerprint uint64, alone bool) {
	s.broadcast(service, s.list.RecordCompletion(fingerprint, alone))
}

// spread sends notices directly to the nodes of the service and then to all.
func (s *crashSuspects) broadcast(service string, notices []suspect.Notice) {
	for _, n := range notices {
		data, err := codec.Marshal(suspectNote{
			Fingerprint: n.Fingerprint, Stage: n.Stage, RemainingMillis: time.Until(n.Until).Milliseconds(),
		})
		if err != nil {
			s.log.Error().Err(err).Msg("suspect not spread")
			continue
		}
		s.group.BroadcastService(service, suspectNoteKind, data)
		s.log.Info().Uint64("print", n.Fingerprint).Uint64("stage", uint64(n.Stage)).Msg("crash suspect spread")
	}
}

// receive merges a note of another node.
func (s *crashSuspects) handleNote(kind uint8, data []byte) {
	if kind != suspectNoteKind {
		return
	}
	var note suspectNote
	if err := codec.Unmarshal(data, &note); err != nil {
		s.log.Warn().Err(err).Msg("note not read")
		return
	}
	s.list.Merge(suspect.Notice{
		Fingerprint: note.Fingerprint, Stage: note.Stage,
		Until: time.Now().Add(time.Duration(note.RemainingMillis) * time.Millisecond),
	})
}
