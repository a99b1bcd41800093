// Package sleep pauses until a time is over or a context ends.
package sleep

import (
	"context"
	"time"
)

// For returns nil after the pause, and the context's error where that ends
// first.
func For(ctx context.Context, pause time.Duration) error {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
