package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/routetable"
)

// Bounds of callers' connections before the first configuration (chosen, not measured).
const (
	firstHeaderTimeout = 10 * time.Second
	firstIdleTimeout   = time.Minute
	// leastHeaderBytes is what net/http reads of a head at least. The relay
	// holds the configured limit itself, which may be less.
	leastHeaderBytes = 64 << 10
)

// callerServer accepts callers' connections. net/http fixes the time-outs of a
// connection when its server is made, so a change of the limits makes a new
// server for new connections; those at hand keep their limits.
type callerServer struct {
	socket  net.Listener
	handler http.Handler
	logger  *zap.Logger

	mutex   sync.Mutex
	limits  routetable.Limits
	current *feed
	servers []*http.Server
	closed  bool
}

func listenCallers(address netip.AddrPort, handler http.Handler, logger *zap.Logger) (*callerServer, error) {
	socket, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, merry.Prependf(err, "listening for callers on %s", address)
	}
	server := &callerServer{socket: socket, handler: handler, logger: logger}
	server.limit(routetable.Limits{HeaderTimeout: firstHeaderTimeout, IdleTimeout: firstIdleTimeout})
	return server, nil
}

func (s *callerServer) address() net.Addr { return s.socket.Addr() }

// String names the service in the supervisor's messages.
func (s *callerServer) String() string { return "listener of callers" }

// limit sets the bounds of connections that are accepted from now on.
func (s *callerServer) limit(limits routetable.Limits) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed || s.current != nil && limits == s.limits {
		return
	}
	s.limits = limits
	s.current = newFeed(s.socket.Addr())
	server := &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    max(leastHeaderBytes, 2*int(limits.HeaderBytes)),
		ErrorLog:          zap.NewStdLog(s.logger.Named("http")),
	}
	s.servers = append(s.servers, server)
	go s.serve(server, s.current)
}

func (s *callerServer) serve(server *http.Server, connections *feed) {
	if err := server.Serve(connections); !errors.Is(err, http.ErrServerClosed) {
		s.logger.Error("server of callers ended", zap.Error(err))
	}
}

// Serve accepts connections until the context ends or the socket is closed.
func (s *callerServer) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.socket.Close() })
	defer stop()
	for {
		connection, err := s.socket.Accept()
		if errors.Is(err, net.ErrClosed) {
			<-ctx.Done()
			return ctx.Err()
		}
		if err != nil {
			s.logger.Warn("connection not accepted", zap.Error(err))
			time.Sleep(acceptPause)
			continue
		}
		s.newest().push(connection)
	}
}

// acceptPause follows a failed accept, such as one without free descriptors (chosen, not
// measured).
const acceptPause = 20 * time.Millisecond

func (s *callerServer) newest() *feed {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.current
}

// shutdown takes no more connections and waits for the answers under way.
func (s *callerServer) shutdown(ctx context.Context) error {
	_ = s.socket.Close()
	s.mutex.Lock()
	s.closed = true
	servers := s.servers
	s.mutex.Unlock()
	var failures []error
	for _, server := range servers {
		failures = append(failures, server.Shutdown(ctx))
	}
	return errors.Join(failures...)
}

// feed is a net.Listener that is handed its connections.
type feed struct {
	connections chan net.Conn
	closed      chan struct{}
	once        sync.Once
	at          net.Addr
}

func newFeed(at net.Addr) *feed {
	return &feed{connections: make(chan net.Conn), closed: make(chan struct{}), at: at}
}

func (f *feed) push(connection net.Conn) {
	select {
	case f.connections <- connection:
	case <-f.closed:
		_ = connection.Close()
	}
}

// Accept implements net.Listener.
func (f *feed) Accept() (net.Conn, error) {
	select {
	case connection := <-f.connections:
		return connection, nil
	case <-f.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (f *feed) Close() error {
	f.once.Do(func() { close(f.closed) })
	return nil
}

// Addr implements net.Listener.
func (f *feed) Addr() net.Addr { return f.at }
