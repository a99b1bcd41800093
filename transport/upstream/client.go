package upstream

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"
)

// Client sends requests to backends and pools the connections. It is safe for
// concurrent use.
type Client struct {
	settings Settings
	now      func() time.Time
	dials    atomic.Uint64
	// lastReceived is when bytes were last received from any backend, in nanoseconds
	// since the Unix epoch.
	lastReceived atomic.Int64
	// hosts probes the hosts of backends that stopped sending.
	hosts *hostProber
	// lives are the processes that there are or were connections to.
	lives *lives
	// endChecks shares concurrent checks of one process.
	endChecks singleflight.Group
	// processChecks shares concurrent questions to one process.
	processChecks singleflight.Group

	mutex sync.Mutex
	idle  map[endpoint][]*connection
}

// endpoint identifies one process of a backend instance.
type endpoint struct {
	address  string
	instance string
	// started is when the process started, in nanoseconds since the Unix epoch; zero
	// if unknown.
	started int64
}

func (e endpoint) String() string { return fmt.Sprint(e.address, " ", e.instance, " ", e.started) }

func endpointOf(request *Request) endpoint {
	to := endpoint{address: request.Address, instance: request.Instance}
	if !request.Started.IsZero() {
		to.started = request.Started.UnixNano()
	}
	return to
}

// NewClient returns a client without connections.
func NewClient(settings Settings, now func() time.Time) *Client {
	return &Client{
		settings: settings, now: now, idle: make(map[endpoint][]*connection), hosts: newHostProber(settings, now), lives: newLives(),
	}
}

// Dials returns the number of connection attempts.
func (c *Client) Dials() uint64 { return c.dials.Load() }

// Probes returns the number of host probes.
func (c *Client) Probes() uint64 { return c.hosts.probeCount.Load() }

// noteReceived records that bytes were received on the connection.
func (c *Client) noteReceived(on *connection) {
	now := c.now().UnixNano()
	on.firstReceived.CompareAndSwap(0, now)
	on.lastReceived.Store(now)
	on.life.lastReceived.Store(now)
	c.lastReceived.Store(now)
}

// hasReceivedSince reports whether bytes were received from any backend since then.
func (c *Client) hasReceivedSince(then time.Time) bool {
	return c.lastReceived.Load() >= then.UnixNano()
}

// connectFor returns a connection for the request. One whose last request had the same id isn't used
// again: a late answer to that couldn't be told from the answer to this one.
func (c *Client) connectFor(ctx context.Context, to endpoint, request *Request) (*connection, error) {
	for {
		opened, err := c.connect(ctx, to)
		if err != nil || opened.lastID == "" || opened.lastID != request.ID {
			return opened, err
		}
		opened.close()
	}
}

// connect returns a reusable idle connection or dials a new one.
func (c *Client) connect(ctx context.Context, to endpoint) (*connection, error) {
	for {
		kept := c.takeIdle(to)
		if kept == nil {
			break
		}
		if kept.isReusable(c.now()) {
			kept.inUse.Store(true)
			return kept, nil
		}
		if !kept.isOpen() && c.now().Sub(kept.lastUse()) < minIdleClose {
			kept.noteBroken(c.now())
		}
		kept.close()
	}
	return c.dial(ctx, to)
}

// reconnect returns the connection, or another one if the process has closed it.
func (c *Client) reconnect(ctx context.Context, to endpoint, request *Request, opened *connection) (*connection, error) {
	if opened.isOpen() {
		return opened, nil
	}
	opened.noteBroken(c.now())
	opened.close()
	return c.connectFor(ctx, to, request)
}

// takeIdle removes an idle connection to the backend from the pool and returns it, or nil
// if none is idle. It falls back to connections that were made before the process's
// start time was known: they lead to the same process, or are closed already because
// their process has ended.
func (c *Client) takeIdle(to endpoint) *connection {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if newest := c.takeNewestIdle(to); newest != nil {
		return newest
	}
	to.started = 0
	return c.takeNewestIdle(to)
}

// takeNewestIdle removes and returns the most recently used idle connection, so that
// surplus connections time out. The mutex must be held.
func (c *Client) takeNewestIdle(to endpoint) *connection {
	idle := c.idle[to]
	if len(idle) == 0 {
		return nil
	}
	newest := idle[len(idle)-1]
	c.idle[to] = idle[:len(idle)-1]
	return newest
}

// putIdle returns the connection to the pool, or closes it if the pool is full or the
// backend allows no idle time.
func (c *Client) putIdle(to endpoint, kept *connection) {
	kept.idleSince = c.now()
	kept.lastUsed.Store(kept.idleSince.UnixNano())
	kept.inUse.Store(false)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.idle[to]) >= c.settings.MaxIdle || kept.idleLimit <= 0 {
		kept.close()
		return
	}
	c.idle[to] = append(c.idle[to], kept)
}

// CloseInstance closes the idle connections to all processes of an instance that is gone or
// was restarted.
func (c *Client) CloseInstance(instance string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for to, idle := range c.idle {
		if to.instance == instance {
			closeAll(idle)
			delete(c.idle, to)
		}
	}
}

// CloseIdle closes the connections that have reached their idle limit.
func (c *Client) CloseIdle() {
	now := c.now()
	c.lives.sweep(now)
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
