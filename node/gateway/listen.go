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
	initialHeaderTimeout = 10 * time.Second
	initialIdleTimeout   = time.Minute
	// minHeaderBytes is what net/http reads of a head at least. The relay
	// holds the configured limit itself, which may be less.
	minHeaderBytes = 64 << 10
)

// callerServer accepts callers' connections. net/http fixes the time-outs of a
// connection when its server is made, so a change of the limits makes a new
// server for new connections; those at hand keep their limits.
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
	socket, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, merry.Prependf(err, "listening for callers on %s", address)
	}
	server := &callerServer{listener: socket, handler: handler, logger: logger}
	server.setLimits(routetable.Limits{HeaderTimeout: initialHeaderTimeout, IdleTimeout: initialIdleTimeout})
	return server, nil
}

func (s *callerServer) address() net.Addr { return s.listener.Addr() }

// String names the service in the supervisor's messages.
func (s *callerServer) String() string { return "listener of callers" }

// setLimits sets the bounds of connections that are accepted from now on.
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
		s.logger.Error("server of callers ended", zap.Error(err))
	}
}

// Serve accepts connections until the context ends or the socket is closed.
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
			s.logger.Warn("connection not accepted", zap.Error(err))
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.newestListener().handOff(connection)
	}
}

// acceptRetryDelay follows a failed accept, such as one without free descriptors (chosen, not
// measured).
const acceptRetryDelay = 20 * time.Millisecond

func (s *callerServer) newestListener() *handoffListener {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.newest
}

// shutdown takes no more connections and waits for the answers under way.
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

// handoffListener is a net.Listener that is handed its connections.
type handoffListener struct {
	connections chan net.Conn
	closed      chan struct{}
	once        sync.Once
	address     net.Addr
}

func newHandoffListener(address net.Addr) *handoffListener {
	return &handoffListener{connections: make(chan net.Conn), closed: make(chan struct{}), address: address}
}

func (f *handoffListener) handOff(connection net.Conn) {
	select {
	case f.connections <- connection:
	case <-f.closed:
		_ = connection.Close()
	}
}

// Accept implements net.Listener.
func (f *handoffListener) Accept() (net.Conn, error) {
	select {
	case connection := <-f.connections:
		return connection, nil
	case <-f.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (f *handoffListener) Close() error {
	f.once.Do(func() { close(f.closed) })
	return nil
}

// Addr implements net.Listener.
func (f *handoffListener) Addr() net.Addr { return f.address }
