package peer

import (
	"net/http"
	"time"

	"github.com/marblering/marblering/transport/listener"
	"github.com/marblering/marblering/transport/socket"
)

const (
	// pingTimeout is how long a connection between nodes may be silent before a
	// ping, and how long the ping may take.
	pingTimeout = 2 * time.Second
	// dialTimeout and unacknowledgedTimeout bound connections of NewHTTPClient.
	dialTimeout           = 700 * time.Millisecond
	unacknowledgedTimeout = 1500 * time.Millisecond
)

// NewHTTPClient returns an HTTP client for NewClient that gives up connections
// to machines that went dark.
func NewHTTPClient() *http.Client {
	transport := &http.Transport{DialContext: socket.Dialer(dialTimeout, unacknowledgedTimeout).DialContext}
	UseProtocols(transport)
	return &http.Client{Transport: newLimitedTransport(transport)}
}

// NewHTTPServer returns a server that speaks HTTP/1.1 and HTTP/2 without TLS.
func NewHTTPServer(handler http.Handler) *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: handler, ReadHeaderTimeout: listener.HeaderTimeout, Protocols: protocols}
}

// UseProtocols makes requests between nodes go over HTTP/2 without TLS
// (RFC 9113, prior knowledge): its header compression matters, since control
// messages are shorter than their headers. A silent connection is pinged, so
// that a half-open one is given up.
func UseProtocols(transport *http.Transport) {
	transport.Protocols = &http.Protocols{}
	transport.Protocols.SetUnencryptedHTTP2(true)
	transport.HTTP2 = &http.HTTP2Config{
		SendPingTimeout: pingTimeout,
		PingTimeout:     pingTimeout,
	}
}
