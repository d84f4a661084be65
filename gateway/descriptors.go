package gateway

import (
	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// maxDescriptorBudget is the number of descriptors that are divided when the process may open
	// more.
	maxDescriptorBudget = 1 << 16
	// callerShare, inboundShare and idlePeerShare are the percentages of the descriptors for the
	// connections of callers, those of other nodes, and idle ones to other nodes. The rest is for
	// requests on their way to other nodes and to the upstream, for the feed and for files.
	callerShare   = 35
	inboundShare  = 25
	idlePeerShare = 15
)

// descriptorBudget is the number of connections of each kind above which the longest idle ones are
// closed.
type descriptorBudget struct{ callers, inbound, idlePeers int }

// newDescriptorBudget divides the descriptors that the process may open.
func newDescriptorBudget() (descriptorBudget, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return divideDescriptors(maxDescriptorBudget), errors.Wrap(err, "read the limit of open descriptors")
	}
	return divideDescriptors(int(min(limit.Cur, maxDescriptorBudget))), nil
}

func divideDescriptors(limit int) descriptorBudget {
	return descriptorBudget{callers: limit * callerShare / 100, inbound: limit * inboundShare / 100, idlePeers: limit * idlePeerShare / 100}
}

// freeDescriptors closes idle connections when the process has run out of descriptors. Those to
// other nodes are closed first, because only this node is affected by that.
func (g *Gateway) freeDescriptors() {
	g.stats.count("descriptors_exhausted")
	if g.peerPool.CloseLongestIdle() {
		return
	}
	if !g.inbound.CloseLongestIdle(0) {
		g.outbound.CloseLongestIdle(0)
	}
}
