package gateway

import (
	"context"
	"time"

	"github.com/marblering/marblering/transport/upstream"
)

// idleCheckInterval is the pause between two looks at the resting connections to back ends
// (chosen, not measured).
const idleCheckInterval = time.Second

// idleCloser closes connections to back ends that have rested too long. It is a suture
// service.
type idleCloser struct {
	client *upstream.Client
}

// String names the service in the supervisor's messages.
func (idleCloser) String() string { return "closer of idle connections" }

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
