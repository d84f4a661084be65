package gateway

import (
	"time"

	"github.com/mulberrylink/mulberrylink/coordination/integrity"
	"github.com/mulberrylink/mulberrylink/protocol/hop"
)

// encodeIntegrity returns the form in which an estimate is sent to another node.
func encodeIntegrity(e integrity.Estimate, now time.Time) hop.Integrity {
	if e.Rate(now) == 0 && e.Required == 0 {
		return hop.Integrity{}
	}
	return hop.Integrity{
		Instance: e.Instance, Malformed: e.MalformedAt(now), Responses: e.Responses, Required: e.Required, Missing: e.Missing, Relapses: e.Relapses,
		TrialIn: max(0, e.TrialAt.Sub(now)), ReservedFor: max(0, e.ReservedUntil.Sub(now)),
	}
}

// decodeIntegrity is the inverse of encodeIntegrity.
func decodeIntegrity(e hop.Integrity, now time.Time) integrity.Estimate {
	return integrity.Estimate{
		Instance: e.Instance, Malformed: e.Malformed, Responses: e.Responses, At: now, Required: e.Required, Missing: e.Missing, Relapses: e.Relapses,
		TrialAt: now.Add(e.TrialIn), ReservedUntil: now.Add(e.ReservedFor),
	}
}

// newResponseMeta returns the metadata that all responses to other nodes have.
func (g *Gateway) newResponseMeta() hop.ResponseMeta {
	return hop.ResponseMeta{Load: g.admission.Load(), Integrity: encodeIntegrity(g.admission.Integrity(), time.Now()), Epoch: g.epoch, Domains: g.overflow.domains()}
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
	g.stats.count("upstream_malformed")
	g.recordIntegrity(id, true)
}

// recordIntegrity records whether a response of an upstream instance was malformed, and logs why the
// upstream is in reserve and when it is not any more.
func (g *Gateway) recordIntegrity(id string, malformed bool) {
	if !g.admission.RecordIntegrity(id, malformed) {
		return
	}
	e, now := g.admission.Integrity(), time.Now()
	if !e.Reserved(now) {
		g.log.Info().Str("upstream", id).Int("relapses", e.Relapses).Msg("upstream left the reserve after well-formed responses")
		return
	}
	g.stats.count("upstream_reserved")
	g.log.Warn().Str("upstream", id).Float64("rate", e.Rate(now)).Int("required", e.Required).Int("relapses", e.Relapses).
		Dur("trial_interval", e.TrialInterval()).Msg("upstream in reserve after a malformed response: others are preferred while they have room")
}
