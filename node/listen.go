package node

import (
	"net/http"
	"net/netip"

	"github.com/marblering/marblering/transport/listener"
	"github.com/marblering/marblering/transport/peer"
)

// listen opens one HTTP server of the node.
func listen(name string, address netip.AddrPort, handler http.Handler) (*listener.Listener, error) {
	return listener.Open(name, address.String(), peer.NewHTTPServer(handler))
}
