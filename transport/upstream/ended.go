package upstream

import (
	"context"
	"errors"
	"os"
	"syscall"
	"time"

	"github.com/marblering/marblering/coordination/sleep"
)

const (
	// endGrace is how long a new connection has to stay open to show that its process
	// lives: one that is ending may still accept connections.
	endGrace = 5 * time.Millisecond
	// maxEndProbes is the maximum number of connections to a process that closes them.
	maxEndProbes = 3
)

// HasEnded reports whether the process that the request was sent to has ended: its address
// refuses connections. Concurrent calls share one check. A connection that the process
// accepts is kept for later requests.
func (c *Client) HasEnded(ctx context.Context, request *Request) bool {
	to := endpointOf(request)
	ended, _, _ := c.endChecks.Do(to.String(), func() (any, error) { return c.refusesConnections(ctx, to), nil })
	return ended.(bool)
}

// refusesConnections connects to the address until a connection is refused or stays open.
// A process that is overloaded may close connections as well, so that isn't its end.
func (c *Client) refusesConnections(ctx context.Context, to endpoint) bool {
	for range maxEndProbes {
		c.dials.Add(1)
		opened, err := dial(ctx, to.address, c.settings, c.noteReceived)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		if opened.staysOpen(endGrace) {
			c.putIdle(to, opened)
			return false
		}
		opened.close()
		if sleep.For(ctx, endGrace) != nil {
			return false
		}
	}
	return false
}

// staysOpen reports whether the peer leaves a new connection open for the time. A peer that
// sends something isn't waiting for a request, so its connection can't be used.
func (c *connection) staysOpen(grace time.Duration) bool {
	_ = c.socket.SetReadDeadline(time.Now().Add(grace))
	_, err := c.reader.Peek(1)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	_ = c.socket.SetReadDeadline(time.Time{})
	return true
}
