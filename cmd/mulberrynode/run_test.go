package main

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against exit status 0 of a node whose server has stopped without a signal: a supervisor
// would not start it again.
func TestServerThatStopsIsAnError(t *testing.T) {
	is := is.New(t)
	is.True(unexpectedStop(nil) != nil)
}
