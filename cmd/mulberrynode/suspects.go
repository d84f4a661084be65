package main

import (
	"time"

	"github.com/phuslu/log"

	"github.com/mulberrylink/mulberrylink/coordination/suspect"
	"github.com/mulberrylink/mulberrylink/state/codec"
)

// noteSuspect is the kind of the notes that carry crash suspects.
const noteSuspect uint8 = 1

// suspectNote is a suspect.Notice on the wire. It carries the time left,
// because the clocks of hosts differ.
type suspectNote struct {
	Print uint64 `cbor:"p"`
	Stage uint32 `cbor:"s"`
	Left  int64  `cbor:"l"` // milliseconds
}

// suspects connects the list of crash suspects to the node group.
type suspects struct {
	list  *suspect.List
	group group
	// service returns the service of the local upstream.
	service func() string
	log     *log.Logger
}

// crashed is called before any caller of the requests in flight is answered.
func (s *suspects) crashed(prints []uint64) {
	s.spread(s.service(), s.list.RecordCrash(prints))
}

func (s *suspects) completed(service string, mark uint64, alone bool) {
	s.spread(service, s.list.RecordCompletion(mark, alone))
}

// spread sends notices directly to the nodes of the service and then to all.
func (s *suspects) spread(service string, notices []suspect.Notice) {
	for _, n := range notices {
		data, err := codec.Marshal(suspectNote{
			Print: n.Fingerprint, Stage: n.Stage, Left: time.Until(n.Until).Milliseconds(),
		})
		if err != nil {
			s.log.Error().Err(err).Msg("suspect not spread")
			continue
		}
		s.group.BroadcastService(service, noteSuspect, data)
		s.log.Info().Uint64("print", n.Fingerprint).Uint64("stage", uint64(n.Stage)).Msg("crash suspect spread")
	}
}

// receive merges a note of another node.
func (s *suspects) receive(kind uint8, data []byte) {
	if kind != noteSuspect {
		return
	}
	var n suspectNote
	if err := codec.Unmarshal(data, &n); err != nil {
		s.log.Warn().Err(err).Msg("note not read")
		return
	}
	s.list.Merge(suspect.Notice{
		Fingerprint: n.Print, Stage: n.Stage,
		Until: time.Now().Add(time.Duration(n.Left) * time.Millisecond),
	})
}
