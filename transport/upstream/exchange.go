package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// maxMismatchedResponses is how many responses to other requests are skipped on a
	// connection before the exchange fails.
	maxMismatchedResponses = 2
	// maxMismatchedBodyBytes is the size from which the body of a response to another
	// request isn't skipped and the exchange fails.
	maxMismatchedBodyBytes = 1 << 20
	// maxInlineBodyBytes is the largest request body that is sent before reading the
	// response. A larger body is sent concurrently, because the backend may respond
	// before it has read all of it.
	maxInlineBodyBytes = 4 << 10
)

// Response is a backend's response. Its body must be read to the end or closed.
type Response struct {
	// Status is the HTTP status code.
	Status int
	Header http.Header
	// HasID is set if the response repeats the request's ID. A response without an ID may
	// belong to another request.
	HasID bool
	// Framing tells how the end of the body is marked.
	Framing Framing
	// EndSettle is how long the process has to run on after the body if nothing but the end of its
	// connection marks the end of the body. It may be set until then.
	EndSettle time.Duration

	// closesConnection is set if the backend closes the connection after this response.
	closesConnection bool

	exchange *exchange
	body     io.ReadCloser
	limit    bodyLimit
	// timeLimit is the limit of LimitTime; empty if there is none.
	timeLimit Limit
	// endErr is what Read returns after the body; nil until then.
	endErr error
}

// exchange is a request and its response on a connection.
type exchange struct {
	// ctx is that of the request.
	ctx        context.Context
	client     *Client
	endpoint   endpoint
	connection *connection
	// deadline is that of the request's context; zero if there is none.
	deadline time.Time
	// written is closed once the request was sent or sending failed with writeErr.
	written  chan struct{}
	writeErr error
	// stopContextWatch keeps the request's context from closing the connection. It
	// returns false if the context has ended before.
	stopContextWatch func() bool
	// stall aborts the exchange if the backend's host becomes unreachable; nil if the
	// request isn't repeatable.
	stall *stallDetector
	// hasSkipped is set if responses to other requests were skipped.
	hasSkipped bool
	// once ends the exchange by either abandon or finish.
	once sync.Once
}

// Do sends the request and returns the head of its response. The context bounds the
// whole exchange including the response body. Every error is an *Error.
func (c *Client) Do(ctx context.Context, request *Request) (*Response, error) {
	to := endpointOf(request)
	opened, err := c.connectFor(ctx, to, request)
	if err != nil {
		return nil, &Error{Stage: StageDial, Cause: err}
	}
	if request.KeepsSpare {
		c.keepSpare(ctx, to)
		if opened, err = c.reconnect(ctx, to, request, opened); err != nil {
			return nil, &Error{Stage: StageDial, Cause: err}
		}
	}
	if request.ChecksProcess {
		if opened, err = c.checkProcess(ctx, to, request, opened); err != nil {
			return nil, &Error{Stage: StageDial, Cause: err}
		}
	}
	request.SentAt = c.now()
	opened.lastID = request.ID
	current := &exchange{ctx: ctx, client: c, endpoint: to, connection: opened, written: make(chan struct{})}
	current.stopContextWatch = context.AfterFunc(ctx, opened.close)
	current.deadline, _ = ctx.Deadline()
	_ = opened.socket.SetDeadline(current.deadline)
	opened.lastReceived.Store(c.now().UnixNano())
	if request.Repeatable && c.settings.StallTimeout > 0 {
		current.stall = startStallDetector(current)
	}
	answer, err := current.run(request)
	if err != nil {
		current.abandon()
		return nil, err
	}
	return answer, nil
}

func (e *exchange) run(request *Request) (*Response, error) {
	if len(request.Body) > maxInlineBodyBytes {
		go e.send(request)
	} else if e.send(request); e.writeErr != nil {
		return nil, &Error{Sent: true, Stage: StageWrite, Cause: e.stall.errorFor(e.writeErr)}
	}
	for range maxMismatchedResponses + 1 {
		answer, matches, err := e.receive(request)
		if err != nil {
			return nil, err
		}
		if matches {
			return answer, nil
		}
		e.hasSkipped = true
	}
	return nil, &Error{Sent: true, Stage: StageHead, Cause: errMismatchedResponses}
}

func (e *exchange) send(request *Request) {
	e.writeErr = request.write(e.connection.writer)
	close(e.written)
}

// receive reads the head of the next response. A response to another request is read to
// its end and discarded; matches is then false. One without an ID that follows it may be
// to another request as well.
func (e *exchange) receive(request *Request) (answer *Response, matches bool, err error) {
	response, err := e.readHead(request)
	if err != nil {
		return nil, false, &Error{Sent: true, Stage: StageHead, Cause: e.stall.errorFor(err)}
	}
	id := response.Header.Get(e.client.settings.IDHeader)
	if id != "" && id != request.ID {
		if _, err := io.CopyN(io.Discard, response.Body, maxMismatchedBodyBytes); err != io.EOF {
			return nil, false, &Error{Sent: true, Stage: StageBody, Cause: errMismatchedResponses}
		}
		return nil, false, nil
	}
	if id == "" && e.hasSkipped {
		return nil, false, &Error{Sent: true, Stage: StageHead, Cause: errUnidentifiedResponse}
	}
	limit := bodyLimit{max: e.client.settings.MaxBodyBytes}
	if request.Method != http.MethodHead && limit.isExceededBy(response.ContentLength) {
		exceeded := &LimitError{Limit: LimitBodyBytes, Bytes: e.connection.head.read}
		return nil, false, &Error{Sent: true, Stage: StageBody, Cause: exceeded}
	}
	e.connection.limitIdleTime(response.Header, e.client.settings)
	framing := framingOf(response)
	return &Response{
		Status: response.StatusCode, Header: response.Header,
		HasID: id != "", Framing: framing,
		closesConnection: response.Close || framing == FramingConnection,
		exchange:         e, body: response.Body, limit: limit,
	}, true, nil
}

// readHead reads the head of the next final response and skips interim ones (1xx).
func (e *exchange) readHead(request *Request) (*http.Response, error) {
	e.connection.head.begin(e.connection.reader.Buffered())
	defer e.connection.head.end()
	for range maxInterimResponses + 1 {
		response, err := e.readOneHead(request)
		if err != nil {
			return nil, err
		}
		if !isInterim(response.StatusCode) {
			return response, nil
		}
	}
	return nil, &LimitError{Limit: LimitInterimResponses, Bytes: e.connection.head.read}
}

// readOneHead reads the head of the next response.
func (e *exchange) readOneHead(request *Request) (*http.Response, error) {
	isLimited := e.limitHeadTime()
	response, err := readHeadOf(e.connection.reader, request.Method)
	if isLimited {
		err = e.endHeadTime(err)
	}
	return response, err
}

// abandon closes the connection, which tells the backend that the client is gone.
func (e *exchange) abandon() {
	e.once.Do(func() {
		e.stall.stop()
		e.stopContextWatch()
		e.connection.close()
	})
}

// finish returns the connection to the pool if it is in a known state, and closes it
// otherwise.
func (e *exchange) finish(closesConnection bool) {
	e.once.Do(func() {
		e.stall.stop()
		stillOpen := e.stopContextWatch()
		if closesConnection || e.hasSkipped || !stillOpen || !e.wasWritten() || e.connection.reader.Buffered() > 0 {
			e.connection.close()
			return
		}
		_ = e.connection.socket.SetDeadline(time.Time{})
		e.client.putIdle(e.endpoint, e.connection)
	})
}

func (e *exchange) wasWritten() bool {
	select {
	case <-e.written:
		return e.writeErr == nil
	default:
		return false
	}
}

// Read reads the body. It returns io.EOF only after the whole body, and a *LimitError in place of
// bytes beyond MaxBodyBytes. Where only the end of the connection marks the end of the body, it
// returns ErrProcessEnded if the process has ended as well, up to EndSettle later. A process that
// goes on may have broken the body off all the same.
func (a *Response) Read(buffer []byte) (int, error) {
	if a.endErr != nil {
		return 0, a.endErr
	}
	count, err := a.body.Read(buffer)
	if allowed, exceeded := a.limit.add(count); exceeded != nil {
		return allowed, exceeded
	}
	if err == io.EOF {
		a.endErr = a.end()
		return count, a.endErr
	}
	if a.timeLimit != "" && errors.Is(err, os.ErrDeadlineExceeded) {
		return count, &LimitError{Limit: a.timeLimit, Bytes: int(a.limit.read)}
	}
	return count, a.exchange.stall.errorFor(err)
}

// LimitTime ends reads of the body at the time with a *LimitError, unless the deadline of the exchange
// comes before.
func (a *Response) LimitTime(until time.Time, limit Limit) {
	deadline := a.exchange.deadline
	if !deadline.IsZero() && deadline.Before(until) {
		a.EndTimeLimit()
		return
	}
	a.timeLimit = limit
	_ = a.exchange.connection.socket.SetReadDeadline(until)
}

// EndTimeLimit ends the limit of LimitTime.
func (a *Response) EndTimeLimit() {
	if a.timeLimit == "" {
		return
	}
	a.timeLimit = ""
	_ = a.exchange.connection.socket.SetReadDeadline(a.exchange.deadline)
}

// end ends the exchange after the body, and returns io.EOF unless the body may lack its rest.
func (a *Response) end() error {
	a.EndTimeLimit()
	if a.Framing == FramingConnection {
		if err := a.exchange.confirmEnd(a.EndSettle); err != nil {
			a.exchange.abandon()
			return err
		}
	}
	a.exchange.finish(a.closesConnection)
	return io.EOF
}

// CloseBody discards the rest of the response. Unless the body was read to its end, it
// closes the connection, which tells the backend that the client is gone.
func (a *Response) CloseBody() { a.exchange.abandon() }
