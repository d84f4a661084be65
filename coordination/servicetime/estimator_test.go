package servicetime_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/coordination/servicetime"
)

// TestEstimateFollowsSlowly guards against one request on a disturbed host moving the
// estimate far, and against an estimate that does not follow a lasting change.
func TestEstimateFollowsSlowly(t *testing.T) {
	is := is.New(t)
	e := servicetime.New()
	is.Equal(e.MeanOr("r", time.Second), time.Second)
	e.Observe("r", 100*time.Millisecond)
	is.Equal(e.Mean("r"), 100*time.Millisecond)
	e.Observe("r", time.Minute)
	is.True(e.Mean("r") < 120*time.Millisecond)
	for range 100 {
		e.Observe("r", 200*time.Millisecond)
	}
	is.True(e.Mean("r") > 190*time.Millisecond)
}

// TestNewRouteGetsTheMean guards against a low estimate for a new route, whose requests would
// then wait in queues that they cannot leave in time.
func TestNewRouteGetsTheMean(t *testing.T) {
	is := is.New(t)
	e := servicetime.New()
	e.Observe("old", 400*time.Millisecond)
	is.Equal(e.Mean("new"), 400*time.Millisecond)
}
