package upstream

import (
	"context"
	"io"
	"net/http"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// identityTimeout bounds the question for the start of a process before a request is sent to it.
	identityTimeout = 300 * time.Millisecond
	// maxIdentityBytes bounds the answer.
	maxIdentityBytes = 64 << 10
)

// Identity tells how to ask a process when it started, and to which instance it belongs.
type Identity struct {
	// Target is the request target of the question for the start, a GET.
	Target string
	// Started returns the start time in the body of the answer; ok is false without one.
	Started func(body []byte) (started time.Time, ok bool)
	// Misdirected returns the fields of a request that no instance runs, since it is for none: each
	// refuses it, and most name themselves then. Nil if there is no such request.
	Misdirected func() http.Header
	// InstanceHeader is the field of an answer with the ID of the instance that gives it.
	InstanceHeader string
}

// isOtherProcess reports whether the connection leads to another process of the instance than
// the one that is listed. It is asked once on each connection: a process that has stopped listening may
// serve others, while the next one has the address. Without a known start time instances have a new ID
// at each start.
func (c *Client) isOtherProcess(ctx context.Context, to endpoint, used *connection) (bool, error) {
	if c.settings.Identity == nil || to.started == 0 || used.isIdentified {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, identityTimeout)
	defer cancel()
	started, known, err := c.askStart(ctx, to, used)
	if err != nil {
		return false, err
	}
	if known && started.UnixNano() != to.started {
		return true, nil
	}
	used.isIdentified = true
	return false, nil
}

// askStart asks the process on the connection when it started. The error is errNoIdentity if the
// answer may be a late one to a request before: only one that tells a start is known not to be, or
// any that comes first on a connection.
func (c *Client) askStart(ctx context.Context, to endpoint, used *connection) (started time.Time, known bool, err error) {
	isFirstUse := used.firstReceived.Load() == 0
	answered, err := c.ask(ctx, to, used, c.settings.Identity.Target, nil)
	if err != nil {
		return time.Time{}, false, err
	}
	if !answered.isReusable || c.isOfRequest(answered.response) {
		return time.Time{}, false, errNoIdentity
	}
	if answered.response.StatusCode == http.StatusOK {
		started, known = c.settings.Identity.Started(answered.body)
	}
	if !known && !isFirstUse {
		return time.Time{}, false, errNoIdentity
	}
	return started, known, nil
}

// isOfRequest reports whether a response isn't to the question: it names a request, or is followed
// by another one.
func (c *Client) isOfRequest(response *http.Response) bool {
	return response.Header.Get(c.settings.IDHeader) != "" || isInterim(response.StatusCode)
}

// askInstance asks the process on a new connection for the ID of its instance. It is empty if the process
// doesn't tell it.
func (c *Client) askInstance(ctx context.Context, to endpoint, used *connection) (instance string, isReusable bool, err error) {
	identity := c.settings.Identity
	if identity.Misdirected == nil {
		return "", true, nil
	}
	answered, err := c.ask(ctx, to, used, "/", identity.Misdirected())
	if err != nil {
		return "", false, err
	}
	return answered.response.Header.Get(identity.InstanceHeader), answered.isReusable, nil
}

// identityAnswer is an answer to a question for the identity of a process.
type identityAnswer struct {
	response *http.Response
	body     []byte
	// isReusable is set if the connection can take another request.
	isReusable bool
}

// ask asks until the deadline of the context.
func (c *Client) ask(ctx context.Context, to endpoint, used *connection, target string, header http.Header) (identityAnswer, error) {
	deadline, _ := ctx.Deadline()
	_ = used.socket.SetDeadline(deadline)
	defer func() { _ = used.socket.SetDeadline(time.Time{}) }()
	question := &Request{Method: http.MethodGet, Target: target, Host: to.address, Header: header}
	if err := question.write(used.writer); err != nil {
		return identityAnswer{}, err
	}
	used.head.begin(used.reader.Buffered())
	response, err := readHeadOf(used.reader, http.MethodGet)
	used.head.end()
	if err != nil {
		return identityAnswer{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxIdentityBytes+1))
	isReusable := len(body) <= maxIdentityBytes && !response.Close && used.reader.Buffered() == 0
	return identityAnswer{response: response, body: body, isReusable: isReusable}, err
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
