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

// maxErrorBody limits what is read of a refusal, in bytes.
const maxErrorBody = 64 << 10

// Client talks to engines. It keeps no state of its own and may be used by
// several goroutines.
type Client struct {
	http *http.Client
}

// NewClient returns a client that uses httpClient, whose transport should have
// limits on dialling and idle connections. Its Timeout should be zero, since
// answers are streamed: deadlines come from the context.
func NewClient(httpClient *http.Client) *Client {
	return &Client{http: httpClient}
}

// call is one exchange with an engine.
type call struct {
	address   string
	method    string
	path      string
	connected atomic.Bool
}

func (c *call) operation() string {
	return c.method + " " + c.path
}

// fail makes an error of this call. The request counts as dispatched once a
// connection was had.
func (c *call) fail(kind Kind, cause error, message string) *Error {
	return &Error{
		Kind:       kind,
		Address:    c.address,
		Operation:  c.operation(),
		Dispatched: c.connected.Load(),
		Message:    message,
		Cause:      cause,
	}
}

// send makes a request and returns an answer of status 200; the caller closes
// its body.
func (c *Client) send(ctx context.Context, exchange *call, body any) (*http.Response, error) {
	request, err := exchange.request(ctx, body)
	if err != nil {
		return nil, exchange.fail(Failed, err, "the request can't be built")
	}
	response, err := c.http.Do(request)
	if err != nil {
		if ctx.Err() != nil {
			return nil, exchange.fail(Abandoned, context.Cause(ctx), "")
		}
		return nil, exchange.fail(Unreachable, err, "")
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()
	return nil, exchange.refusal(response)
}

func (c *call) request(ctx context.Context, body any) (*http.Request, error) {
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
		GotConn: func(httptrace.GotConnInfo) { c.connected.Store(true) },
	}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), c.method, c.address+c.path, reader)
	if err != nil {
		return nil, err
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

// refusal turns an answer other than 200 into an error.
func (c *call) refusal(response *http.Response) *Error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
	var answer ErrorAnswer
	message := response.Status
	if json.Unmarshal(text, &answer) == nil && answer.Error.Message != "" {
		message += ": " + answer.Error.Message
	}
	failure := c.fail(kindOf(response.StatusCode, answer.Error.Type), nil, message)
	failure.RetryAfter = retryAfter(response.Header)
	failure.Fence = answer.Fence
	failure.Dispatched = !refusedBeforeRunning(failure.Kind)
	return failure
}

// refusedBeforeRunning says whether a refusal proves that the request wasn't
// taken. A duplicate was taken earlier; a failure may have come midway.
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

// retryAfter reads the header's number of seconds (RFC 9110, section 10.2.3);
// the date form gives zero.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || !(seconds >= 0) || seconds > time.Hour.Seconds() {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
