package upstream

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Client sends requests and keeps connections for later ones. It is safe for
// concurrent use.
type Client struct {
	settings Settings
	now      func() time.Time
	dials    atomic.Uint64
	// heardAt is when bytes last came from any back end, in nanoseconds since the
	// Unix epoch.
	heardAt atomic.Int64
	// reachable probes the machines of silent back ends.
	reachable *reachability

	mutex sync.Mutex
	idle  map[endpoint][]*connection
}

// endpoint is one life of a back end.
type endpoint struct {
	address  string
	instance string
	// started is when the process started, in nanoseconds since the Unix epoch; zero
	// where that isn't known.
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

// Probes is how often the machine of a silent back end was probed.
func (c *Client) Probes() uint64 { return c.reachable.dials.Load() }

// heard notes that bytes came on the connection.
func (c *Client) heard(on *connection) {
	now := c.now().UnixNano()
	on.heard.Store(now)
	c.heardAt.Store(now)
}

// heardSince tells whether bytes came from any back end since then.
func (c *Client) heardSince(then time.Time) bool { return c.heardAt.Load() >= then.UnixNano() }

// connect returns an idle connection that is still usable, or a new one.
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

// take removes an idle connection to the back end and returns it, nil where none is idle.
// One that was made before the start of the process was known may be to the same process:
// one that has ended since has closed it. Without it the first request after the start
// becomes known makes a connection beside one that rests (platform,
// TestConnectionsEndWithTheirLife).
func (c *Client) take(to endpoint) *connection {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if newest := c.takeNewest(to); newest != nil {
		return newest
	}
	to.started = 0
	return c.takeNewest(to)
}

// takeNewest removes the connection that became idle last, so that a few stay in use and
// the others time out. The mutex must be held.
func (c *Client) takeNewest(to endpoint) *connection {
	idle := c.idle[to]
	if len(idle) == 0 {
		return nil
	}
	newest := idle[len(idle)-1]
	c.idle[to] = idle[:len(idle)-1]
	return newest
}

// keep makes the connection available to later requests.
func (c *Client) keep(to endpoint, kept *connection) {
	kept.idleSince = c.now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.idle[to]) >= c.settings.MaxIdle || kept.idleLimit <= 0 {
		kept.close()
		return
	}
	c.idle[to] = append(c.idle[to], kept)
}

// Forget closes the idle connections of an instance that is gone or was started again,
// those of all its lives.
func (c *Client) Forget(instance string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for to, idle := range c.idle {
		if to.instance == instance {
			closeAll(idle)
			delete(c.idle, to)
		}
	}
}

// CloseIdle closes the connections that have been idle for too long.
func (c *Client) CloseIdle() {
	now := c.now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for to, idle := range c.idle {
		kept := idle[:0]
		for _, candidate := range idle {
			if now.Sub(candidate.idleSince) >= candidate.idleLimit {
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
