package peer

import (
	"net/http"
	"time"

	"github.com/marblering/marblering/transport/listener"
	"github.com/marblering/marblering/transport/socket"
)

const (
	// pingTimeout is how long a connection between nodes may be idle before it is
	// pinged, and how long the response to the ping may take.
	pingTimeout = 2 * time.Second
	// dialTimeout and unacknowledgedTimeout limit how long the connections of
	// NewHTTPClient may take to open and may leave sent data unacknowledged.
	dialTimeout           = 700 * time.Millisecond
	unacknowledgedTimeout = 1500 * time.Millisecond
)

// NewHTTPClient returns an HTTP client for NewClient. It closes connections to
// machines that stopped responding and limits the requests in flight to each peer.
func NewHTTPClient() *http.Client {
	transport := &http.Transport{DialContext: socket.Dialer(dialTimeout, unacknowledgedTimeout).DialContext}
	ConfigureHTTP2(transport)
	return &http.Client{Transport: newLimitedTransport(transport)}
}

// NewHTTPServer returns a server for HTTP/1.1 and HTTP/2 without TLS.
func NewHTTPServer(handler http.Handler) *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: handler, ReadHeaderTimeout: listener.HeaderTimeout, Protocols: protocols}
}

// ConfigureHTTP2 configures the transport for requests between nodes: HTTP/2 without TLS
// and with prior knowledge (RFC 9113), whose header compression matters because control
// messages are shorter than their headers. Idle connections are pinged, so that
// half-open ones are closed.
func ConfigureHTTP2(transport *http.Transport) {
	transport.Protocols = &http.Protocols{}
	transport.Protocols.SetUnencryptedHTTP2(true)
	transport.HTTP2 = &http.HTTP2Config{
		SendPingTimeout: pingTimeout,
		PingTimeout:     pingTimeout,
	}
}
