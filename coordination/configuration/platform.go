package configuration

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/ansel1/merry/v2"
)

// Platform is the object API, as far as configuration needs it.
type Platform interface {
	// Get returns one object; a removed one as Deleted with the version of its
	// tombstone, an absent one as Deleted with version 0.
	Get(ctx context.Context, key Key) (Object, error)
	// List returns every object at one revision.
	List(ctx context.Context) (Listing, error)
	// Watch calls visit for every change after the revision, in order, until
	// visit fails, the context ends or the connection is lost. It always returns
	// an error: ErrTooOld where the store no longer has all these changes.
	Watch(ctx context.Context, from uint64, visit func(Event) error) error
	// Put writes the body where the object is at the expected version, or absent
	// for 0. The body carries its command's id; where the answer is lost, Put
	// reads back. It fails with *ConflictError, ErrRefused or ErrUnavailable
	// (certainly not done) or ErrUnresolved (may have been done, or may yet be).
	Put(ctx context.Context, key Key, expected uint64, body json.RawMessage) (Object, error)
}

// Listing is the whole store at one revision.
type Listing struct {
	Revision uint64
	Objects  []Object
}

// Event is one change of the store. An event without an object only tells that
// there is no other change up to the revision.
type Event struct {
	Revision uint64
	Object   *Object
}

// Errors of a Platform.
var (
	ErrTooOld      = merry.Sentinel("the object API no longer has all changes since that revision")
	ErrUnavailable = merry.Sentinel("the object API doesn't answer; nothing was done")
	ErrRefused     = merry.Sentinel("the object API finds the request at fault; nothing was done")
	ErrUnresolved  = merry.Sentinel("the object API's answer was lost; the write may have been done")
)

// ConflictError says that an object isn't at the expected version.
type ConflictError struct {
	// Current is the object as it stands.
	Current Object
}

// Error names the object and the version that it has.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s is at version %d", e.Current.Key, e.Current.Version)
}
