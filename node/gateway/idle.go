package gateway

import (
	"context"
	"time"

	"github.com/marblering/marblering/transport/upstream"
)

// idleCheckInterval is the interval between checks for idle connections to backends.
const idleCheckInterval = time.Second

// idleCloser is a suture service that closes connections to backends that were idle for
// too long.
type idleCloser struct {
	client *upstream.Client
}

// String returns the name of the service in supervisor events.
func (idleCloser) String() string { return "idle connection closer" }

// Serve implements suture.Service.
func (c idleCloser) Serve(ctx context.Context) error {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			c.client.CloseIdle()
		}
	}
}
