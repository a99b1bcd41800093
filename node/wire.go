package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/marblering/marblering/transport/peer"
)

// wire counts the bytes that really cross the sockets of one node, headers
// included, by who is at the other end.
type wire struct {
	bytes *prometheus.CounterVec
}

// Ends of a connection, as labels of the metric.
const (
	wirePeer     = "peer"
	wireEngine   = "engine"
	wirePlatform = "platform"
	wireCaller   = "caller"
)

// Sizes of the connection pools.
const (
	idleConnections        = 64
	idleConnectionsPerHost = 8
	idleConnectionTimeout  = 90 * time.Second
	dialTimeout            = 5 * time.Second
)

func newWire(registerer prometheus.Registerer) *wire {
	w := &wire{bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "marblering_wire_bytes_total",
		Help: "Bytes on the node's connections, headers included, by other end and direction.",
	}, []string{"end", "direction"})}
	registerer.MustRegister(w.bytes)
	return w
}

// conn wraps a connection to the given end.
func (w *wire) conn(connection net.Conn, end string) net.Conn {
	return &countedConn{
		Conn: connection,
		in:   w.bytes.WithLabelValues(end, "in"),
		out:  w.bytes.WithLabelValues(end, "out"),
	}
}

// client makes an HTTP client for one kind of other end. It has no timeout of
// its own: contexts bound the requests.
func (w *wire) client(end string) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			connection, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return w.conn(connection, end), nil
		},
		MaxIdleConns:        idleConnections,
		MaxIdleConnsPerHost: idleConnectionsPerHost,
		IdleConnTimeout:     idleConnectionTimeout,
	}
	if end == wirePeer {
		peer.UseProtocols(transport)
	}
	return &http.Client{Transport: transport}
}

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

// countedListener counts the bytes of the connections it accepts.
type countedListener struct {
	net.Listener
	wire *wire
	end  string
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wire.conn(connection, l.end), nil
}
