package selection_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that every run gives the same verdict.
// A longer run sets -rapid.seed and -rapid.checks.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
