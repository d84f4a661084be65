package retry

import "testing"

// TestSize guards against budgets that do not fit the 256 MB of a node at 230
// services: they get a tenth of it.
func TestSize(t *testing.T) {
	size := 2 * newHistogram().ByteSize()
	t.Logf("bytes for each service: %d", size)
	if total := 230 * size; total > 256<<20/10 {
		t.Fatalf("%d bytes for 230 services", total)
	}
}
