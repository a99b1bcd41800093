// Package listener runs one HTTP server as a suture service. The socket is opened
// before the service starts, so that a taken address is an error of the start.
package listener

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
)

// HeaderTimeout bounds how long a client may take to send its headers.
const HeaderTimeout = 10 * time.Second

// Listener is one HTTP server and its socket.
type Listener struct {
	name   string
	server *http.Server
	// Socket may be wrapped before Serve is called.
	Socket net.Listener
}

// Open listens on the address, IP number and port, for the server.
func Open(name, address string, server *http.Server) (*Listener, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, merry.Prependf(err, "listening for %s on %s", name, address)
	}
	return &Listener{name: name, server: server, Socket: socket}, nil
}

// Address is where the server really listens, also for port 0.
func (l *Listener) Address() string { return l.Socket.Addr().String() }

// Serve serves until Finish is called or the context ends.
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

// Finish takes no more connections and waits until the answers under way have
// been written: a handler returns before its answer has left the server.
func (l *Listener) Finish(ctx context.Context) error {
	return merry.Prependf(l.server.Shutdown(ctx), "finishing the answers to %s", l.name)
}

// String names the service in the supervisor's messages.
func (l *Listener) String() string { return "listener " + l.name }
