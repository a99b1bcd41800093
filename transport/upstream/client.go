package upstream

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Client makes exchanges and keeps their connections. It is safe for
// concurrent use.
type Client struct {
	settings Settings
	now      func() time.Time
	dials    atomic.Uint64
	// heardAt is when bytes last came from any back end, in nanoseconds of the
	// Unix epoch.
	heardAt atomic.Int64
	// reachable knows which back ends' machines can be reached.
	reachable *reachability

	mutex sync.Mutex
	idle  map[endpoint][]*connection
}

// endpoint is one life of a back end.
type endpoint struct {
	address  string
	instance string
	// started is in nanoseconds of the Unix epoch; zero where it isn't known.
	started int64
}

func endpointOf(request *Request) endpoint {
	to := endpoint{address: request.Address, instance: request.Instance}
	if !request.Started.IsZero() {
		to.started = request.Started.UnixNano()
	}
	return to
}

// NewClient makes a client without connections.
func NewClient(settings Settings, now func() time.Time) *Client {
	return &Client{
		settings: settings, now: now, idle: make(map[endpoint][]*connection), reachable: newReachability(settings, now),
	}
}

// Dials is how many connections were made.
func (c *Client) Dials() uint64 { return c.dials.Load() }

// Probes is how often a silent back end's machine was looked for.
func (c *Client) Probes() uint64 { return c.reachable.dials.Load() }

// heard notes that bytes came on the connection.
func (c *Client) heard(on *connection) {
	now := c.now().UnixNano()
	on.heard.Store(now)
	c.heardAt.Store(now)
}

// heardSince tells whether any back end said something since then.
func (c *Client) heardSince(then time.Time) bool { return c.heardAt.Load() >= then.UnixNano() }

// connect returns a kept connection that is still usable, or a new one.
func (c *Client) connect(ctx context.Context, to endpoint) (*connection, error) {
	for {
		kept := c.take(to)
		if kept == nil {
			break
		}
		if kept.isFresh(c.now()) {
			return kept, nil
		}
		kept.close()
	}
	c.dials.Add(1)
	return dial(ctx, to.address, c.settings, c.heard)
}

// take removes the connection that rested last, so that few are kept busy and
// the others end.
func (c *Client) take(to endpoint) *connection {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	resting := c.idle[to]
	if len(resting) == 0 {
		return nil
	}
	last := resting[len(resting)-1]
	c.idle[to] = resting[:len(resting)-1]
	return last
}

// keep lets the connection rest.
func (c *Client) keep(to endpoint, kept *connection) {
	kept.restedAt = c.now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.idle[to]) >= c.settings.MaxIdle || kept.restLimit <= 0 {
		kept.close()
		return
	}
	c.idle[to] = append(c.idle[to], kept)
}

// Forget closes the resting connections of an instance that is gone or was started again,
// those of all its lives.
func (c *Client) Forget(instance string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for to, resting := range c.idle {
		if to.instance == instance {
			closeAll(resting)
			delete(c.idle, to)
		}
	}
}

// CloseIdle closes the connections that have rested for too long.
func (c *Client) CloseIdle() {
	now := c.now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for to, resting := range c.idle {
		kept := resting[:0]
		for _, candidate := range resting {
			if now.Sub(candidate.restedAt) >= candidate.restLimit {
				candidate.close()
				continue
			}
			kept = append(kept, candidate)
		}
		if len(kept) == 0 {
			delete(c.idle, to)
			continue
		}
		c.idle[to] = kept
	}
}

func closeAll(connections []*connection) {
	for _, candidate := range connections {
		candidate.close()
	}
}
