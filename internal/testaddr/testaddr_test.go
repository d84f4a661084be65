package testaddr_test

import (
	"testing"

	"github.com/mulberrylink/mulberrylink/internal/testaddr"
)

// Guards against an address that two servers of one test get.
func TestAddressesDiffer(t *testing.T) {
	seen := make(map[string]bool)
	for range 2000 {
		addr := testaddr.Free(t)
		if seen[addr] {
			t.Fatalf("%s was returned twice", addr)
		}
		seen[addr] = true
	}
}
