// Package listener runs an HTTP server as a suture service. The socket is opened
// before the service starts, so that an address already in use fails the startup.
package listener

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
)

// HeaderTimeout is the longest time that a client may take to send its headers.
const HeaderTimeout = 10 * time.Second

// Listener is an HTTP server and the socket that it accepts connections from.
type Listener struct {
	name   string
	server *http.Server
	// Socket accepts the connections. It may be wrapped before Serve is called.
	Socket net.Listener
}

// Open starts listening on the address, given as ip:port. The name identifies the
// listener in errors and in the supervisor's messages.
func Open(name, address string, server *http.Server) (*Listener, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, merry.Prependf(err, "listening for %s on %s", name, address)
	}
	return &Listener{name: name, server: server, Socket: socket}, nil
}

// Address returns the address that the socket is bound to. Where Open was given port
// 0, it has the port that the system chose.
func (l *Listener) Address() string { return l.Socket.Addr().String() }

// Serve serves requests until the context ends. After Shutdown, it waits for the
// context without serving.
func (l *Listener) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = l.server.Close() })
	defer stop()
	err := l.server.Serve(l.Socket)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

// Shutdown stops accepting connections and waits until the responses in flight have
// been written. Waiting for the handlers alone isn't enough: they return before their
// responses have left the server.
func (l *Listener) Shutdown(ctx context.Context) error {
	return merry.Prependf(l.server.Shutdown(ctx), "shutting down the listener for %s", l.name)
}

// String implements fmt.Stringer. The supervisor names the service by it.
func (l *Listener) String() string { return "listener " + l.name }
