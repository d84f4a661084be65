// Package rollout decides how the requests of a service move to upstreams with another software
// version. It is pure: it has no network, and time is passed in.
//
// Each node counts the results of the upstream beside it by version and route while a rollout of
// its service runs (Recorder). Its reports are cumulative and reach every control host (Board). The
// leader of the control hosts compares the new version with the old one and steps the share of the
// requests that go to the new version (Controller). The state of the rollout is in the replicated
// document, see coordination/document.
//
// The share stays far below the permitted exposure until shortly before the deadline, rises in a few
// steps, and is full long enough for the requests on the old upstreams to end before the rollout is
// recorded as completed, because these upstreams are then stopped at once. Entry nodes send the
// requests to as large a part of the new upstreams as the share (Draw). Each of these runs at
// its later load, so that a version that fails under load is found while the share is small.
//
// # Comparison
//
// A result is bad if it is a failure, or if it is slowBuckets above the median of the old version
// on that route. For each route, the share of bad results of the old version over the same time
// gives the number that is expected of the new version. The new version is bad if the excess over that
// number is significant, both on all of its upstreams and without the worst quarter of them: slow or
// crashing hosts are no fault of the version. The comparison is made over the time since this leader has had
// results and over the last recentWindow, for all routes together and for each one.
//
// # Usage
//
// On a node:
//
//	r := rollout.NewRecorder("node-7", epoch)
//	r.Track("archive", order.Number)
//	r.Record(rollout.Result{Release: "v2", Route: "stock", Took: took})
//	report := r.Report()
//
// On the leader:
//
//	c := rollout.NewController(bounds, order, now)
//	decision := c.Step(now, rollout.Input{Order: order, Nodes: nodes, Reports: board.Reports("archive", order.Number, now)})
package rollout
