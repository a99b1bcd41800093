// Package sleep pauses until a time is over or a context ends.
package sleep

import (
	"context"
	"math/rand/v2"
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

// Jitter draws a pause around the given one, from half of it to one and a half, so
// that nodes that failed at the same moment don't go on at the same moment.
func Jitter(pause time.Duration) time.Duration { return pause/2 + rand.N(pause) }
