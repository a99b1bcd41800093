package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/marblering/marblering/transport/socket"
)

// Buffer sizes of a connection, large enough for most message heads.
const (
	writeBufferBytes = 8 << 10
	readBufferBytes  = 8 << 10
)

// keepAliveFraction is the part of the Keep-Alive timeout announced by a backend after
// which its connection isn't reused, because the backend might close it while a
// request is in transit.
const keepAliveFraction = 0.6

// connection is a connection to a backend instance. Only one exchange uses it at a
// time.
type connection struct {
	socket *net.TCPConn
	reader *bufio.Reader
	writer *bufio.Writer
	head   headLimit
	// life is the process that it leads to, opened when it was opened.
	life   *life
	opened time.Time
	// isIdentified is set once the process on it is known to be the listed one, or to tell no
	// start.
	isIdentified bool
	// lastID is the id of the last request on it.
	lastID string
	// isClosed is set once this process has closed it.
	isClosed atomic.Bool
	// inUse is set while an exchange or a probe uses it.
	inUse atomic.Bool
	// closedAt is when the peer was first seen to have closed it, lastUsed when an exchange
	// last ended on it or it was opened, in nanoseconds since the Unix epoch; zero for never.
	closedAt, lastUsed atomic.Int64
	// idleSince is when the last exchange ended.
	// idleLimit is how long after idleSince the connection may be reused.
	idleSince time.Time
	idleLimit time.Duration
	// firstReceived is when bytes were first received, in nanoseconds since the Unix epoch;
	// zero for never.
	firstReceived atomic.Int64
	// lastReceived is when bytes were last received or the last exchange began,
	// whichever is later, in nanoseconds since the Unix epoch.
	lastReceived atomic.Int64
}

// dial opens a connection to the process.
func (c *Client) dial(ctx context.Context, to endpoint) (*connection, error) {
	c.dials.Add(1)
	dialer := socket.KeepAliveDialer(c.settings.DialTimeout, c.settings.UnacknowledgedTimeout)
	opened, err := dialer.DialContext(ctx, "tcp", to.address)
	if err != nil {
		return nil, err
	}
	created := &connection{
		socket:    opened.(*net.TCPConn),
		writer:    bufio.NewWriterSize(opened, writeBufferBytes),
		idleLimit: c.settings.IdleTimeout,
		life:      c.lives.of(to),
		opened:    c.now(),
	}
	created.reader = bufio.NewReaderSize(receiveNotifier{created, c}, readBufferBytes)
	created.lastUsed.Store(created.opened.UnixNano())
	created.inUse.Store(true)
	created.life.add(created)
	return created, nil
}

// receiveNotifier reads from a connection within the limit of a head. It notes each read that
// returned bytes, and the end that the peer has made of the connection.
type receiveNotifier struct {
	connection *connection
	client     *Client
}

// Read implements io.Reader.
func (r receiveNotifier) Read(buffer []byte) (int, error) {
	buffer, err := r.connection.head.left(buffer)
	if err != nil {
		return 0, err
	}
	count, err := r.connection.socket.Read(buffer)
	r.connection.head.read += count
	if count > 0 {
		r.client.noteReceived(r.connection)
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !r.connection.isClosed.Load() {
		r.connection.noteBroken(r.client.now())
	}
	return count, err
}

// isReusable reports whether an idle connection can take another request: it is below its
// idle limit, and the backend has neither closed it nor sent unsolicited bytes.
func (c *connection) isReusable(now time.Time) bool {
	if now.Sub(c.idleSince) >= c.idleLimit || c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.socket.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	var peeked [1]byte
	err = raw.Read(func(descriptor uintptr) bool {
		_, _, failure := syscall.Recvfrom(int(descriptor), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = failure == syscall.EAGAIN
		return true
	})
	return err == nil && reusable
}

// limitIdleTime sets the connection's idle limit to a fraction of the timeout in the
// backend's Keep-Alive header, at most settings.IdleTimeout. Without such a timeout the
// limit stays.
func (c *connection) limitIdleTime(header http.Header, settings Settings) {
	for _, item := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		seconds, err := strconv.Atoi(value)
		if name != "timeout" || err != nil {
			continue
		}
		usable := time.Duration(keepAliveFraction * float64(seconds) * float64(time.Second))
		c.idleLimit = min(settings.IdleTimeout, usable)
	}
}

func (c *connection) close() {
	c.isClosed.Store(true)
	c.life.remove(c)
	_ = c.socket.Close()
}
