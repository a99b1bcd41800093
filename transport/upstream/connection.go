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

// Buffers of a connection, in bytes. Chosen, not measured: most heads fit.
const (
	writeBufferBytes = 8 << 10
	readBufferBytes  = 8 << 10
)

// usableIdle is the part of the idle time that a back end announces after which its
// connection isn't used any more: the back end may close it while a request is on its
// way. Chosen, not measured.
const usableIdle = 0.6

// connection is one connection to an instance. One exchange uses it at a time.
type connection struct {
	socket *net.TCPConn
	reader *bufio.Reader
	writer *bufio.Writer
	// idleSince is when the last exchange ended, idleLimit how long after it the
	// connection may still be used.
	idleSince time.Time
	idleLimit time.Duration
	// heard is when bytes last came, or the last exchange began, in nanoseconds
	// since the Unix epoch.
	heard atomic.Int64
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
		idleLimit: settings.IdleTimeout,
	}
	made.reader = bufio.NewReaderSize(watchedReader{made, heard}, readBufferBytes)
	return made, nil
}

// watchedReader reads from a connection and calls heard when any bytes came.
type watchedReader struct {
	connection *connection
	heard      func(*connection)
}

// Read implements io.Reader.
func (r watchedReader) Read(buffer []byte) (int, error) {
	count, err := r.connection.socket.Read(buffer)
	if count > 0 {
		r.heard(r.connection)
	}
	return count, err
}

// isFresh tells whether an idle connection can take another request: the back end has
// neither closed it nor sent bytes that nobody asked for.
func (c *connection) isFresh(now time.Time) bool {
	if now.Sub(c.idleSince) >= c.idleLimit || c.reader.Buffered() > 0 {
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

// noteKeepAlive notes the time after which the back end closes an idle connection, where
// its Keep-Alive header names one in seconds.
func (c *connection) noteKeepAlive(header http.Header, settings Settings) {
	for _, item := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		seconds, err := strconv.Atoi(value)
		if name != "timeout" || err != nil {
			continue
		}
		usable := time.Duration(usableIdle * float64(seconds) * float64(time.Second))
		c.idleLimit = min(settings.IdleTimeout, usable)
	}
}

func (c *connection) close() { _ = c.socket.Close() }
