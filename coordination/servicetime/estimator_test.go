package servicetime_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/coordination/servicetime"
)

// Guards against one request that met a disturbance moving the estimate far, and
// against an estimate that does not follow a lasting change.
func TestEstimateFollowsSlowly(t *testing.T) {
	is := is.New(t)
	w := servicetime.New()
	is.Equal(w.MeanOr("r", time.Second), time.Second)
	w.Observe("r", 100*time.Millisecond)
	is.Equal(w.Mean("r"), 100*time.Millisecond)
	w.Observe("r", time.Minute)
	is.True(w.Mean("r") < 120*time.Millisecond)
	for range 100 {
		w.Observe("r", 200*time.Millisecond)
	}
	is.True(w.Mean("r") > 190*time.Millisecond)
}

// Guards against a new route that is taken for a short one: its requests would
// wait in queues that they cannot leave in time.
func TestNewRouteGetsTheMean(t *testing.T) {
	is := is.New(t)
	w := servicetime.New()
	w.Observe("old", 400*time.Millisecond)
	is.Equal(w.Mean("new"), 400*time.Millisecond)
}
