package callerapi

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/marblering/marblering/state/result"
)

// Pauses that a caller is asked for before another try. Both are chosen, not
// measured.
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
	count    int
	draining bool
	// idle is closed once inFlight drains and the count is zero.
	idle chan struct{}
}

func newInFlight(limit int) *inFlight {
	return &inFlight{limit: limit, idle: make(chan struct{})}
}

func (f *inFlight) enter() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		return result.Errorf(result.Draining, "this node is stopping").WithRetryAfter(retryAfterDraining)
	}
	if f.count >= f.limit {
		return result.Errorf(result.Overloaded, "this node serves %d requests already", f.count).WithRetryAfter(retryAfterOverloaded)
	}
	f.count++
	return nil
}

func (f *inFlight) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.draining && f.count == 0 {
		close(f.idle)
	}
}

func (f *inFlight) current() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count
}

func (f *inFlight) drain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		return
	}
	f.draining = true
	if f.count == 0 {
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
		return merry.Prependf(ctx.Err(), "%d requests are still in flight", f.count)
	}
}
