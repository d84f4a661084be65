// Package pause waits for a time or for the end of a context.
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

// For waits for d and reports false when ctx ended first.
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
