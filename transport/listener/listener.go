// Package listener runs an HTTP server as a suture service. The socket is opened
// before the service starts, so that an address already in use fails the startup.
package listener

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// HeaderTimeout is the longest time that a client may take to send its headers.
	HeaderTimeout = 10 * time.Second
	// acceptRetryDelay is the delay after a failed accept, such as one for lack of file
	// descriptors.
	acceptRetryDelay = 20 * time.Millisecond
)

// Listener is an HTTP server and the socket that it accepts connections from.
//
// It stops without losing a request of HTTP/1.1: each one that it has read gets its
// response. That isn't so with http.Server.Shutdown alone, which closes a connection right
// after it has read a request.
type Listener struct {
	name   string
	server *http.Server
	// Socket accepts the connections. It may be wrapped before Serve is called.
	Socket net.Listener
	// OnAcceptError is called for a failed accept, OnUnhandled for a connection that ends
	// with a request that no handler got, since its header is incomplete or invalid. They
	// must be set before Serve is called, or nil.
	OnAcceptError func(error)
	OnUnhandled   func(client net.Addr)

	timeouts    atomic.Pointer[Timeouts]
	servesHTTP2 bool

	mutex sync.Mutex
	// open holds the connections, but for those of HTTP/2.
	open map[*connection]struct{}
	// isStopping is set once no connection is accepted.
	isStopping bool
	// drained is closed once isStopping is set and no connection is open.
	drained chan struct{}
}

// Open starts listening on the address, given as ip:port. The name identifies the
// listener in errors and in the supervisor's messages. The server's ReadHeaderTimeout and
// IdleTimeout apply until SetTimeouts is called. Open sets the server's ConnState and
// ConnContext and wraps its handler.
func Open(name, address string, server *http.Server) (*Listener, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, merry.Prependf(err, "listening for %s on %s", name, address)
	}
	l := &Listener{name: name, server: server, Socket: socket, open: make(map[*connection]struct{}), drained: make(chan struct{})}
	l.servesHTTP2 = server.Protocols != nil && server.Protocols.UnencryptedHTTP2()
	l.timeouts.Store(&Timeouts{Header: server.ReadHeaderTimeout, Idle: server.IdleTimeout})
	server.ConnState = noteState
	server.ConnContext = withConnection
	server.Handler = l.handle(server.Handler)
	return l, nil
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

func withConnection(ctx context.Context, socket net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, socket)
}

// handle returns the handler of the server.
func (l *Listener) handle(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		c, ok := request.Context().Value(connectionKey{}).(*connection)
		if !ok {
			handler.ServeHTTP(writer, request)
			return
		}
		c.noteHandler()
		c.beginResponse(request)
		handler.ServeHTTP(writer, request)
		c.noteReturned()
	})
}

// noteState tells a connection the state that the server has brought it to.
func noteState(socket net.Conn, state http.ConnState) {
	switch state {
	case http.StateActive:
		socket.(*connection).noteHeader()
	case http.StateIdle:
		socket.(*connection).noteResponse()
	}
}

// Address returns the address that the socket is bound to. Where Open was given port
// 0, it has the port that the system chose.
func (l *Listener) Address() string { return l.Socket.Addr().String() }

// String implements fmt.Stringer. The supervisor names the service by it.
func (l *Listener) String() string { return "listener " + l.name }

// Serve serves requests until the context ends. After StopAccepting, it waits for the
// context without accepting connections.
func (l *Listener) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, l.close)
	defer stop()
	err := l.server.Serve(acceptor{l})
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

// close closes all connections, whatever they still have to write.
func (l *Listener) close() {
	for _, c := range l.connections() {
		c.noteAborted()
	}
	_ = l.server.Close()
}

// SetTimeouts changes the timeouts, also those of open connections: of one that waits at
// once if they become longer, otherwise from its next request on.
func (l *Listener) SetTimeouts(timeouts Timeouts) {
	if *l.timeouts.Load() == timeouts {
		return
	}
	l.timeouts.Store(&timeouts)
	for _, c := range l.connections() {
		c.extendTimeouts()
	}
}

// Shutdown stops accepting connections and waits until the responses in flight have
// been written. Waiting for the handlers alone isn't enough: they return before their
// responses have left the server.
func (l *Listener) Shutdown(ctx context.Context) error {
	l.StopAccepting()
	drainCtx, cancel := withHalf(ctx)
	defer cancel()
	// Only connections of HTTP/2 are left to the server then. They have their own half of the
	// time.
	err := errors.Join(l.AwaitDrained(drainCtx), l.server.Shutdown(ctx))
	return merry.Prependf(err, "shutting down the listener for %s", l.name)
}

// withHalf returns a context that ends when half of the time of ctx has passed.
func withHalf(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, hasDeadline := ctx.Deadline()
	if !hasDeadline {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Until(deadline)/2)
}

// StopAccepting closes the socket and all connections that have no request. The others are
// closed after their response.
func (l *Listener) StopAccepting() {
	_ = l.Socket.Close()
	l.mutex.Lock()
	l.isStopping = true
	l.signalDrained()
	l.mutex.Unlock()
	for _, c := range l.connections() {
		c.retire()
	}
}

// AwaitDrained waits after StopAccepting until all connections of HTTP/1.1 are closed.
func (l *Listener) AwaitDrained(ctx context.Context) error {
	select {
	case <-l.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *Listener) connections() []*connection {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	connections := make([]*connection, 0, len(l.open))
	for c := range l.open {
		connections = append(connections, c)
	}
	return connections
}

// signalDrained closes the channel drained if its condition holds. The mutex must be held.
func (l *Listener) signalDrained() {
	if !l.isStopping || len(l.open) > 0 {
		return
	}
	select {
	case <-l.drained:
	default:
		close(l.drained)
	}
}

// add registers an accepted connection.
func (l *Listener) add(socket net.Conn) *connection {
	c := &connection{Conn: socket, owner: l}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open[c] = struct{}{}
	if l.isStopping {
		c.retired = time.Now()
	}
	c.begin(waiting)
	return c
}

func (l *Listener) remove(c *connection) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.open, c)
	l.signalDrained()
}

func (l *Listener) reportUnhandled(c *connection) {
	if l.OnUnhandled != nil {
		l.OnUnhandled(c.RemoteAddr())
	}
}

// acceptor is the net.Listener of the server.
type acceptor struct{ *Listener }

// Accept implements net.Listener.
func (a acceptor) Accept() (net.Conn, error) {
	for {
		socket, err := a.Socket.Accept()
		if err == nil {
			return a.add(socket), nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if a.OnAcceptError != nil {
			a.OnAcceptError(err)
		}
		time.Sleep(acceptRetryDelay)
	}
}

// Close implements net.Listener. StopAccepting may have closed the socket.
func (a acceptor) Close() error {
	if err := a.Socket.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// Addr implements net.Listener.
func (a acceptor) Addr() net.Addr { return a.Socket.Addr() }
