package engineapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// maxErrorBody bounds what is read of a refusal, in bytes: a refusal is one short JSON object.
	maxErrorBody = 64 << 10
	// maxRetryAfter is the longest advice that is taken from a refusal; a longer one is
	// ignored.
	maxRetryAfter = time.Hour
)

// Client talks to engines. It keeps no state and is safe for concurrent use. The
// error of every method is an *Error. An address is the engine's base URL, such
// as "http://10.0.0.8:8000".
type Client struct {
	http *http.Client
}

// NewClient returns a client that uses httpClient. Its transport should bound
// dialling and idle connections. Its Timeout should be zero, since it would end
// long streams: deadlines come from the context.
func NewClient(httpClient *http.Client) *Client {
	return &Client{http: httpClient}
}

// exchange is one request to an engine and its answer.
type exchange struct {
	address string
	method  string
	path    string
	// connected is set once a connection was assigned to the request.
	connected atomic.Bool
}

func (e *exchange) operation() string {
	return e.method + " " + e.path
}

// fail makes an error of this exchange. Once there was a connection, the engine
// may have got the request, which then counts as dispatched.
func (e *exchange) fail(kind Kind, cause error, message string) *Error {
	return &Error{
		Kind:       kind,
		Address:    e.address,
		Operation:  e.operation(),
		Dispatched: e.connected.Load(),
		Message:    message,
		Cause:      cause,
	}
}

// send makes a request. It returns answers of status 200 only; the caller closes
// their body.
func (c *Client) send(ctx context.Context, ex *exchange, body any) (*http.Response, error) {
	request, err := ex.request(ctx, body)
	if err != nil {
		return nil, ex.fail(Failed, err, "the request can't be built")
	}
	response, err := c.http.Do(request)
	if err != nil {
		if ctx.Err() != nil {
			return nil, ex.fail(Abandoned, context.Cause(ctx), "")
		}
		return nil, ex.fail(Unreachable, err, "")
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()
	return nil, ex.refusal(response)
}

func (e *exchange) request(ctx context.Context, body any) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		var encoded bytes.Buffer
		encoder := json.NewEncoder(&encoded)
		encoder.SetEscapeHTML(false)
		if err := encoder.Encode(body); err != nil {
			return nil, err
		}
		reader = bytes.NewReader(encoded.Bytes())
	}
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { e.connected.Store(true) },
	}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), e.method, e.address+e.path, reader)
	if err != nil {
		return nil, err
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

// refusal turns an answer other than 200 into an error.
func (e *exchange) refusal(response *http.Response) *Error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
	var answer ErrorAnswer
	message := response.Status
	if json.Unmarshal(text, &answer) == nil && answer.Error.Message != "" {
		message += ": " + answer.Error.Message
	}
	failure := e.fail(kindOf(response.StatusCode, answer.Error.Type), nil, message)
	failure.RetryAfter = retryAfter(response.Header)
	failure.Fence = answer.Fence
	failure.Dispatched = !refusedBeforeRunning(failure.Kind)
	return failure
}

// refusedBeforeRunning tells whether a refusal proves that the engine didn't run
// the request. A duplicate was run earlier, and a failure may have come while
// the request ran.
func refusedBeforeRunning(kind Kind) bool {
	return kind != Duplicate && kind != Failed
}

func kindOf(status int, errorType string) Kind {
	switch {
	case status == http.StatusServiceUnavailable:
		return Leaving
	case status == http.StatusTooManyRequests:
		return Full
	case status == http.StatusNotFound:
		return NotLoaded
	case status == http.StatusConflict && errorType == ErrorTypeStale:
		return Stale
	case status == http.StatusConflict:
		return Duplicate
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return Refused
	}
	return Failed
}

// retryAfter reads the number of seconds in the header Retry-After (RFC 9110,
// section 10.2.3), with fractions. The date form gives zero.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || !(seconds >= 0) || seconds > maxRetryAfter.Seconds() {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
