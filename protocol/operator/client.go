package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/marblering/marblering/state/result"
)

// Client sends statements to a node's operators' API. All fields but
// Attempts are required.
type Client struct {
	// Address is host:port or a base URL.
	Address string
	HTTP    *http.Client
	// NewCommandID makes the ids of commands that have none.
	NewCommandID func() string
	// Attempts bounds how often a command is sent while its outcome is unknown,
	// each time with the same command id. Zero means once.
	Attempts int
	// Sleep pauses; it fails when the context ends first.
	Sleep func(ctx context.Context, pause time.Duration) error
}

// RemoteError is an error that a node answered with. It unwraps to a
// *result.Error.
type RemoteError struct {
	Detail ErrorDetail
}

// Error gives the code, the message and, for a syntax error, the place.
func (e *RemoteError) Error() string {
	message := fmt.Sprintf("%d %s (%s): %s", e.Detail.Code, e.Detail.Type, e.Detail.Execution, e.Detail.Message)
	if e.Detail.Caret != "" {
		message += "\n" + e.Detail.Caret
	}
	return message
}

// Unwrap returns the *result.Error that the node answered with.
func (e *RemoteError) Unwrap() error { return e.Detail.Err() }

// Run sends a statement. It gives a command without an id a new one; the answer
// names it, and so does the error where the outcome stays unknown. An error that a
// node answered with is a *RemoteError.
func (c *Client) Run(ctx context.Context, request Request) (Answer, error) {
	id, isCommand := commandOf(request)
	if !isCommand {
		return c.send(ctx, request)
	}
	if id == "" {
		id = c.NewCommandID()
		request.CommandID = id
		request.Again = new(bool)
	}
	for attempt := 1; ; attempt++ {
		answer, err := c.send(ctx, request)
		if err == nil || !outcomeUnknown(err) {
			return answer, err
		}
		if attempt >= c.Attempts || c.pause(ctx, err) != nil {
			return answer, merry.Prependf(err, "the outcome of command %q is unknown; the same command id finds it out", id)
		}
		again := true
		request.Again = &again
	}
}

// commandOf tells whether the request is a command, and which id it has, if any.
// A text that can't be parsed isn't: the node refuses it.
func commandOf(request Request) (id string, isCommand bool) {
	statement, err := NewParser().Parse(request.Text)
	if err != nil || statement.Command == nil {
		return "", false
	}
	for _, guard := range statement.Command.Guards {
		if guard.ID != nil {
			return guard.ID.Text, true
		}
	}
	return request.CommandID, true
}

// outcomeUnknown tells whether the command may have been done: the node says that
// the same id finds out, or its answer was lost. A request that found no
// connection wasn't sent.
func outcomeUnknown(err error) bool {
	var failure *RemoteError
	if errors.As(err, &failure) {
		return failure.Detail.Repeat == result.RepeatSameKey
	}
	var network *net.OpError
	return !errors.As(err, &network) || network.Op != "dial"
}

func (c *Client) pause(ctx context.Context, err error) error {
	pause := defaultRetryAfter
	var failure *RemoteError
	if errors.As(err, &failure) && failure.Detail.RetryAfterSeconds > 0 {
		pause = time.Duration(failure.Detail.RetryAfterSeconds) * time.Second
	}
	return c.Sleep(ctx, pause)
}

func (c *Client) send(ctx context.Context, request Request) (Answer, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return Answer{}, merry.Prepend(err, "can't encode the statement")
	}
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(), bytes.NewReader(body))
	if err != nil {
		return Answer{}, merry.Prependf(err, "can't ask %s", c.Address)
	}
	post.Header.Set("Content-Type", "application/json")
	response, err := c.HTTP.Do(post)
	if err != nil {
		return Answer{}, merry.Prependf(err, "can't ask %s", c.Address)
	}
	defer func() { _ = response.Body.Close() }()
	return decodeAnswer(response)
}

func (c *Client) url() string {
	base := strings.TrimSuffix(c.Address, "/")
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	return base + Path
}

func decodeAnswer(response *http.Response) (Answer, error) {
	decoder := json.NewDecoder(response.Body)
	if response.StatusCode == http.StatusOK {
		var answer Answer
		err := decoder.Decode(&answer)
		return answer, merry.Prepend(err, "the answer broke off")
	}
	var body ErrorBody
	if err := decoder.Decode(&body); err != nil || body.Error.Code == 0 {
		return Answer{}, merry.Errorf("unexpected answer with HTTP status %s", response.Status)
	}
	return Answer{}, &RemoteError{Detail: body.Error}
}
