package harness

import (
	"io"
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Forwarder passes the bytes of TCP connections on to one server, whatever the
// protocol, and can make those that are open go silent for good while new ones
// work, as a broken path below TCP does. It is safe for concurrent use.
type Forwarder struct {
	listener net.Listener
	target   string

	mutex  sync.Mutex
	open   []*forwarded
	closed bool
}

// StartForwarder listens on a free loopback port until the test ends.
func StartForwarder(t testing.TB, target string) *Forwarder {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &Forwarder{listener: listener, target: target}
	go f.accept()
	t.Cleanup(f.close)
	return f
}

// Address returns host:port for the clients.
func (f *Forwarder) Address() string { return f.listener.Addr().String() }

// SilenceOpen has the connections that are open swallow everything from now on.
// Neither end is told.
func (f *Forwarder) SilenceOpen() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, connection := range f.open {
		connection.silence()
	}
}

// Opened returns how many connections there have been.
func (f *Forwarder) Opened() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.open)
}

func (f *Forwarder) accept() {
	for {
		client, err := f.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.DialTimeout("tcp", f.target, Generous)
		if err != nil {
			_ = client.Close()
			continue
		}
		f.add(&forwarded{client: client, server: server})
	}
}

// add begins to forward, unless the forwarder is closed.
func (f *Forwarder) add(connection *forwarded) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.closed {
		connection.close()
		return
	}
	f.open = append(f.open, connection)
	go connection.pass(connection.client, connection.server)
	go connection.pass(connection.server, connection.client)
}

func (f *Forwarder) close() {
	_ = f.listener.Close()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.closed = true
	for _, connection := range f.open {
		connection.close()
	}
}

// forwarded is one connection.
type forwarded struct {
	client, server net.Conn

	mutex    sync.Mutex
	isSilent bool
}

func (c *forwarded) silence() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.isSilent = true
}

// pass forwards one direction. A silent connection goes on reading, so that what
// is sent counts as taken, and keeps an end of either side to itself.
func (c *forwarded) pass(from, to net.Conn) {
	_, _ = io.Copy(silenceable{c, to}, from)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.isSilent {
		c.close()
	}
}

func (c *forwarded) close() {
	_ = c.client.Close()
	_ = c.server.Close()
}

// silenceable writes to one side of a connection as long as that isn't silent.
type silenceable struct {
	connection *forwarded
	to         net.Conn
}

// Write implements io.Writer.
func (s silenceable) Write(piece []byte) (int, error) {
	s.connection.mutex.Lock()
	silent := s.connection.isSilent
	s.connection.mutex.Unlock()
	if silent {
		return len(piece), nil
	}
	return s.to.Write(piece)
}
