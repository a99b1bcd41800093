// Package sleep pauses for a duration or until a context ends.
package sleep

import (
	"context"
	"math/rand/v2"
	"time"
)

// For waits for the pause and returns nil. If the context ends first, it returns the
// context's error at once.
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

// Jitter returns a random duration between half and one and a half times the pause, so
// that nodes that failed together don't retry together. It returns zero if the pause isn't
// positive.
func Jitter(pause time.Duration) time.Duration {
	if pause <= 0 {
		return 0
	}
	return pause/2 + rand.N(pause)
}
