// Package pause implements a sleep that ends early when a context ends.
//
// # Usage
//
//	if !pause.For(ctx, 20*time.Millisecond) {
//		return ctx.Err()
//	}
package pause

import (
	"context"
	"time"
)

// For waits for d. It returns false if ctx ends first. If d isn't positive, it doesn't wait and
// reports whether ctx is still active.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
