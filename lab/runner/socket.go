package runner

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// fillTimeout is how long a connection may take to open before the accept queue counts as
// full.
const fillTimeout = 30 * time.Millisecond

// fillChecks is how many connections in a row have to hang: one may be late for another reason.
const fillChecks = 2

// sockets is the listener of a runner with the connections that it has accepted. It can fall
// silent as a machine does that has lost its power: it acknowledges nothing more.
type sockets struct {
	net.Listener

	mutex    sync.Mutex
	accepted map[*acceptedConn]struct{}
	// silent is closed once the runner says nothing more, closed once it has ended.
	silent, closed chan struct{}
	isSilent       bool
	// hasStopped is set once a silent runner accepts no more.
	hasStopped bool
	closing    sync.Once
	// fillers fill the accept queue of a silent runner.
	fillers []net.Conn
	// mark is that of the process that accepts now; nil for the Mark of the runner.
	mark *string
}

func newSockets(listener net.Listener) *sockets {
	return &sockets{
		Listener: listener, accepted: make(map[*acceptedConn]struct{}),
		silent: make(chan struct{}), closed: make(chan struct{}),
	}
}

// Accept implements net.Listener. A silent runner accepts nothing until it is closed.
func (s *sockets) Accept() (net.Conn, error) {
	conn, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if s.keepIfSilent(conn) {
		<-s.closed
		return nil, net.ErrClosed
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	added := &acceptedConn{Conn: conn, sockets: s, mark: s.mark}
	s.accepted[added] = struct{}{}
	return added, nil
}

// keepIfSilent keeps a connection to a silent runner open and reports whether it is one.
func (s *sockets) keepIfSilent(conn net.Conn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.isSilent {
		s.hasStopped = true
		s.fillers = append(s.fillers, conn)
	}
	return s.isSilent
}

// Close implements net.Listener.
func (s *sockets) Close() error {
	s.closing.Do(func() { close(s.closed) })
	err := s.Listener.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, filler := range s.fillers {
		_ = filler.Close()
	}
	s.fillers = nil
	return err
}

// reset resets all connections.
func (s *sockets) reset() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.resetLocked()
}

// resetAs resets all connections; those accepted from then on have the mark.
func (s *sockets) resetAs(mark string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.mark = &mark
	s.resetLocked()
}

func (s *sockets) resetLocked() {
	for conn := range s.accepted {
		if tcp, ok := conn.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Conn.Close()
	}
	clear(s.accepted)
}

// silence makes all connections say nothing and new ones hang, and reports whether it is the
// first call.
func (s *sockets) silence() bool {
	s.mutex.Lock()
	if s.isSilent {
		s.mutex.Unlock()
		return false
	}
	s.isSilent = true
	close(s.silent)
	s.mutex.Unlock()
	s.fillQueue()
	return true
}

// stopAccepting leaves new connections to the system, which accepts them, and reports whether it
// is the first call.
func (s *sockets) stopAccepting() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	isFirst := !s.isSilent
	s.isSilent = true
	return isFirst
}

// fillQueue makes new connections hang: the system drops them while the accept queue is full.
func (s *sockets) fillQueue() {
	listener, ok := s.Listener.(*net.TCPListener)
	if !ok {
		return
	}
	raw, err := listener.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) { _ = syscall.Listen(int(descriptor), 0) })
	for hung := 0; hung < fillChecks; {
		filler, err := net.DialTimeout("tcp", s.Addr().String(), fillTimeout)
		s.mutex.Lock()
		if err == nil {
			s.fillers = append(s.fillers, filler)
			hung = 0
		} else if s.hasStopped {
			hung++
		}
		s.mutex.Unlock()
		select {
		case <-s.closed:
			return
		default:
		}
	}
}

// acceptedConn is a connection to a runner that may fall silent.
type acceptedConn struct {
	net.Conn
	sockets *sockets
	// mark is that of the process that accepted it; nil for the Mark of the runner.
	mark *string
}

// Read implements net.Conn. It waits for the end of a silent runner.
func (c *acceptedConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	select {
	case <-c.sockets.silent:
		<-c.sockets.closed
		return 0, net.ErrClosed
	default:
		return count, err
	}
}

// Write implements net.Conn. What a silent runner writes is lost.
func (c *acceptedConn) Write(buffer []byte) (int, error) {
	select {
	case <-c.sockets.silent:
		return len(buffer), nil
	default:
		return c.Conn.Write(buffer)
	}
}

// Close implements net.Conn. A silent runner keeps its connections until it is closed.
func (c *acceptedConn) Close() error {
	select {
	case <-c.sockets.silent:
		go func() {
			<-c.sockets.closed
			_ = c.Conn.Close()
		}()
		return nil
	default:
	}
	c.sockets.mutex.Lock()
	delete(c.sockets.accepted, c)
	c.sockets.mutex.Unlock()
	return c.Conn.Close()
}
