package retry

import "testing"

// TestSize guards against budgets that use more than a tenth of a node's 256 MiB with 230
// services.
func TestSize(t *testing.T) {
	size := 2 * newHistogram().ByteSize()
	t.Logf("bytes per service: %d", size)
	if total := 230 * size; total > 256<<20/10 {
		t.Fatalf("%d bytes for 230 services", total)
	}
}
