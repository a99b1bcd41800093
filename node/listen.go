package node

import (
	"errors"
	"net/http"
	"net/netip"
	"sync/atomic"

	"github.com/marblering/marblering/transport/listener"
	"github.com/marblering/marblering/transport/peer"
)

// listen opens one HTTP server of the node.
func listen(name string, address netip.AddrPort, handler http.Handler) (*listener.Listener, error) {
	return listener.Open(name, address.String(), peer.NewHTTPServer(handler))
}

// openListeners opens the three listeners, or none.
func (n *Node) openListeners(peers, callers, operators http.Handler) error {
	var err error
	if n.peerListener, err = listen("peers", n.settings.PeerListen, peers); err != nil {
		return err
	}
	if n.callerListener, err = listen("callers", n.settings.CallerListen, callers); err != nil {
		return errors.Join(err, n.peerListener.Socket.Close())
	}
	n.peerListener.Socket = &countedListener{Listener: n.peerListener.Socket, connections: n.connections, end: endPeer}
	n.callerListener.Socket = &countedListener{Listener: n.callerListener.Socket, connections: n.connections, end: endCaller}
	if n.operatorListener, err = listen("operators", n.settings.OperatorListen, operators); err != nil {
		return errors.Join(err, n.peerListener.Socket.Close(), n.callerListener.Socket.Close())
	}
	return nil
}

// closeListeners closes the listeners of a node that can't start.
func (n *Node) closeListeners() error {
	return errors.Join(n.peerListener.Socket.Close(), n.callerListener.Socket.Close(), n.operatorListener.Socket.Close())
}

// lateHandler is a handler that is set after its listener was opened. Until then it
// answers 503.
type lateHandler struct {
	handler atomic.Pointer[http.Handler]
}

func (l *lateHandler) set(handler http.Handler) { l.handler.Store(&handler) }

// ServeHTTP implements http.Handler.
func (l *lateHandler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	handler := l.handler.Load()
	if handler == nil {
		http.Error(writer, "starting", http.StatusServiceUnavailable)
		return
	}
	(*handler).ServeHTTP(writer, request)
}
