// Package sleeper provides a sleep that the end of a context interrupts.
package sleeper

import (
	"context"
	"time"
)

// Sleep waits for d or the end of the context, and reports whether d passed first. If
// d is not positive, it reports whether the context has not ended.
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
