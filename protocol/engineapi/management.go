package engineapi

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
)

// Cancel ends a request. Cancelling one that has ended changes nothing. A request
// that the engine doesn't know is an error of kind NotLoaded.
func (c *Client) Cancel(ctx context.Context, address, requestID string) error {
	return c.doJSON(ctx, address, http.MethodPost, "/v1/requests/"+url.PathEscape(requestID)+"/cancel", nil, nil)
}

// Holds lists the programs whose context the engine keeps.
func (c *Client) Holds(ctx context.Context, address string) ([]Hold, error) {
	var list HoldList
	err := c.doJSON(ctx, address, http.MethodGet, "/v1/holds", nil, &list)
	return list.Holds, err
}

// Release ends the hold of a program, and succeeds as well where there is none.
// What was held may stay cached until the engine needs the memory.
func (c *Client) Release(ctx context.Context, address, program string) error {
	return c.doJSON(ctx, address, http.MethodDelete, "/v1/holds/"+url.PathEscape(program), nil, nil)
}

// CacheEvents returns the events whose number is greater than after. The engine
// reports them late and may lose some.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) ([]CacheEvent, error) {
	path := "/v1/cache/events?after=" + strconv.FormatUint(after, 10)
	ex := &exchange{address: address, method: http.MethodGet, path: path}
	response, err := c.send(ctx, ex, nil)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var events []CacheEvent
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		var event CacheEvent
		if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
			return nil, ex.fail(Failed, err, "a cache event isn't JSON")
		}
		events = append(events, event)
	}
	if lines.Err() != nil {
		return nil, ex.fail(Truncated, lines.Err(), "")
	}
	return events, nil
}

// State returns the engine's role and what it has loaded.
func (c *Client) State(ctx context.Context, address string) (State, error) {
	var state State
	err := c.doJSON(ctx, address, http.MethodGet, "/v1/state", nil, &state)
	return state, err
}

// Order gives the engine an order and returns the state after it. An order
// with an old fence is refused by an error of kind Stale.
func (c *Client) Order(ctx context.Context, address string, order Order) (State, error) {
	var state State
	err := c.doJSON(ctx, address, http.MethodPost, "/v1/orders", order, &state)
	return state, err
}

// Export copies the context of a program out of the engine's cache.
func (c *Client) Export(ctx context.Context, address, program string) (Context, error) {
	var exported Context
	err := c.doJSON(ctx, address, http.MethodPost, "/v1/kv/export", ExportRequest{Program: program}, &exported)
	exported.Program = program
	return exported, err
}

// Import puts an exported context into the engine's cache and holds it for its
// program.
func (c *Client) Import(ctx context.Context, address string, exported Context) error {
	return c.doJSON(ctx, address, http.MethodPost, "/v1/kv/import", exported, nil)
}

// doJSON sends a JSON body, if any, and decodes a JSON answer, if wanted.
func (c *Client) doJSON(ctx context.Context, address, method, path string, body, answer any) error {
	ex := &exchange{address: address, method: method, path: path}
	response, err := c.send(ctx, ex, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if answer == nil {
		return nil
	}
	if err := json.NewDecoder(response.Body).Decode(answer); err != nil {
		return ex.fail(Failed, err, "the answer can't be read")
	}
	return nil
}
