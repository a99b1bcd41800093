package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// identityTimeout bounds the question for the start of a process.
	identityTimeout = 300 * time.Millisecond
	// maxIdentityBytes bounds the answer.
	maxIdentityBytes = 64 << 10
)

// Identity tells how to ask a process when it started.
type Identity struct {
	// Target is the request target of the question, a GET.
	Target string
	// Started returns the start time in the body of the answer; ok is false without one.
	Started func(body []byte) (started time.Time, ok bool)
}

// isOtherProcess reports whether the connection leads to another process of the instance than
// the one that is listed. It is asked once on a connection, unless an older one is open whose
// process is known. Without a known start time instances have a new ID at each start.
func (c *Client) isOtherProcess(ctx context.Context, to endpoint, used *connection) (bool, error) {
	if c.settings.Identity == nil || to.started == 0 || used.isIdentified || used.life.hasIdentified() {
		return false, nil
	}
	started, known, err := c.askStart(ctx, to, used)
	if err != nil {
		return false, err
	}
	if known && started.UnixNano() != to.started {
		return true, nil
	}
	used.isIdentified = true
	used.life.noteIdentified(used)
	return false, nil
}

// askStart asks the process on the connection when it started. The error is errNoIdentity if the
// answer may be a late one to a request before: only one that tells a start is known not to be, or
// any that comes first on a connection.
func (c *Client) askStart(ctx context.Context, to endpoint, used *connection) (started time.Time, known bool, err error) {
	deadline := c.now().Add(identityTimeout)
	if end, ok := ctx.Deadline(); ok && end.Before(deadline) {
		deadline = end
	}
	isFirstUse := used.firstReceived.Load() == 0
	_ = used.socket.SetDeadline(deadline)
	defer func() { _ = used.socket.SetDeadline(time.Time{}) }()
	if _, err := fmt.Fprintf(used.socket, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", c.settings.Identity.Target, to.address); err != nil {
		return time.Time{}, false, err
	}
	used.head.begin(used.reader.Buffered())
	response, err := http.ReadResponse(used.reader, &http.Request{Method: http.MethodGet})
	used.head.end()
	if err != nil {
		return time.Time{}, false, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxIdentityBytes+1))
	switch {
	case err != nil:
		return time.Time{}, false, err
	case len(body) > maxIdentityBytes || response.Close || c.isOfRequest(response) || used.reader.Buffered() > 0:
		return time.Time{}, false, errNoIdentity
	case response.StatusCode == http.StatusOK:
		started, known = c.settings.Identity.Started(body)
	}
	if !known && !isFirstUse {
		return time.Time{}, false, errNoIdentity
	}
	return started, known, nil
}

// isOfRequest reports whether a response isn't to the question: it names a request, or is followed
// by another one.
func (c *Client) isOfRequest(response *http.Response) bool {
	return response.Header.Get(c.settings.IDHeader) != "" || response.StatusCode < http.StatusOK
}

// hasIdentified reports whether a connection is open whose process is the listed one. Others that
// are open lead to the same process, since one process at a time has the address.
func (l *life) hasIdentified() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for candidate := range l.identified {
		if candidate.isEstablished() {
			return true
		}
	}
	return false
}

// isEstablished reports whether neither side has ended the connection, whatever is left to read
// from it.
func (c *connection) isEstablished() bool {
	raw, err := c.socket.SyscallConn()
	if err != nil {
		return false
	}
	established := false
	err = raw.Control(func(descriptor uintptr) {
		info, failure := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		established = failure == nil && info.State == unix.BPF_TCP_ESTABLISHED
	})
	return err == nil && established
}

func (l *life) noteIdentified(used *connection) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, isOpen := l.open[used]; isOpen {
		l.identified[used] = struct{}{}
	}
}
