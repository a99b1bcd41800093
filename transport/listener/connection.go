package listener

import (
	"net"
	"sync"
	"time"
)

// phase is what a connection is used for.
type phase int

const (
	// waiting connections have received nothing of their next request.
	waiting phase = iota
	// reading connections have received a part of a request's header.
	reading
	// serving connections have a request whose response isn't complete.
	serving
	// multiplexed connections carry HTTP/2, which has its own way to end.
	multiplexed
)

// Timeouts limit how long connections wait for clients; zero means no limit.
type Timeouts struct {
	// Header limits the time to receive the header of a request.
	Header time.Duration
	// Idle limits the time between two requests.
	Idle time.Duration
}

const (
	// stopHeaderTimeout limits the time for the rest of a header after the listener has
	// stopped accepting.
	stopHeaderTimeout = 500 * time.Millisecond
	// http2Preface is what clients of HTTP/2 send first (RFC 9113, section 3.4).
	http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
)

// expired is a read deadline in the past.
var expired = time.Unix(1, 0)

// connection is a client's connection. While it has no request, its read deadline is that of
// its phase, and the server's own is ignored: the timeouts of an http.Server can't change
// while it serves, and it can't close a connection unless a request has arrived.
type connection struct {
	net.Conn
	owner *Listener

	mutex sync.Mutex
	phase phase
	// since is when the phase began, retired when the connection was.
	since, retired time.Time
	// applied is the read deadline that was set last.
	applied time.Time
	// isUsed is set after the first response.
	isUsed bool
	// isUnhandled is set from the first bytes of a request until its handler begins.
	isUnhandled bool
	// received is what was received so far of a preface of HTTP/2.
	received []byte
	// responseEnd is how far the response has come, if nothing but the end of the connection
	// may end it.
	responseEnd responseEnd
	// isCut is set once a write has failed or the server was closed.
	isCut bool
}

// Read implements net.Conn.
func (c *connection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if count > 0 {
		c.noteReceived(buffer[:count])
	}
	return count, err
}

// noteReceived begins the time for the header with the first bytes of a request. A retired
// connection that has received any serves this request first.
func (c *connection) noteReceived(data []byte) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.phase == waiting {
		c.isUnhandled = true
		c.begin(reading)
	}
	if c.owner.servesHTTP2 && c.phase == reading && !c.isUsed {
		c.detectHTTP2(data)
	}
}

// detectHTTP2 hands a connection of HTTP/2 over to the server. The mutex must be held.
func (c *connection) detectHTTP2(data []byte) {
	c.received = append(c.received, data[:min(len(data), len(http2Preface)-len(c.received))]...)
	if string(c.received) != http2Preface {
		return
	}
	c.isUnhandled = false
	c.begin(multiplexed)
	c.owner.remove(c)
}

// noteHeader ends the time for the header. Handlers set their own deadlines.
func (c *connection) noteHeader() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.begin(serving)
}

// noteHandler begins the handling of a request.
func (c *connection) noteHandler() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.isUnhandled = false
}

// noteResponse ends a request whose response is complete.
func (c *connection) noteResponse() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.isUsed = true
	c.clearReset()
	c.begin(waiting)
}

// retire closes the connection once it has no request: at once if it is waiting.
func (c *connection) retire() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.retired = time.Now()
	c.applyDeadline()
}

// extendTimeouts applies the listener's timeouts to a connection that waits where they are
// longer than before. Shorter ones apply from the next request on, since the client may
// rest by those that it knows.
func (c *connection) extendTimeouts() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.phase != waiting || earlier(c.deadline(), c.applied) != c.applied {
		return
	}
	c.applyDeadline()
}

// begin changes the phase. The mutex must be held.
func (c *connection) begin(next phase) {
	if c.phase == multiplexed {
		return
	}
	c.phase, c.since = next, time.Now()
	if c.leavesDeadlines() {
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
	c.applyDeadline()
}

// leavesDeadlines reports whether read deadlines are left to the server and the handler. The
// mutex must be held.
func (c *connection) leavesDeadlines() bool { return c.phase == serving || c.phase == multiplexed }

// applyDeadline sets the read deadline of the phase. The mutex must be held.
func (c *connection) applyDeadline() {
	if c.leavesDeadlines() {
		return
	}
	c.applied = c.deadline()
	_ = c.Conn.SetReadDeadline(c.applied)
}

// deadline returns the read deadline of the phase; zero for none. An expired one ends a
// waiting connection without reading what may have arrived, so that its client can tell
// that the request wasn't read. The mutex must be held.
func (c *connection) deadline() time.Time {
	timeouts := c.owner.timeouts.Load()
	switch {
	case c.phase == waiting && !c.retired.IsZero():
		return expired
	case c.phase == waiting && c.isUsed:
		return after(c.since, timeouts.Idle)
	case c.phase == reading && !c.retired.IsZero():
		return earlier(after(c.since, timeouts.Header), c.retired.Add(stopHeaderTimeout))
	}
	return after(c.since, timeouts.Header)
}

// after returns when a timeout ends, or zero if there is none.
func after(since time.Time, timeout time.Duration) time.Time {
	if timeout <= 0 {
		return time.Time{}
	}
	return since.Add(timeout)
}

// earlier returns the earlier of two deadlines; a zero one is none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// SetReadDeadline implements net.Conn. It sets the deadline only while there is a request.
func (c *connection) SetReadDeadline(deadline time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.leavesDeadlines() {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Write implements net.Conn.
func (c *connection) Write(data []byte) (int, error) {
	count, err := c.Conn.Write(data)
	if err != nil {
		c.noteFailedWrite()
	}
	return count, err
}

// noteFailedWrite notes that the response can't become whole.
func (c *connection) noteFailedWrite() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.isCut = true
}

// CloseWrite closes the sending side, if the connection can. The server does so before it
// closes a connection with unread bytes, so that the client receives the response.
func (c *connection) CloseWrite() error {
	if !c.endOrderly() {
		return c.Conn.Close()
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.owner.remove(c)
	c.mutex.Lock()
	isUnhandled := c.isUnhandled
	c.isUnhandled = false
	c.mutex.Unlock()
	if isUnhandled {
		c.owner.reportUnhandled(c)
	}
	c.endOrderly()
	return c.Conn.Close()
}
