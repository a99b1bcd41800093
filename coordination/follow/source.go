package follow

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryGone is what a Source returns where it no longer has the changes since the
// revision that was asked for. The objects have to be listed then.
var ErrHistoryGone = errors.New("the store's history is gone")

// ErrNobodyAsked is what a Source returns where it made no call, so that no answer with
// changes can have been lost.
var ErrNobodyAsked = errors.New("the store wasn't asked")

// Source is one kind of objects in a store. Its calls are made one at a time.
type Source interface {
	// List returns every object, as the store had them the snapshot's age ago.
	List(ctx context.Context) (Snapshot, error)
	// Watch returns the changes since a revision as soon as there are any, and none
	// after about the wait. It returns ErrHistoryGone where the store has forgotten some
	// of them.
	Watch(ctx context.Context, from int64, wait time.Duration) (Changes, error)
}
