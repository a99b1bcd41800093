package upstream

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"
)

// Chosen, not measured.
const (
	// maxForeignAnswers is how many answers to other requests are skipped on a
	// connection before it is given up.
	maxForeignAnswers = 2
	// maxForeignBytes bounds the body of a skipped answer, in bytes.
	maxForeignBytes = 1 << 20
	// inlineBody is the largest body, in bytes, that is written before the answer is
	// read. A longer one is written while the answer is read: the back end may answer
	// before it has read all of it.
	inlineBody = 4 << 10
)

// Answer is a back end's answer. Its body must be read to its end or closed.
type Answer struct {
	// Status is the code of HTTP.
	Status int
	Header http.Header
	// Named tells that the answer repeats the request's id. One without an id may belong
	// to another request.
	Named bool

	// closing tells that the back end closes the connection after this answer.
	closing bool

	exchange *exchange
	body     io.ReadCloser
}

// exchange is one request and its answer on one connection.
type exchange struct {
	client     *Client
	endpoint   endpoint
	connection *connection
	// written is closed once the request was sent, or sending it failed with writeErr.
	written  chan struct{}
	writeErr error
	// stop ends the watch of the request's context.
	stop func() bool
	// suspicion gives up on a back end whose machine went dark; nil where the request
	// can't be repeated.
	suspicion *suspicion
	// skipped tells that answers to other requests came first.
	skipped bool
	// once ends the exchange.
	once sync.Once
}

// Do sends the request and returns the head of its answer. The context bounds
// the whole exchange, the answer's body included. Every error is an *Error.
func (c *Client) Do(ctx context.Context, request *Request) (*Answer, error) {
	to := endpointOf(request)
	opened, err := c.connect(ctx, to)
	if err != nil {
		return nil, &Error{Stage: StageDial, Cause: err}
	}
	current := &exchange{client: c, endpoint: to, connection: opened, written: make(chan struct{})}
	current.stop = context.AfterFunc(ctx, opened.close)
	if deadline, bounded := ctx.Deadline(); bounded {
		_ = opened.socket.SetDeadline(deadline)
	} else {
		_ = opened.socket.SetDeadline(time.Time{})
	}
	opened.lastReceived.Store(c.now().UnixNano())
	if request.Repeatable && c.settings.Suspicion > 0 {
		current.suspicion = suspect(current)
	}
	answer, err := current.run(request)
	if err != nil {
		current.abandon()
		return nil, err
	}
	return answer, nil
}

func (e *exchange) run(request *Request) (*Answer, error) {
	if len(request.Body) > inlineBody {
		go e.send(request)
	} else if e.send(request); e.writeErr != nil {
		return nil, &Error{Sent: true, Stage: StageWrite, Cause: e.suspicion.cause(e.writeErr)}
	}
	for range maxForeignAnswers + 1 {
		answer, matches, err := e.receive(request)
		if err != nil {
			return nil, err
		}
		if matches {
			return answer, nil
		}
		e.skipped = true
	}
	return nil, &Error{Sent: true, Stage: StageHead, Cause: errForeignAnswers}
}

func (e *exchange) send(request *Request) {
	e.writeErr = request.write(e.connection.writer)
	close(e.written)
}

// receive reads the head of the next answer. An answer to another request is read to
// its end and dropped; matches is then false.
func (e *exchange) receive(request *Request) (answer *Answer, matches bool, err error) {
	response, err := e.readHead(request)
	if err != nil {
		return nil, false, &Error{Sent: true, Stage: StageHead, Cause: e.suspicion.cause(err)}
	}
	id := response.Header.Get(e.client.settings.IDHeader)
	if id != "" && id != request.ID {
		if _, err := io.CopyN(io.Discard, response.Body, maxForeignBytes); err != io.EOF {
			return nil, false, &Error{Sent: true, Stage: StageBody, Cause: errForeignAnswers}
		}
		return nil, false, nil
	}
	e.connection.limitIdleTime(response.Header, e.client.settings)
	return &Answer{
		Status: response.StatusCode, Header: response.Header,
		Named:    id != "",
		closing:  response.Close || hasCloseDelimitedBody(response),
		exchange: e, body: response.Body,
	}, true, nil
}

// readHead reads the head of the next final answer and skips interim ones (1xx).
func (e *exchange) readHead(request *Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(e.connection.reader, &http.Request{Method: request.Method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// hasCloseDelimitedBody tells that the body ends where the connection does.
func hasCloseDelimitedBody(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// abandon closes the connection, by which the back end learns that its client is gone.
func (e *exchange) abandon() {
	e.once.Do(func() {
		e.suspicion.stop()
		e.stop()
		e.connection.close()
	})
}

// finish keeps the connection for another request where it is in a known state.
func (e *exchange) finish(closing bool) {
	e.once.Do(func() {
		e.suspicion.stop()
		stillOpen := e.stop()
		if closing || e.skipped || !stillOpen || !e.wasWritten() || e.connection.reader.Buffered() > 0 {
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

// Read reads the body. The error is io.EOF only after the whole body.
func (a *Answer) Read(buffer []byte) (int, error) {
	count, err := a.body.Read(buffer)
	if err == io.EOF {
		a.exchange.finish(a.closing)
		return count, err
	}
	return count, a.exchange.suspicion.cause(err)
}

// CloseBody gives up what is left of the answer. Unless the body was read to its end, the
// back end learns that its client is gone.
func (a *Answer) CloseBody() { a.exchange.abandon() }
