package objectapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrWatchIdle ends a watch that got neither an event nor a bookmark for too long,
// so that its connection counts as dead.
var ErrWatchIdle = merry.Sentinel("the watch was silent for too long")

// Watch calls visit for every event after the revision, in order, until visit
// fails, the connection fails or the context ends. It always returns an error:
// *TooOld where the object API no longer has the events after the revision, and
// ErrSilent where nothing came for the duration of silence (0 for no limit).
func (c *Client) Watch(ctx context.Context, from uint64, silence time.Duration, visit func(Event) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	guard := newIdleTimer(silence, cancel)
	defer guard.stop()
	err := c.watch(ctx, from, guard, visit)
	if cause := context.Cause(ctx); cause != nil {
		return merry.Prependf(cause, "watch from revision %d", from)
	}
	return err
}

func (c *Client) watch(ctx context.Context, from uint64, guard *idleTimer, visit func(Event) error) error {
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
		guard.reset()
		if err := visit(event); err != nil {
			return err
		}
	}
}

// idleTimer cancels a context when nothing was heard for the limit.
type idleTimer struct {
	limit time.Duration
	// timer is nil where there is no limit.
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
