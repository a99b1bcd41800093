package partition

import (
	"io"
	"net"
	"sync"
	"time"
)

// pieceSize is the most that is passed on at once, in bytes.
const pieceSize = 32 << 10

// link is one connection through a proxy.
type link struct {
	proxy  *Proxy
	source string
	client net.Conn
	server net.Conn
	// shadow gets a copy of the requests, where these are sent twice.
	shadow net.Conn
	once   sync.Once
	broken chan struct{}

	mutex sync.Mutex
	// holed is set once something was lost: what comes later must not be taken
	// for what comes next.
	holed bool
}

// run carries the connection to its end.
func (l *link) run() {
	defer l.breakOff()
	if !l.connect() {
		return
	}
	var pumps sync.WaitGroup
	pumps.Go(func() { l.pump(l.client, l.server, true) })
	pumps.Go(func() { l.pump(l.server, l.client, false) })
	pumps.Wait()
	l.finish()
}

// finish closes a connection that both ends have ended, after what is still on
// its way.
func (l *link) finish() {
	l.once.Do(func() {
		close(l.broken)
		_ = l.client.Close()
		_ = l.server.Close()
	})
}

// connect opens the connection to the target once the fault allows it.
func (l *link) connect() bool {
	for {
		fault, target, changed := l.proxy.state(l.source)
		if fault.Kind == Cut {
			return false
		}
		if target != "" && fault.Kind != Stall && fault.Kind != HalfOpen {
			return l.dial(target, fault.Kind == Duplicate)
		}
		select {
		case <-changed:
		case <-l.broken:
			return false
		}
	}
}

func (l *link) dial(target string, twice bool) bool {
	server, err := net.Dial("tcp", target)
	if err != nil {
		return false
	}
	l.mutex.Lock()
	l.server = server
	l.mutex.Unlock()
	if twice {
		l.dialShadow(target)
	}
	select {
	case <-l.broken:
		_ = server.Close()
		return false
	default:
		return true
	}
}

func (l *link) dialShadow(target string) {
	shadow, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	l.shadow = shadow
	go func() {
		_, _ = io.Copy(io.Discard, shadow)
		_ = shadow.Close()
	}()
}

// pump passes bytes on in one direction until either end is closed.
func (l *link) pump(from, to net.Conn, request bool) {
	piece := make([]byte, pieceSize)
	for {
		count, err := from.Read(piece)
		if count > 0 && !l.pass(piece[:count], to, request) {
			l.breakOff()
			return
		}
		if err != nil {
			l.end(to, request)
			return
		}
	}
}

// end passes the end of one direction on.
func (l *link) end(to net.Conn, request bool) {
	if !l.pass(nil, to, request) {
		l.breakOff()
		return
	}
	if closer, ok := to.(*net.TCPConn); ok {
		_ = closer.CloseWrite()
	}
	if request && l.shadow != nil {
		_ = l.shadow.(*net.TCPConn).CloseWrite()
	}
}

// pass delivers a piece as the fault says; false breaks the connection.
func (l *link) pass(piece []byte, to net.Conn, request bool) bool {
	for {
		fault, _, changed := l.proxy.state(l.source)
		switch {
		case fault.Kind == Cut, fault.Kind != HalfOpen && l.isHoled():
			return false
		case fault.Kind == DropAnswers && !request:
			return false
		case fault.Kind == HalfOpen:
			l.lose()
			if len(piece) > 0 {
				return true
			}
		case fault.Kind == Slow:
			return l.sleep(fault.Delay) && l.deliver(piece, to, request)
		case fault.Kind == Stall, fault.Kind == HoldAnswers && !request:
		default:
			return l.deliver(piece, to, request)
		}
		select {
		case <-changed:
		case <-l.broken:
			return false
		}
	}
}

func (l *link) deliver(piece []byte, to net.Conn, request bool) bool {
	if request && l.shadow != nil {
		// The copy is lost where its connection is; the request itself isn't.
		_, _ = l.shadow.Write(piece)
	}
	_, err := to.Write(piece)
	return err == nil
}

func (l *link) sleep(length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.broken:
		return false
	}
}

func (l *link) lose() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.holed = true
}

func (l *link) isHoled() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.holed
}

// breakOff resets both connections.
func (l *link) breakOff() {
	l.once.Do(func() {
		close(l.broken)
		reset(l.client)
		l.mutex.Lock()
		defer l.mutex.Unlock()
		if l.server != nil {
			reset(l.server)
		}
	})
}

// reset closes the connection with RST, as a cut or a dead process does.
func reset(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}
