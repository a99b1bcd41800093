// Package client is a Go client of the callers' API: it creates programs and runs
// their calls at one node.
//
// Each method sends one request and repeats nothing. The package owns no state
// and relies on the wire types of package callerapi and on an HTTP client that is
// passed in.
//
// A failure that a node reports is a *result.Error. Where an answer is lost the
// error is [ErrInterrupted]: the request may have been run, and the same request
// with the same idempotency key finds out.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/marblering/marblering/protocol/callerapi"
	"github.com/marblering/marblering/state/result"
)

// ErrInterrupted says that the node couldn't be reached or that its answer
// broke off.
var ErrInterrupted = merry.Sentinel("the answer was interrupted")

// maxAnswerBytes bounds a whole answer, in bytes.
const maxAnswerBytes = 64 << 20

// Client talks to one node with the key of one tenant. It is safe for
// concurrent use.
type Client struct {
	address string
	key     string
	http    *http.Client
}

// New makes a client of the node at the address, such as
// "http://10.0.0.7:8080". Contexts bound the requests: the HTTP client should
// have no timeout of its own, since it would cut long answers.
func New(address, apiKey string, httpClient *http.Client) *Client {
	return &Client{address: address, key: apiKey, http: httpClient}
}

// ProgramSpec describes a new program. Model and BudgetTokens are required; a zero
// value elsewhere takes the deployment's default.
type ProgramSpec struct {
	Model   string
	Adapter string
	// BudgetTokens is what the program and its children may use in all.
	BudgetTokens uint64
	// Priority is the class of the calls: the lowest is served first.
	Priority uint32
	// IdleLimit ends a program that is silent for so long. It is cut to
	// milliseconds.
	IdleLimit time.Duration
	// TurnLimit ends a program after so many turns.
	TurnLimit uint32
}

// programBody is the JSON form of a ProgramSpec.
type programBody struct {
	Model        string `json:"model"`
	Adapter      string `json:"adapter,omitempty"`
	BudgetTokens uint64 `json:"budget_tokens"`
	Priority     uint32 `json:"priority,omitempty"`
	IdleLimitMS  int64  `json:"idle_limit_ms,omitempty"`
	TurnLimit    uint32 `json:"turn_limit,omitempty"`
}

// CreateProgram creates a program. The idempotency key may be empty; with one, a
// repeat gives the same program.
func (c *Client) CreateProgram(ctx context.Context, spec ProgramSpec, key string) (callerapi.Program, error) {
	return c.program(ctx, http.MethodPost, "/v1/programs", key, programBody{
		Model:        spec.Model,
		Adapter:      spec.Adapter,
		BudgetTokens: spec.BudgetTokens,
		Priority:     spec.Priority,
		IdleLimitMS:  spec.IdleLimit.Milliseconds(),
		TurnLimit:    spec.TurnLimit,
	})
}

// CreateChild creates a child program, which shares the budget of its parent.
func (c *Client) CreateChild(ctx context.Context, parent, key string) (callerapi.Program, error) {
	return c.program(ctx, http.MethodPost, programPath(parent)+"/children", key, nil)
}

// ReadProgram returns the program as it stands.
func (c *Client) ReadProgram(ctx context.Context, id string) (callerapi.Program, error) {
	return c.program(ctx, http.MethodGet, programPath(id), "", nil)
}

// EndProgram ends the program; the reason may be empty.
func (c *Client) EndProgram(ctx context.Context, id, reason string) (callerapi.Program, error) {
	query := url.Values{"reason": {reason}}
	return c.program(ctx, http.MethodDelete, programPath(id)+"?"+query.Encode(), "", nil)
}

func programPath(id string) string { return "/v1/programs/" + url.PathEscape(id) }

func (c *Client) program(ctx context.Context, method, path, key string, body any) (callerapi.Program, error) {
	header := make(http.Header)
	if key != "" {
		header.Set(callerapi.HeaderKey, key)
	}
	response, err := c.send(ctx, method, path, header, body)
	if err != nil {
		return callerapi.Program{}, err
	}
	defer response.Body.Close()
	var program callerapi.Program
	err = decode(response, &program)
	return program, err
}

// send makes a request and returns its answer unless that is a failure. The caller
// closes the answer's body.
func (c *Client) send(ctx context.Context, method, path string, header http.Header, body any) (*http.Response, error) {
	request, err := c.newRequest(ctx, method, path, header, body)
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, interrupted(err, method, path)
	}
	if response.StatusCode/100 != 2 {
		defer response.Body.Close()
		return nil, readFailure(response)
	}
	return response, nil
}

func (c *Client) newRequest(ctx context.Context, method, path string, header http.Header, body any) (*http.Request, error) {
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return nil, merry.Prependf(err, "encoding the body of %s %s", method, path)
		}
		content = bytes.NewReader(encoded)
		header.Set("Content-Type", "application/json")
	}
	request, err := http.NewRequestWithContext(ctx, method, c.address+path, content)
	if err != nil {
		return nil, merry.Prependf(err, "making the request %s %s", method, path)
	}
	request.Header = header
	request.Header.Set("Authorization", "Bearer "+c.key)
	return request, nil
}

// interrupted keeps both the cause, such as a context that ended, and
// ErrInterrupted in the error.
func interrupted(cause error, method, path string) error {
	return merry.Prependf(errors.Join(ErrInterrupted, cause), "%s %s", method, path)
}

// decode reads a whole JSON answer.
func decode(response *http.Response, into any) error {
	request := response.Request
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return interrupted(err, request.Method, request.URL.Path)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return interrupted(err, request.Method, request.URL.Path)
	}
	return nil
}

// readFailure returns the failure that a node reports. An answer in another form,
// such as that of a proxy, doesn't say what became of the request.
func readFailure(response *http.Response) error {
	var body callerapi.ErrorBody
	if err := decode(response, &body); err != nil {
		return err
	}
	if body.Error.Code == result.OK {
		return interrupted(merry.Errorf("status %s without a result code", response.Status), response.Request.Method, response.Request.URL.Path)
	}
	return body.Error.Err()
}
