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

// readerHeader names the asking node, so that the object API can count its
// readers.
const readerHeader = "Marblering-Node"

// maxErrorBytes bounds how much of an error answer is kept, and how much of any
// answer is read for the sake of its connection. Chosen, not measured.
const maxErrorBytes = 1 << 10

// Client talks to one object API. It is safe for concurrent use.
//
// A read fails with *Unavailable, *Refused or, where it names one object,
// *NotFound. A write can fail with *Conflict and *Unresolved as well.
type Client struct {
	base string
	node string
	http *http.Client
}

// NewClient makes a client of the object API at the base URL. Contexts bound
// reads and writes. The http.Client must have no timeout of its own, since it
// would end watches.
func NewClient(base string, client *http.Client) *Client {
	return &Client{base: strings.TrimRight(base, "/"), http: client}
}

// Named returns a copy of the client that tells the object API the name of the
// node that asks.
func (c *Client) Named(node string) *Client {
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
	return object, nameMissing(err, kind, name)
}

// Machines returns the platform's list of machines, which may be out of date.
func (c *Client) Machines(ctx context.Context) ([]Machine, error) {
	var answer struct {
		Machines []Machine `json:"machines"`
	}
	err := c.read(ctx, "/machines", &answer)
	return answer.Machines, err
}

// Put writes the body where the condition holds, and returns the new object.
func (c *Client) Put(ctx context.Context, kind, name string, condition Condition, body json.RawMessage) (Object, error) {
	return c.write(ctx, http.MethodPut, kind, name, condition, body)
}

// Delete removes the object where it is at the version. It returns the removed
// object with the revision of the removal.
func (c *Client) Delete(ctx context.Context, kind, name string, version uint64) (Object, error) {
	return c.write(ctx, http.MethodDelete, kind, name, IfVersion(version), nil)
}

// read gets JSON. A lost answer is Unavailable, since a read changes nothing.
func (c *Client) read(ctx context.Context, path string, into any) error {
	action := "read " + path
	response, err := c.send(ctx, http.MethodGet, path, Condition{}, nil)
	if err != nil {
		return &UnavailableError{Action: action, Cause: err}
	}
	defer discard(response)
	if response.StatusCode != http.StatusOK {
		return statusError(action, response, false)
	}
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		return &UnavailableError{Action: action, Cause: err}
	}
	return nil
}

func (c *Client) write(ctx context.Context, method, kind, name string, condition Condition, body []byte) (Object, error) {
	path := objectPath(kind, name)
	action := strings.ToLower(method) + " " + path
	response, err := c.send(ctx, method, path, condition, body)
	if err != nil {
		return Object{}, lostWrite(action, err)
	}
	defer discard(response)
	var object Object
	switch response.StatusCode {
	case http.StatusOK, http.StatusConflict:
		err = json.NewDecoder(response.Body).Decode(&object)
	default:
		err = nameMissing(statusError(action, response, true), kind, name)
		return Object{}, err
	}
	if err != nil {
		return Object{}, &UnknownOutcomeError{Action: action, Cause: err}
	}
	if response.StatusCode == http.StatusConflict {
		return Object{}, &Conflict{Current: object}
	}
	return object, nil
}

func (c *Client) send(ctx context.Context, method, path string, condition Condition, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, merry.Errorf("can't make a request for %s%s: %w", c.base, path, err)
	}
	request.Header.Set("Accept", "application/json")
	if c.node != "" {
		request.Header.Set(readerHeader, c.node)
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

// lostWrite tells a write that found no connection from one whose answer was
// lost.
func lostWrite(action string, err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return &UnavailableError{Action: action, Cause: err}
	}
	return &UnknownOutcomeError{Action: action, Cause: err}
}

// statusError makes the error for a status that is neither success nor conflict.
// In this dialect status 503 says that nothing was done. After any other server
// error a write may have been done.
func statusError(action string, response *http.Response, write bool) error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	refused := &RejectedError{Action: action, Status: response.StatusCode, Message: strings.TrimSpace(string(text))}
	switch {
	case response.StatusCode == http.StatusServiceUnavailable:
		return &UnavailableError{Action: action, Cause: refused}
	case response.StatusCode < http.StatusInternalServerError:
		return refused
	case write:
		return &UnknownOutcomeError{Action: action, Cause: refused}
	}
	return &UnavailableError{Action: action, Cause: refused}
}

// nameMissing turns a refusal with 404 into NotFound.
func nameMissing(err error, kind, name string) error {
	var refused *RejectedError
	if errors.As(err, &refused) && refused.Status == http.StatusNotFound {
		return &NotFoundError{Kind: kind, Name: name}
	}
	return err
}

func objectPath(kind, name string) string {
	return "/api/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// discard reads the rest of a short answer, so that its connection can be reused.
func discard(response *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxErrorBytes))
	_ = response.Body.Close()
}
