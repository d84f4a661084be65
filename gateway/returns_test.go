package gateway

import (
	"testing"
	"time"
)

// Guards against a caller that goes before others although it was not refused, has not waited or returns a
// second time, and against a table that grows without bound.
func TestReturnTable(t *testing.T) {
	now := time.Now()
	table := newReturnTable()
	for range 2 { // two callers with equal requests
		table.record(1, now.Add(-time.Millisecond), 300*time.Millisecond, now)
	}
	for _, c := range []struct {
		fingerprint uint64
		after       time.Duration
		want        bool
	}{{2, 300 * time.Millisecond, false}, {1, 200 * time.Millisecond, false}, {1, 300 * time.Millisecond, true}, {1, 400 * time.Millisecond, true}, {1, 400 * time.Millisecond, false}} {
		if asked, got := table.take(c.fingerprint, now.Add(c.after)); got != c.want || got && !asked.Equal(now.Add(-time.Millisecond)) {
			t.Errorf("caller of %d after %v is expected: %v, want %v", c.fingerprint, c.after, got, c.want)
		}
	}
	for i := range uint64(2 * maxReturns) {
		table.record(i, now, time.Second, now)
	}
	if n := len(table.byFingerprint); n != maxReturns {
		t.Errorf("the table has %d fingerprints, want %d", n, maxReturns)
	}
	if table.prune(now.Add(2 * time.Second)); len(table.byFingerprint) != 0 {
		t.Error("callers that did not return are not forgotten")
	}
}
