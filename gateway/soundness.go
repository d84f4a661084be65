package gateway

import (
	"time"

	"github.com/mulberrylink/mulberrylink/coordination/soundness"
	"github.com/mulberrylink/mulberrylink/protocol/hop"
)

// encodeSoundness returns the form in which an estimate is sent to another node.
func encodeSoundness(e soundness.Estimate, now time.Time) hop.Soundness {
	if e.Rate(now) == 0 {
		return hop.Soundness{}
	}
	return hop.Soundness{Instance: e.Instance, Malformed: e.MalformedAt(now), Responses: e.Responses}
}

// decodeSoundness is the inverse of encodeSoundness.
func decodeSoundness(e hop.Soundness, now time.Time) soundness.Estimate {
	return soundness.Estimate{Instance: e.Instance, Malformed: e.Malformed, Responses: e.Responses, At: now}
}

// newResponseMeta returns the metadata that all responses to other nodes have.
func (g *Gateway) newResponseMeta() hop.ResponseMeta {
	return hop.ResponseMeta{Load: g.admission.Load(), Soundness: encodeSoundness(g.admission.Soundness(), time.Now()), Epoch: g.epoch}
}

// mergeSoundness adds what an entry node knows of the upstream beside this node. A process that has
// just started knows nothing of the responses to the former one.
func (g *Gateway) mergeSoundness(e hop.Soundness) {
	if g.admission.MergeSoundness(decodeSoundness(e, time.Now())) {
		g.log.Info().Str("upstream", g.upstream.current().ID).Float64("rate", g.admission.Soundness().Rate(time.Now())).
			Msg("malformed responses of the upstream known from another node")
	}
}

// recordMalformed counts a malformed response of an upstream instance.
func (g *Gateway) recordMalformed(id string) {
	g.admission.RecordSoundness(id, true)
	g.stats.count("upstream_malformed")
}
