package listener

import "net/http"

// responseEnd is how far a response has come that the end of the connection may end.
type responseEnd int

const (
	// marked responses tell their end, or there is none.
	marked responseEnd = iota
	// unfinished responses have a handler that hasn't returned, or that panicked.
	unfinished
	// finished responses lack at most what the server has buffered.
	finished
)

// The options of net.TCPConn.SetLinger.
const (
	lingerReset   = 0
	lingerDefault = -1
)

// lingerer is a connection that can be told to reset when it is closed.
type lingerer interface{ SetLinger(seconds int) error }

// beginResponse notes that a handler responds to the request. The end of the connection ends some
// responses to HTTP/1.0 (RFC 9112, section 6.3). Until such a response is whole, the connection
// resets when it is closed, also by the system after the process was killed.
func (c *connection) beginResponse(request *http.Request) {
	if request.ProtoAtLeast(1, 1) {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.responseEnd = unfinished
	c.setLinger(lingerReset)
}

// noteReturned notes that the handler has returned without a panic.
func (c *connection) noteReturned() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.responseEnd == unfinished {
		c.responseEnd = finished
	}
}

// noteAborted notes that the server is closed, whatever its connections still have to write.
func (c *connection) noteAborted() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.isCut = true
}

// endOrderly lets the connection end without a reset, and reports whether it does: after a whole
// response or without one.
func (c *connection) endOrderly() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.responseEnd == unfinished || c.responseEnd == finished && c.isCut {
		return false
	}
	c.clearReset()
	return true
}

// clearReset lets the connection end without a reset. The mutex must be held.
func (c *connection) clearReset() {
	if c.responseEnd == marked {
		return
	}
	c.responseEnd = marked
	c.setLinger(lingerDefault)
}

func (c *connection) setLinger(seconds int) {
	if socket, ok := c.Conn.(lingerer); ok {
		_ = socket.SetLinger(seconds)
	}
}
