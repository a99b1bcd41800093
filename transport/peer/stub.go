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
}

// link returns the link to the peer, a new one where the last was lost.
func (s *stubs) link() *link {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.current == nil || s.current.isLost() {
		s.current = newLink(s.calls)
	}
	return s.current
}

// close ends the link.
func (s *stubs) close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.current != nil {
		s.current.lose(errClosed)
	}
}

// errClosed means that this node has stopped making calls.
var errClosed = merry.Sentinel("the client is closed")

// maxStubs bounds the addresses that are remembered.
const maxStubs = 1024

func (c *Client) stubs(address string) *stubs {
	if known, found := c.known.Load(address); found {
		return known.(*stubs)
	}
	base := "http://" + address
	made := &stubs{
		replica: peerv1connect.NewReplicaServiceClient(c.http, base, c.options...),
		node:    peerv1connect.NewNodeServiceClient(c.http, base, c.options...),
		mirror:  peerv1connect.NewMirrorServiceClient(c.http, base, c.options...),
		calls:   peerv1connect.NewCallServiceClient(c.http, base, connect.WithAcceptCompression(gzipName, nil, nil)),
	}
	if c.count.Load() > maxStubs {
		c.Close()
	}
	kept, found := c.known.LoadOrStore(address, made)
	if !found {
		c.count.Add(1)
	}
	return kept.(*stubs)
}

// Close ends the links to all peers; calls under way fail. The next call opens
// another.
func (c *Client) Close() {
	c.known.Range(func(address, known any) bool {
		c.known.Delete(address)
		known.(*stubs).close()
		return true
	})
	c.count.Store(0)
}
