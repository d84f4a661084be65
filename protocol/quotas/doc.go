// Package quotas connects the caches of nodes with the token buckets of the leader (coordination/quota).
//
// A node that has something to ask for opens one drpc stream to a control host. The leader answers each
// message with the grants. Another control host answers with the address of the leader, and the node opens
// the stream there. A host that knows no leader holds its answer for up to leaderWait and then says so,
// and the node asks again on the same stream as long as it has requests. Nothing is sent without requests.
//
// A message carries the asks for all accounts, and there is a minimum time between two messages of a node.
// The leader sets it by the number of its streams. An answer has no names: its grants are in the order of
// the asks.
//
// A leader that is frozen, or behind a broken network path, answers nothing. The node ends the stream when
// an ask has had no answer for answerTimeout, and tells another control host which leader it cannot reach.
// That host relays the asks to this leader, or names the next one. Requests are refused at once until the
// first answer.
//
// # Usage
//
// On a control host:
//
//	s := quotas.NewServer(leader)
//	method, h := s.Method()
//	server.Handle(method, h)
//
// On a node:
//
//	c := quotas.NewClient(quotas.ClientConfig{Dialer: pool, Hosts: feed.HostAddrs, Node: name, Log: log})
//	go c.Run(ctx)
//	t := c.Acquire(ctx, "north", 30*time.Millisecond)
package quotas

import (
	"math"
	"time"

	"github.com/mulberrylink/mulberrylink/coordination/quota"
)

const (
	methodDraw  = "quota/draw"
	methodRelay = "quota/relay"

	// answerTimeout is the silence after which a stream with unanswered asks is ended. It is longer than
	// leaderWait and the pauses of a node with a sixth of a core. An answer that has arrived by then is
	// read within answerGrace.
	answerTimeout = 250 * time.Millisecond
	answerGrace   = 50 * time.Millisecond
	// leaderWait is how long a host waits for a leader before it answers that it knows none. It keeps
	// the messages of nodes few while a leader is elected.
	leaderWait = 150 * time.Millisecond
	// leaderPoll is how often a host looks for the leader meanwhile.
	leaderPoll = 20 * time.Millisecond
	// avoidTime is how long a node does not connect to a leader that gave no answer.
	avoidTime = 10 * time.Second
	// retryDelay is the delay before the next control host is tried, also after maxRedirects: hosts
	// may name each other for a moment while the leader changes.
	retryDelay   = 50 * time.Millisecond
	maxRedirects = 3
	// demandTime is how long after the last request a node without a leader goes on looking for one.
	demandTime = time.Second
	// minPace is the minimum time between two messages of a node. pacePerStream is added for each
	// stream of the leader: 16 ms with 1,400 nodes, since a request with an objective of 150 ms waits
	// for at most 19 ms.
	minPace       = 5 * time.Millisecond
	pacePerStream = 8 * time.Microsecond
	// refusedRetry is the RetryAfter of a request whose wait for a token has ended.
	refusedRetry = 300 * time.Millisecond
	// maxRate bounds the rate that a node may state.
	maxRate = 1e6
	// maxCount bounds the tokens that a node may ask for in one ask.
	maxCount = 1 << 20
)

// drawMessage is a message from a node to a control host.
type drawMessage struct {
	// Node identifies the node. It is set in the first message of a stream, and in relayed ones.
	Node uint32 `cbor:"n,omitempty"`
	// Avoid is the address of a leader that has given no answer.
	Avoid string `cbor:"v,omitempty"`
	// At is the reading of the node's clock, in nanoseconds.
	At   int64     `cbor:"t"`
	Asks []wireAsk `cbor:"a,omitempty"`
}

// wireAsk is the wire format of a quota.Ask.
type wireAsk struct {
	_        struct{} `cbor:",toarray"`
	Account  string
	Need     uint32
	Ahead    uint32
	Returned uint32
	Rate     float32
	Standby  uint32
}

// answerMessage is the answer to a drawMessage.
type answerMessage struct {
	// At repeats that of the drawMessage.
	At int64 `cbor:"t"`
	// Leads is true if the answering host is the leader. Grants are then in the order of the asks, and
	// Pace is the minimum time between two messages, in microseconds.
	Leads  bool        `cbor:"k,omitempty"`
	Grants []wireGrant `cbor:"g,omitempty"`
	Pace   int64       `cbor:"p,omitempty"`
	// Leader is the address of the leader if that is another host. It is empty if none is known.
	Leader string `cbor:"l,omitempty"`
}

// wireGrant is the wire format of a quota.Grant.
type wireGrant struct {
	_           struct{} `cbor:",toarray"`
	Tokens      uint32
	RetryMicros int64
	Unsure      bool
	Standby     uint32
}

func encodeAsks(asks []quota.Ask) []wireAsk {
	out := make([]wireAsk, 0, len(asks))
	for _, a := range asks {
		out = append(out, wireAsk{Account: a.Account, Need: encodeCount(a.Need), Ahead: encodeCount(a.Ahead), Returned: encodeCount(a.Returned), Rate: float32(a.Rate), Standby: encodeCount(a.Standby)})
	}
	return out
}

func encodeCount(n int) uint32 {
	return uint32(min(max(0, n), maxCount)) //nolint:gosec // within the range
}

func decodeAsks(asks []wireAsk) []quota.Ask {
	out := make([]quota.Ask, 0, len(asks))
	for _, a := range asks {
		rate := float64(a.Rate)
		if math.IsNaN(rate) {
			rate = 0
		}
		out = append(out, quota.Ask{
			Account: a.Account, Need: decodeCount(a.Need), Ahead: decodeCount(a.Ahead), Returned: decodeCount(a.Returned), Rate: min(max(0, rate), maxRate), Standby: decodeCount(a.Standby),
		})
	}
	return out
}

func decodeCount(n uint32) int { return int(min(n, maxCount)) }

func encodeGrants(grants []quota.Grant) []wireGrant {
	out := make([]wireGrant, 0, len(grants))
	for _, g := range grants {
		out = append(out, wireGrant{Tokens: encodeCount(g.Tokens), RetryMicros: g.RetryAfter.Microseconds(), Unsure: g.Unsure, Standby: encodeCount(g.Standby)})
	}
	return out
}

func decodeGrants(grants []wireGrant) []quota.Grant {
	out := make([]quota.Grant, 0, len(grants))
	for _, g := range grants {
		out = append(out, quota.Grant{Tokens: int(g.Tokens), RetryAfter: time.Duration(g.RetryMicros) * time.Microsecond, Unsure: g.Unsure, Standby: int(g.Standby)})
	}
	return out
}
