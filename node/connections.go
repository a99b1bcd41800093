package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/marblering/marblering/transport/peer"
)

// connections makes the node's HTTP clients and counts the bytes on all its
// connections, headers included, by who is at the other end.
type connections struct {
	bytes *prometheus.CounterVec
}

// Values of the label end: who is at the other end of a connection.
const (
	endPeer     = "peer"
	endEngine   = "engine"
	endPlatform = "platform"
	endCaller   = "caller"
)

// Bounds of the pool of connections that an HTTP client keeps open.
const (
	idleConnections        = 64
	idleConnectionsPerHost = 8
	idleConnectionTimeout  = 90 * time.Second
	dialTimeout            = 5 * time.Second
)

func newConnections(registerer prometheus.Registerer) *connections {
	c := &connections{bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "marblering_wire_bytes_total",
		Help: "Bytes on the node's connections, headers included, by other end and direction.",
	}, []string{"end", "direction"})}
	registerer.MustRegister(c.bytes)
	return c
}

// count returns the connection with its bytes counted as those of the end.
func (c *connections) count(connection net.Conn, end string) net.Conn {
	return &countedConn{
		Conn: connection,
		in:   c.bytes.WithLabelValues(end, "in"),
		out:  c.bytes.WithLabelValues(end, "out"),
	}
}

// client makes an HTTP client for one kind of other end. It has no timeout of its
// own: contexts bound the requests.
func (c *connections) client(end string) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			connection, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return c.count(connection, end), nil
		},
		MaxIdleConns:        idleConnections,
		MaxIdleConnsPerHost: idleConnectionsPerHost,
		IdleConnTimeout:     idleConnectionTimeout,
	}
	if end == endPeer {
		peer.ConfigureHTTP2(transport)
	}
	return &http.Client{Transport: transport}
}

// countedConn counts the bytes of one connection.
type countedConn struct {
	net.Conn
	in  prometheus.Counter
	out prometheus.Counter
}

// Read implements net.Conn.
func (c *countedConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.in.Add(float64(count))
	return count, err
}

// Write implements net.Conn.
func (c *countedConn) Write(buffer []byte) (int, error) {
	count, err := c.Conn.Write(buffer)
	c.out.Add(float64(count))
	return count, err
}

// SetLinger has the same meaning as that of net.TCPConn. The listener resets connections by it.
func (c *countedConn) SetLinger(seconds int) error {
	if socket, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return socket.SetLinger(seconds)
	}
	return nil
}

// countedListener counts the bytes of the connections it accepts.
type countedListener struct {
	net.Listener
	connections *connections
	end         string
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.connections.count(connection, l.end), nil
}
