// Package fixedseed runs the property tests of a package with a fixed seed, so that CI has the same
// result in every run.
//
// # Usage
//
//	func TestMain(m *testing.M) { fixedseed.Main(m) }
//
// The flags -rapid.seed and -rapid.checks select another seed and a longer run.
package fixedseed

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // registers the flags that Main sets
)

// Main sets the default seed of rapid and disables its fail files, parses the flags, which may
// override both, and runs the tests.
func Main(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
