package callerapi

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/marblering/marblering/state/result"
)

// Pauses that a caller is asked for before another try.
const (
	// retryAfterDraining is short, since other nodes serve.
	retryAfterDraining = time.Second
	// retryAfterOverloaded gives some of the requests in flight time to end.
	retryAfterOverloaded = 2 * time.Second
)

// inFlight counts the requests being served. It refuses new ones beyond a limit
// and while it drains.
type inFlight struct {
	mu       sync.Mutex
	limit    int
	draining bool
	// exchanges are the requests being served.
	exchanges map[*exchange]struct{}
	// idle is closed once inFlight drains and the count is zero.
	idle chan struct{}
}

func newInFlight(limit int) *inFlight {
	return &inFlight{limit: limit, exchanges: make(map[*exchange]struct{}), idle: make(chan struct{})}
}

func (f *inFlight) enter(entering *exchange) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		return errDraining()
	}
	if len(f.exchanges) >= f.limit {
		return result.Errorf(result.Overloaded, "this node serves %d requests already", len(f.exchanges)).WithRetryAfter(retryAfterOverloaded)
	}
	f.exchanges[entering] = struct{}{}
	return nil
}

func errDraining() *result.Error {
	return result.Errorf(result.Draining, "this node is stopping").WithRetryAfter(retryAfterDraining)
}

func (f *inFlight) leave(leaving *exchange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.exchanges, leaving)
	if f.draining && len(f.exchanges) == 0 {
		close(f.idle)
	}
}

func (f *inFlight) current() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.exchanges)
}

func (f *inFlight) isDraining() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.draining
}

// cut ends the requests being served: see [Handler.Cut].
func (f *inFlight) cut(deadline time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for serving := range f.exchanges {
		serving.cut(deadline)
	}
	return len(f.exchanges)
}

func (f *inFlight) drain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		return
	}
	f.draining = true
	if len(f.exchanges) == 0 {
		close(f.idle)
	}
}

func (f *inFlight) wait(ctx context.Context) error {
	select {
	case <-f.idle:
		return nil
	case <-ctx.Done():
		f.mu.Lock()
		defer f.mu.Unlock()
		return merry.Prependf(ctx.Err(), "%d requests are still in flight", len(f.exchanges))
	}
}
