package objectapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
)

// nodeHeader carries the name of the requesting node, so that the object API can
// count its readers.
const nodeHeader = "Marblering-Node"

// maxDrainedBytes limits how much of an error response is kept, and how much of
// any response is drained to reuse its connection.
const maxDrainedBytes = 1 << 10

// Client sends requests to one object API. It is safe for concurrent use.
//
// A read fails with *UnavailableError, *RejectedError or, if it names one object,
// *NotFoundError. A write can also fail with *ConflictError or *UnknownOutcomeError.
type Client struct {
	base string
	node string
	http *http.Client
}

// NewClient returns a client for the object API at the base URL. Reads and writes
// are limited by their contexts alone: a timeout of the http.Client would also
// end watches, so it must have none.
//
// Redirects aren't followed: a write would be repeated as a read, whose response says nothing
// about it.
func NewClient(base string, client *http.Client) *Client {
	direct := *client
	direct.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{base: strings.TrimRight(base, "/"), http: &direct}
}

// WithNodeName returns a copy of the client that sends the node's name with every
// request.
func (c *Client) WithNodeName(node string) *Client {
	result := *c
	result.node = node
	return &result
}

// List returns the objects of one kind.
func (c *Client) List(ctx context.Context, kind string) (List, error) {
	var list List
	err := c.read(ctx, "/api/"+url.PathEscape(kind), &list)
	return list, err
}

// ListAll returns every object of every kind at one revision.
func (c *Client) ListAll(ctx context.Context) (List, error) {
	var list List
	err := c.read(ctx, "/api", &list)
	return list, err
}

// Get returns one object.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	var object Object
	err := c.read(ctx, objectPath(kind, name), &object)
	return object, convertNotFound(err, kind, name)
}

// ListMachines returns the platform's list of machines, which may be out of date.
func (c *Client) ListMachines(ctx context.Context) ([]Machine, error) {
	var response struct {
		Machines []Machine `json:"machines"`
	}
	err := c.read(ctx, "/machines", &response)
	return response.Machines, err
}

// Put writes the body if the condition holds and returns the new object.
func (c *Client) Put(ctx context.Context, kind, name string, condition Condition, body json.RawMessage) (Object, error) {
	return c.write(ctx, http.MethodPut, kind, name, condition, body)
}

// Delete removes the object if it is at the given version. It returns the removed
// object with the revision of the removal.
func (c *Client) Delete(ctx context.Context, kind, name string, version uint64) (Object, error) {
	return c.write(ctx, http.MethodDelete, kind, name, IfVersion(version), nil)
}

// read decodes the JSON response to a GET request. A lost response is an
// UnavailableError, since a read changes nothing.
func (c *Client) read(ctx context.Context, path string, target any) error {
	action := "read " + path
	response, err := c.send(ctx, http.MethodGet, path, Condition{}, nil)
	if err != nil {
		return &UnavailableError{Action: action, Cause: err}
	}
	defer drainAndClose(response)
	if response.StatusCode != http.StatusOK {
		return statusError(action, response, false)
	}
	if err := json.NewDecoder(response.Body).Decode(target); err != nil {
		return &UnavailableError{Action: action, Cause: err}
	}
	return nil
}

func (c *Client) write(ctx context.Context, method, kind, name string, condition Condition, body []byte) (Object, error) {
	path := objectPath(kind, name)
	action := strings.ToLower(method) + " " + path
	response, err := c.send(ctx, method, path, condition, body)
	if err != nil {
		return Object{}, classifyWriteError(action, err)
	}
	defer drainAndClose(response)
	var object Object
	switch response.StatusCode {
	case http.StatusOK, http.StatusConflict:
		err = json.NewDecoder(response.Body).Decode(&object)
	default:
		err = convertNotFound(statusError(action, response, true), kind, name)
		return Object{}, err
	}
	if err != nil {
		return Object{}, &UnknownOutcomeError{Action: action, Cause: err}
	}
	if response.StatusCode == http.StatusConflict {
		return Object{}, &ConflictError{Current: object}
	}
	return object, nil
}

func (c *Client) send(ctx context.Context, method, path string, condition Condition, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, merry.Errorf("can't create a request for %s%s: %w", c.base, path, err)
	}
	request.Header.Set("Accept", "application/json")
	if c.node != "" {
		request.Header.Set(nodeHeader, c.node)
	}
	switch {
	case method == http.MethodGet:
	case condition.absent:
		request.Header.Set("If-None-Match", "*")
	default:
		request.Header.Set("If-Match", strconv.Quote(strconv.FormatUint(condition.version, 10)))
	}
	return c.http.Do(request)
}

// classifyWriteError returns an UnavailableError if no connection was made and an
// UnknownOutcomeError if the request may have been sent.
func classifyWriteError(action string, err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return &UnavailableError{Action: action, Cause: err}
	}
	return &UnknownOutcomeError{Action: action, Cause: err}
}

// statusError returns the error for a status that is neither success nor conflict.
// Status 503 means that nothing was done, and so does a client error. After any other
// status, valid or not, a write may have taken effect.
func statusError(action string, response *http.Response, write bool) error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxDrainedBytes))
	rejected := &RejectedError{Action: action, Status: response.StatusCode, Message: strings.TrimSpace(string(text))}
	switch {
	case response.StatusCode == http.StatusServiceUnavailable:
		return &UnavailableError{Action: action, Cause: rejected}
	case response.StatusCode >= http.StatusBadRequest && response.StatusCode < http.StatusInternalServerError:
		return rejected
	case write:
		return &UnknownOutcomeError{Action: action, Cause: rejected}
	}
	return &UnavailableError{Action: action, Cause: rejected}
}

// convertNotFound replaces a RejectedError of status 404 by a NotFoundError.
func convertNotFound(err error, kind, name string) error {
	var rejected *RejectedError
	if errors.As(err, &rejected) && rejected.Status == http.StatusNotFound {
		return &NotFoundError{Kind: kind, Name: name}
	}
	return err
}

func objectPath(kind, name string) string {
	return "/api/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// drainAndClose closes the body after draining a short one, so that its connection can
// be reused.
func drainAndClose(response *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxDrainedBytes))
	_ = response.Body.Close()
}
