package follow

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryCompacted means that the store no longer has all changes since the requested
// revision. The objects have to be listed again.
var ErrHistoryCompacted = errors.New("the store no longer has the requested changes")

// ErrNotQueried means that the Source made no call, so that no response with changes can
// have been lost.
var ErrNotQueried = errors.New("the store was not queried")

// Source reads one kind of objects of a store. Its calls don't overlap.
type Source interface {
	// List returns all objects. They may be as old as Snapshot.Age.
	List(ctx context.Context) (Snapshot, error)
	// Watch returns the changes since a revision as soon as there are any, or no changes
	// after about the given wait. It returns ErrHistoryCompacted if the store no
	// longer has all of them.
	Watch(ctx context.Context, from int64, wait time.Duration) (Changes, error)
}
