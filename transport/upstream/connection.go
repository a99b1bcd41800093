package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/marblering/marblering/transport/socket"
)

const (
	writeBufferBytes = 8 << 10
	readBufferBytes  = 8 << 10
)

// connection is one connection to an instance. One exchange uses it at a time.
type connection struct {
	socket   *net.TCPConn
	reader   *bufio.Reader
	writer   *bufio.Writer
	restedAt time.Time
	// heard is when bytes last came, or the last exchange began, in nanoseconds
	// of the Unix epoch.
	heard atomic.Int64
	// restLimit is how long the back end lets the connection rest.
	restLimit time.Duration
}

func dial(ctx context.Context, address string, settings Settings, heard func(*connection)) (*connection, error) {
	dialer := socket.ProbingDialer(settings.DialTimeout, settings.UnacknowledgedTimeout)
	opened, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	made := &connection{
		socket:    opened.(*net.TCPConn),
		writer:    bufio.NewWriterSize(opened, writeBufferBytes),
		restLimit: settings.IdleTimeout,
	}
	made.reader = bufio.NewReaderSize(hearing{made, heard}, readBufferBytes)
	return made, nil
}

// hearing reads from a connection and tells when anything came.
type hearing struct {
	connection *connection
	heard      func(*connection)
}

// Read implements io.Reader.
func (h hearing) Read(buffer []byte) (int, error) {
	count, err := h.connection.socket.Read(buffer)
	if count > 0 {
		h.heard(h.connection)
	}
	return count, err
}

// isFresh tells whether a connection that rested can take another request: the
// back end has neither closed it nor sent bytes that nobody asked for.
func (c *connection) isFresh(now time.Time) bool {
	if now.Sub(c.restedAt) >= c.restLimit || c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.socket.SyscallConn()
	if err != nil {
		return false
	}
	fresh := false
	var peeked [1]byte
	err = raw.Read(func(descriptor uintptr) bool {
		_, _, failure := syscall.Recvfrom(int(descriptor), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		fresh = failure == syscall.EAGAIN
		return true
	})
	return err == nil && fresh
}

// noteKeepAlive takes over the time after which the back end closes a resting
// connection. A part of it is left for the way.
func (c *connection) noteKeepAlive(header http.Header, settings Settings) {
	const usablePart = 0.6
	for _, item := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		seconds, err := strconv.Atoi(value)
		if name != "timeout" || err != nil {
			continue
		}
		told := time.Duration(usablePart * float64(seconds) * float64(time.Second))
		c.restLimit = min(settings.IdleTimeout, told)
	}
}

func (c *connection) close() { _ = c.socket.Close() }
