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

// Bounds of connections of callers before the first configuration.
const (
	initialHeaderTimeout = 10 * time.Second
	initialIdleTimeout   = time.Minute
	// minHeaderBytes is the smallest limit of net/http. The relay enforces the configured
	// limit, which may be smaller.
	minHeaderBytes = 64 << 10
)

// callerServer accepts connections of callers. The timeouts of an http.Server cannot change
// while it serves, so each change of the limits starts a new server for new connections.
// Open connections keep their limits.
type callerServer struct {
	listener net.Listener
	handler  http.Handler
	logger   *zap.Logger

	mutex   sync.Mutex
	limits  routetable.Limits
	newest  *handoffListener
	servers []*http.Server
	closed  bool
}

func listenCallers(address netip.AddrPort, handler http.Handler, logger *zap.Logger) (*callerServer, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, merry.Prependf(err, "listen for callers on %s", address)
	}
	server := &callerServer{listener: listener, handler: handler, logger: logger}
	server.setLimits(routetable.Limits{HeaderTimeout: initialHeaderTimeout, IdleTimeout: initialIdleTimeout})
	return server, nil
}

func (s *callerServer) address() net.Addr { return s.listener.Addr() }

// String returns the name of the service in supervisor events.
func (s *callerServer) String() string { return "caller listener" }

// setLimits sets the limits of connections that are accepted from now on.
func (s *callerServer) setLimits(limits routetable.Limits) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed || s.newest != nil && limits == s.limits {
		return
	}
	s.limits = limits
	s.newest = newHandoffListener(s.listener.Addr())
	server := &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    max(minHeaderBytes, 2*int(limits.HeaderBytes)),
		ErrorLog:          zap.NewStdLog(s.logger.Named("http")),
	}
	s.servers = append(s.servers, server)
	go s.serve(server, s.newest)
}

func (s *callerServer) serve(server *http.Server, connections *handoffListener) {
	if err := server.Serve(connections); !errors.Is(err, http.ErrServerClosed) {
		s.logger.Error("server for callers failed", zap.Error(err))
	}
}

// Serve implements suture.Service. It accepts connections until ctx is done or shutdown
// closes the listener.
func (s *callerServer) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.listener.Close() })
	defer stop()
	for {
		connection, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			<-ctx.Done()
			return ctx.Err()
		}
		if err != nil {
			s.logger.Warn("cannot accept connection", zap.Error(err))
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.newestListener().handOff(connection)
	}
}

// acceptRetryDelay is the delay after a failed accept, such as one for lack of file
// descriptors.
const acceptRetryDelay = 20 * time.Millisecond

func (s *callerServer) newestListener() *handoffListener {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.newest
}

// shutdown stops accepting connections and waits for requests in flight.
func (s *callerServer) shutdown(ctx context.Context) error {
	_ = s.listener.Close()
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

// handoffListener is a net.Listener for connections that were accepted elsewhere.
type handoffListener struct {
	connections chan net.Conn
	closed      chan struct{}
	once        sync.Once
	address     net.Addr
}

func newHandoffListener(address net.Addr) *handoffListener {
	return &handoffListener{connections: make(chan net.Conn), closed: make(chan struct{}), address: address}
}

func (l *handoffListener) handOff(connection net.Conn) {
	select {
	case l.connections <- connection:
	case <-l.closed:
		_ = connection.Close()
	}
}

// Accept implements net.Listener.
func (l *handoffListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.connections:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *handoffListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *handoffListener) Addr() net.Addr { return l.address }
