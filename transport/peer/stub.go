package peer

import (
	"sync"

	"connectrpc.com/connect"
	"github.com/ansel1/merry/v2"

	"github.com/marblering/marblering/api/peer/v1/peerv1connect"
)

// stubs holds the generated clients for one address and the link to it. They are
// cached because creating the clients costs about as much as a request.
type stubs struct {
	replica peerv1connect.ReplicaServiceClient
	node    peerv1connect.NodeServiceClient
	mirror  peerv1connect.MirrorServiceClient
	crashes peerv1connect.CrashServiceClient
	calls   peerv1connect.CallServiceClient

	mutex sync.Mutex
	// current is the latest link. It is nil before the first call.
	current *link
	// evicted is set when the stubs are removed from the client's cache.
	evicted bool
}

// link returns the link to the peer. It opens a new one if there is none or if the latest
// is closed, and returns nil if these stubs are evicted.
func (s *stubs) link() *link {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.evicted {
		return nil
	}
	if s.current == nil || s.current.isClosed() {
		s.current = newLink(s.calls)
	}
	return s.current
}

// evict closes the link and marks the stubs as evicted. Unless includeInUse is set, it
// does nothing while calls are in flight. It reports whether the stubs are evicted.
func (s *stubs) evict(includeInUse bool) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.current != nil {
		if !includeInUse && s.current.isInUse() {
			return false
		}
		s.current.closeWithError(errClientClosed)
	}
	s.evicted = true
	return true
}

// errClientClosed is why links are closed that the client no longer uses.
var errClientClosed = merry.Sentinel("the client is closed")

// maxCachedStubs is the number of cached stubs at which those without calls in flight
// are evicted.
const maxCachedStubs = 1024

func (c *Client) stubs(address string) *stubs {
	if cached, found := c.cachedStubs.Load(address); found {
		return cached.(*stubs)
	}
	base := "http://" + address
	created := &stubs{
		replica: peerv1connect.NewReplicaServiceClient(c.http, base, c.options...),
		node:    peerv1connect.NewNodeServiceClient(c.http, base, c.options...),
		mirror:  peerv1connect.NewMirrorServiceClient(c.http, base, c.options...),
		crashes: peerv1connect.NewCrashServiceClient(c.http, base, c.options...),
		calls:   peerv1connect.NewCallServiceClient(c.http, base, connect.WithAcceptCompression(gzipName, nil, nil)),
	}
	if c.cachedCount.Load() >= maxCachedStubs {
		c.evictStubs(false)
	}
	cached, found := c.cachedStubs.LoadOrStore(address, created)
	if !found {
		c.cachedCount.Add(1)
	}
	return cached.(*stubs)
}

// Close closes the links to all peers. Calls in flight fail. The client remains usable:
// the next call opens a new link.
func (c *Client) Close() { c.evictStubs(true) }

func (c *Client) evictStubs(includeInUse bool) {
	c.cachedStubs.Range(func(address, cached any) bool {
		if cached.(*stubs).evict(includeInUse) {
			c.cachedStubs.Delete(address)
			c.cachedCount.Add(-1)
		}
		return true
	})
}

// link returns an open link to the address.
func (c *Client) link(address string) *link {
	for {
		if current := c.stubs(address).link(); current != nil {
			return current
		}
	}
}
