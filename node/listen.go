package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
)

// headerTimeout bounds how long a client may take to send its headers.
const headerTimeout = 10 * time.Second

// listener is one HTTP server of the node. It is a suture service; the socket
// is opened before the service starts, so that a taken address is an error of
// the start.
type listener struct {
	name   string
	socket net.Listener
	server *http.Server
}

func listen(name string, address netip.AddrPort, handler http.Handler) (*listener, error) {
	socket, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, merry.Prependf(err, "listening for %s on %s", name, address)
	}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &listener{
		name:   name,
		socket: socket,
		server: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, Protocols: protocols},
	}, nil
}

// address is where the server really listens, also for port 0.
func (l *listener) address() string { return l.socket.Addr().String() }

// Serve serves until close is called or the context ends.
func (l *listener) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = l.server.Close() })
	defer stop()
	err := l.server.Serve(l.socket)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

// finish takes no more connections and waits until the answers under way have
// been written: a handler returns before its answer has left the server.
func (l *listener) finish(ctx context.Context) error {
	return merry.Prependf(l.server.Shutdown(ctx), "finishing the answers to %s", l.name)
}

// String names the service in the supervisor's messages.
func (l *listener) String() string { return "listener " + l.name }
