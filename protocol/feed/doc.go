// Package feed keeps nodes and control hosts informed: a node tells one control
// host about itself, and the control host passes on the records of all other
// nodes, the committed document, the failure domains that are out of service and
// the addresses of the control hosts. Control hosts follow one another in the
// same way, so that each knows every node.
//
// One drpc stream carries both directions. Either side sends an empty message
// when it has been quiet for beatInterval, and leaves the stream when the other
// side has been quiet for silentTime: a connection whose path has gone silent
// shows nothing else. A control host that is not in touch with a leader says so,
// and its subscribers move to another one.
//
// # Usage
//
// On a control host:
//
//	hub := feed.NewHub(feed.HubConfig{Directory: d, State: machine.Current, …})
//	method, h := hub.Method()
//	server.Handle(method, h)
//
// On a node:
//
//	c := feed.NewClient(feed.ClientConfig{Dialer: pool, Seeds: seeds, Directory: d, OnState: onState})
//	c.Announce(node)
//	go c.Run(ctx)
package feed

import (
	"time"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/document"
)

const (
	methodWatch = "feed/watch"

	// beatInterval is how often a quiet side sends. A subscriber learns with it
	// that its control host has lost the leader, and has to find another one
	// well within the two seconds in which a change has to be in force.
	beatInterval = 300 * time.Millisecond
	// silentTime ends a stream: two beats may be lost or late.
	silentTime = time.Second
	// firstTime bounds the wait for the first message, which a control host sends
	// at once.
	firstTime = 400 * time.Millisecond
	// graceTime is how long the record of a node stays after its stream has
	// ended, so that a node may move to another control host unnoticed.
	graceTime = 2 * time.Second
	// dialPause is the wait before the next control host is tried.
	dialPause = 100 * time.Millisecond
	// farTime is how long a control host that could not be followed is tried last.
	farTime = 10 * time.Second
	// settleTime collects changes that come together into one message.
	settleTime = 10 * time.Millisecond
)

// Host is a control host. Subscribers prefer those in their own failure domain,
// since what a large document costs is mostly the way.
type Host struct {
	Addr string `cbor:"a"`
	// Domain is empty when it is not known yet.
	Domain string `cbor:"d,omitempty"`
}

// news is the contents of downMessage.Packed: the whole state, or what leads to
// it from the subscriber's version.
type news struct {
	Full   *document.State  `cbor:"f,omitempty"`
	Change *document.Change `cbor:"c,omitempty"`
}

// upMessage goes from a subscriber to a control host.
type upMessage struct {
	// Node is the record of the subscriber, when it has one and it changed.
	Node *mulberrylink.Node `cbor:"n,omitempty"`
	// Host is the name of a subscribing control host, in the first message.
	Host string `cbor:"h,omitempty"`
	// Version and Serial tell in the first message what the subscriber has.
	Version uint64 `cbor:"v,omitempty"`
	Serial  uint64 `cbor:"s,omitempty"`
}

// downMessage goes from a control host to a subscriber.
type downMessage struct {
	Nodes []mulberrylink.Node `cbor:"n,omitempty"`
	// Packed is the new document. Out and Serial come along with it, or alone.
	Packed []byte   `cbor:"p,omitempty"`
	Out    []string `cbor:"o,omitempty"`
	Serial uint64   `cbor:"s,omitempty"`
	// Hosts are the control hosts, when they changed, and Domain is the failure
	// domain of this one, in the first message.
	Hosts  []Host `cbor:"h,omitempty"`
	Domain string `cbor:"d,omitempty"`
	// Behind is true while this control host is not in touch with a leader.
	Behind bool `cbor:"b,omitempty"`
	// Raise is the incarnation that the subscriber's record has to exceed.
	Raise uint64 `cbor:"r,omitempty"`
}
