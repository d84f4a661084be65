package gateway

import (
	"time"

	"github.com/mulberrylink/mulberrylink/coordination/integrity"
	"github.com/mulberrylink/mulberrylink/protocol/hop"
)

// encodeIntegrity returns the form in which an estimate is sent to another node.
func encodeIntegrity(e integrity.Estimate, now time.Time) hop.Integrity {
	if e.Rate(now) == 0 {
		return hop.Integrity{}
	}
	return hop.Integrity{Instance: e.Instance, Malformed: e.MalformedAt(now), Responses: e.Responses}
}

// decodeIntegrity is the inverse of encodeIntegrity.
func decodeIntegrity(e hop.Integrity, now time.Time) integrity.Estimate {
	return integrity.Estimate{Instance: e.Instance, Malformed: e.Malformed, Responses: e.Responses, At: now}
}

// newResponseMeta returns the metadata that all responses to other nodes have.
func (g *Gateway) newResponseMeta() hop.ResponseMeta {
	return hop.ResponseMeta{Load: g.admission.Load(), Integrity: encodeIntegrity(g.admission.Integrity(), time.Now()), Epoch: g.epoch}
}

// mergeIntegrity adds what an entry node knows of the upstream beside this node. A process that has
// just started knows nothing of the responses to the former one.
func (g *Gateway) mergeIntegrity(e hop.Integrity) {
	if g.admission.MergeIntegrity(decodeIntegrity(e, time.Now())) {
		g.log.Info().Str("upstream", g.upstream.current().ID).Float64("rate", g.admission.Integrity().Rate(time.Now())).
			Msg("malformed responses of the upstream known from another node")
	}
}

// recordMalformed counts a malformed response of an upstream instance.
func (g *Gateway) recordMalformed(id string) {
	g.admission.RecordIntegrity(id, true)
	g.stats.count("upstream_malformed")
}
