package controlplane

import (
	"github.com/mulberrylink/mulberrylink/coordination/control"
	"github.com/mulberrylink/mulberrylink/state/overlay"
)

// Methods of control hosts.
const (
	methodWatch     = "control/watch"
	methodConfirmed = "control/confirmed"
	methodClaim     = "control/claim"
	methodFinish    = "control/finish"
	methodRelease   = "control/release"
	methodReport    = "control/report"
	methodApply     = "control/apply"
	methodStatus    = "control/status"
	methodHistory   = "control/history"
	methodMembers   = "control/members"
	methodIdentity  = "control/identity"
	methodAdd       = "control/addmember"
	methodRemove    = "control/removemember"
)

// replyHead begins every reply.
type replyHead struct {
	Status Status `cbor:"z,omitempty"`
	// Leader is the address of the leader that the host knows.
	Leader string `cbor:"y,omitempty"`
}

func (h *replyHead) head() *replyHead { return h }

// reply is any reply message.
type reply interface{ head() *replyHead }

type emptyRequest struct{}

type watchRequest struct {
	Have uint64 `cbor:"v"`
}

// watchFrame is one version, or a keep-alive when Raw is empty.
type watchFrame struct {
	Version uint64 `cbor:"v,omitempty"`
	Raw     []byte `cbor:"r,omitempty"`
}

type confirmedReply struct {
	replyHead
	Version uint64 `cbor:"v"`
	Raw     []byte `cbor:"r,omitempty"`
}

// claimRequest serves claim, finish and release. Times travel as milliseconds
// left, because the clocks of hosts differ and jump.
type claimRequest struct {
	Service string            `cbor:"s"`
	Key     string            `cbor:"k"`
	Print   uint64            `cbor:"p,omitempty"`
	Holder  string            `cbor:"h"`
	Request string            `cbor:"r"`
	Left    int64             `cbor:"l"`
	Answer  *control.Response `cbor:"a,omitempty"`
}

type claimReply struct {
	replyHead
	Result control.Result `cbor:"r"`
}

type applyRequest struct {
	ID       string         `cbor:"i"`
	Version  uint64         `cbor:"v"`
	Base     overlay.File   `cbor:"b"`
	Overlays []overlay.File `cbor:"o,omitempty"`
}

type applyReply struct {
	replyHead
	State    ApplyState `cbor:"s"`
	Version  uint64     `cbor:"v"`
	Problems []string   `cbor:"p,omitempty"`
}

type reportRequest struct {
	Name     string  `cbor:"n"`
	Domain   string  `cbor:"d,omitempty"`
	Service  string  `cbor:"s,omitempty"`
	Version  uint64  `cbor:"v"`
	State    uint8   `cbor:"t,omitempty"`
	Upstream uint8   `cbor:"u,omitempty"`
	InFlight int     `cbor:"f,omitempty"`
	Limit    int     `cbor:"m,omitempty"`
	Queued   int     `cbor:"q,omitempty"`
	Latency  float64 `cbor:"y,omitempty"`
	Cold     bool    `cbor:"c,omitempty"`
	Left     int64   `cbor:"l"`
}

type reportReply struct{ replyHead }

type statusReply struct {
	replyHead
	Host    string          `cbor:"h"`
	Domain  string          `cbor:"d"`
	Self    bool            `cbor:"s"`
	Version uint64          `cbor:"v"`
	ID      uint64          `cbor:"i,omitempty"`
	Blank   bool            `cbor:"b,omitempty"`
	Claims  int             `cbor:"c"`
	Nodes   []reportRequest `cbor:"n,omitempty"`
}

type historyRequest struct {
	Limit   int    `cbor:"l,omitempty"`
	Version uint64 `cbor:"v,omitempty"`
}

type historyReply struct {
	replyHead
	Changes []control.ChangeRecord `cbor:"c,omitempty"`
	Files   []control.File         `cbor:"f,omitempty"`
}

type membersReply struct {
	replyHead
	Members []Member `cbor:"m"`
}

type identityReply struct {
	replyHead
	Host   string `cbor:"h"`
	ID     uint64 `cbor:"i"`
	Blank  bool   `cbor:"b,omitempty"`
	Formed bool   `cbor:"f,omitempty"`
	Voting bool   `cbor:"v,omitempty"`
}

// memberRequest asks to add (ID, Addr) or to remove ID.
type memberRequest struct {
	ID   uint64 `cbor:"i"`
	Addr string `cbor:"a,omitempty"`
}

type memberReply struct {
	replyHead
	Result MemberResult `cbor:"r"`
}
