package objectapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrWatchIdle ends a watch that received neither an event nor a bookmark within
// its idle timeout.
var ErrWatchIdle = merry.Sentinel("no event or bookmark within the idle timeout of the watch")

// Watch calls visit for every event after the revision, in order, until visit
// fails, the connection fails or the context ends. It always returns an error:
// *RevisionTooOldError if the object API no longer has the events after the
// revision, and ErrWatchIdle if nothing arrived for idleTimeout (0 for no limit).
func (c *Client) Watch(ctx context.Context, from uint64, idleTimeout time.Duration, visit func(Event) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := newIdleTimer(idleTimeout, cancel)
	defer timer.stop()
	err := c.watch(ctx, from, timer, visit)
	if cause := context.Cause(ctx); cause != nil {
		return merry.Prependf(cause, "watch from revision %d", from)
	}
	return err
}

func (c *Client) watch(ctx context.Context, from uint64, timer *idleTimer, visit func(Event) error) error {
	path := fmt.Sprintf("/watch?from=%d", from)
	action := "read " + path
	response, err := c.send(ctx, http.MethodGet, path, Condition{}, nil)
	if err != nil {
		return &UnavailableError{Action: action, Cause: err}
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusGone:
		return &RevisionTooOldError{From: from}
	default:
		return statusError(action, response, false)
	}
	decoder := json.NewDecoder(response.Body)
	for {
		var event Event
		if err := decoder.Decode(&event); err != nil {
			return &UnavailableError{Action: action, Cause: err}
		}
		timer.reset()
		if err := visit(event); err != nil {
			return err
		}
	}
}

// idleTimer cancels a context unless it is reset within the limit.
type idleTimer struct {
	limit time.Duration
	// timer is nil if there is no limit.
	timer *time.Timer
}

func newIdleTimer(limit time.Duration, cancel context.CancelCauseFunc) *idleTimer {
	if limit <= 0 {
		return &idleTimer{}
	}
	return &idleTimer{
		limit: limit,
		timer: time.AfterFunc(limit, func() { cancel(ErrWatchIdle) }),
	}
}

func (g *idleTimer) reset() {
	if g.timer != nil {
		g.timer.Reset(g.limit)
	}
}

func (g *idleTimer) stop() {
	if g.timer != nil {
		g.timer.Stop()
	}
}
