package suspect_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that every run gives the same verdict.
// A longer run sets -rapid.seed and -rapid.checks.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
