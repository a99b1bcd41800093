package peer

import (
	"sync"

	"connectrpc.com/connect"
	"github.com/ansel1/merry/v2"

	"github.com/marblering/marblering/api/peer/v1/peerv1connect"
)

// stubs are the generated clients for one address. Making them costs as much as
// a request.
type stubs struct {
	replica peerv1connect.ReplicaServiceClient
	node    peerv1connect.NodeServiceClient
	mirror  peerv1connect.MirrorServiceClient
	calls   peerv1connect.CallServiceClient

	mutex sync.Mutex
	// current is the link in use; nil before the first call.
	current *link
	// evicted is set once the client doesn't know these stubs any more.
	evicted bool
}

// link returns the link to the peer, a new one where the last was lost; nil where
// these stubs are forgotten.
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

// evict ends the link, where calls are under way only if they are to be given up
// too. It says whether it did.
func (s *stubs) evict(evenInUse bool) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.current != nil {
		if !evenInUse && s.current.isInUse() {
			return false
		}
		s.current.closeWithError(errClientClosed)
	}
	s.evicted = true
	return true
}

// errClientClosed means that this node has stopped making calls.
var errClientClosed = merry.Sentinel("the client is closed")

// maxCachedStubs is how many addresses are remembered before those without calls under
// way are forgotten.
const maxCachedStubs = 1024

func (c *Client) stubs(address string) *stubs {
	if known, found := c.cachedStubs.Load(address); found {
		return known.(*stubs)
	}
	base := "http://" + address
	made := &stubs{
		replica: peerv1connect.NewReplicaServiceClient(c.http, base, c.options...),
		node:    peerv1connect.NewNodeServiceClient(c.http, base, c.options...),
		mirror:  peerv1connect.NewMirrorServiceClient(c.http, base, c.options...),
		calls:   peerv1connect.NewCallServiceClient(c.http, base, connect.WithAcceptCompression(gzipName, nil, nil)),
	}
	if c.cachedCount.Load() >= maxCachedStubs {
		c.evictStubs(false)
	}
	kept, found := c.cachedStubs.LoadOrStore(address, made)
	if !found {
		c.cachedCount.Add(1)
	}
	return kept.(*stubs)
}

// Close ends the links to all peers; calls under way fail. The next call opens
// another.
func (c *Client) Close() { c.evictStubs(true) }

func (c *Client) evictStubs(evenInUse bool) {
	c.cachedStubs.Range(func(address, known any) bool {
		if known.(*stubs).evict(evenInUse) {
			c.cachedStubs.Delete(address)
			c.cachedCount.Add(-1)
		}
		return true
	})
}

// link returns the link to the address.
func (c *Client) link(address string) *link {
	for {
		if current := c.stubs(address).link(); current != nil {
			return current
		}
	}
}
