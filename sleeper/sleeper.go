// Package sleeper waits for a time or for the end of a context.
package sleeper

import (
	"context"
	"time"
)

// Sleep waits for the time and reports whether it has passed before the context
// ended. Without a time to wait it reports whether the context is still alive.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
