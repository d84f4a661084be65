package controlplane

import (
	"github.com/mulberrylink/mulberrylink/coordination/control"
	"github.com/mulberrylink/mulberrylink/state/overlay"
)

// RPC methods of control hosts.
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

// replyHeader is embedded in every reply.
type replyHeader struct {
	Status Status `cbor:"z,omitempty"`
	// Leader is the address of the leader known to the host, or empty.
	Leader string `cbor:"y,omitempty"`
}

func (h *replyHeader) header() *replyHeader { return h }

// reply is implemented by all reply messages.
type reply interface{ header() *replyHeader }

type emptyRequest struct{}

type watchRequest struct {
	KnownVersion uint64 `cbor:"v"`
}

// watchFrame holds one version of the configuration, or is a keep-alive if EncodedConfig is empty.
type watchFrame struct {
	Version       uint64 `cbor:"v,omitempty"`
	EncodedConfig []byte `cbor:"r,omitempty"`
}

type confirmedReply struct {
	replyHeader
	Version       uint64 `cbor:"v"`
	EncodedConfig []byte `cbor:"r,omitempty"`
}

// claimRequest is the request of claim, finish and release. Deadlines are sent as remaining
// milliseconds, because the clocks of hosts differ and may jump.
type claimRequest struct {
	Service         string            `cbor:"s"`
	Key             string            `cbor:"k"`
	Fingerprint     uint64            `cbor:"p,omitempty"`
	Holder          string            `cbor:"h"`
	RequestID       string            `cbor:"r"`
	RemainingMillis int64             `cbor:"l"`
	Response        *control.Response `cbor:"a,omitempty"`
}

type claimReply struct {
	replyHeader
	Result control.Result `cbor:"r"`
}

type applyRequest struct {
	ID          string         `cbor:"i"`
	BaseVersion uint64         `cbor:"v"`
	Base        overlay.File   `cbor:"b"`
	Overlays    []overlay.File `cbor:"o,omitempty"`
}

type applyReply struct {
	replyHeader
	State    ApplyState `cbor:"s"`
	Version  uint64     `cbor:"v"`
	Problems []string   `cbor:"p,omitempty"`
}

type reportRequest struct {
	Name            string  `cbor:"n"`
	Domain          string  `cbor:"d,omitempty"`
	Service         string  `cbor:"s,omitempty"`
	Version         uint64  `cbor:"v"`
	State           uint8   `cbor:"t,omitempty"`
	Upstream        uint8   `cbor:"u,omitempty"`
	InFlight        int     `cbor:"f,omitempty"`
	Limit           int     `cbor:"m,omitempty"`
	Queued          int     `cbor:"q,omitempty"`
	Latency         float64 `cbor:"y,omitempty"`
	Cold            bool    `cbor:"c,omitempty"`
	RemainingMillis int64   `cbor:"l"`
}

type reportReply struct{ replyHeader }

type statusReply struct {
	replyHeader
	Host       string          `cbor:"h"`
	Domain     string          `cbor:"d"`
	Leading    bool            `cbor:"s"`
	Version    uint64          `cbor:"v"`
	ID         uint64          `cbor:"i,omitempty"`
	Blank      bool            `cbor:"b,omitempty"`
	ClaimCount int             `cbor:"c"`
	Nodes      []reportRequest `cbor:"n,omitempty"`
}

type historyRequest struct {
	Limit   int    `cbor:"l,omitempty"`
	Version uint64 `cbor:"v,omitempty"`
}

type historyReply struct {
	replyHeader
	Changes []control.ChangeRecord `cbor:"c,omitempty"`
	Files   []control.File         `cbor:"f,omitempty"`
}

type membersReply struct {
	replyHeader
	Members []Member `cbor:"m"`
}

type identityReply struct {
	replyHeader
	Host   string `cbor:"h"`
	ID     uint64 `cbor:"i"`
	Blank  bool   `cbor:"b,omitempty"`
	Formed bool   `cbor:"f,omitempty"`
	Voting bool   `cbor:"v,omitempty"`
}

// memberRequest is the request to add the member (ID, Addr) or to remove the member ID.
type memberRequest struct {
	ID   uint64 `cbor:"i"`
	Addr string `cbor:"a,omitempty"`
}

type memberReply struct {
	replyHeader
	Result MemberResult `cbor:"r"`
}
