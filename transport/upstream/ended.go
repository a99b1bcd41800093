package upstream

import (
	"context"
	"errors"
	"net"
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

// probeEnd connects to the address until a connection is refused, hangs or stays open.
// Concurrent calls share one probe, and those with a maximum age an earlier one. A connection
// that the process accepts is kept for later requests. A process that is overloaded may close
// connections as well, so that isn't its end.
func (c *Client) probeEnd(ctx context.Context, to endpoint, maxAge time.Duration) Life {
	known := c.lives.of(to)
	if found, isKnown := known.probedWithin(maxAge, c.now()); isKnown {
		return found
	}
	found, _, _ := c.endChecks.Do(to.String(), func() (any, error) {
		found := c.connectToEnded(ctx, to)
		known.noteProbed(found, c.now())
		return found, nil
	})
	return found.(Life)
}

func (c *Client) connectToEnded(ctx context.Context, to endpoint) Life {
	for range maxEndProbes {
		opened, err := c.dial(ctx, to)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return LifeEnded
		case isTimeout(err) || errors.Is(err, syscall.EHOSTUNREACH):
			return LifeSilent
		case errors.Is(err, syscall.ECONNRESET): // the system closes the listening socket
		case err != nil:
			return LifeUnclear
		case opened.staysOpen(endGrace):
			c.putIdle(to, opened)
			return LifeUnclear
		default:
			opened.close()
		}
		if sleep.For(ctx, endGrace) != nil {
			return LifeUnclear
		}
	}
	return LifeUnclear
}

func isTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
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
