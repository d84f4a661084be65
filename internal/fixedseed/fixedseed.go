// Package fixedseed gives the tests of a package the same random draws in every
// run, so that CI has the same verdict each time.
//
// # Usage
//
//	func TestMain(m *testing.M) { fixedseed.Main(m) }
//
// A longer run with other draws sets -rapid.seed and -rapid.checks.
package fixedseed

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // registers the flags that Main sets
)

// Main sets the seed of rapid, parses the flags, which may replace it, and runs
// the tests.
func Main(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
