package objectapi

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/marblering/marblering/coordination/configuration"
)

// DefaultWatchIdleTimeout is how long a watch may receive nothing, not even a
// bookmark, before its connection is considered dead.
const DefaultWatchIdleTimeout = 15 * time.Second

// Platform implements configuration.Platform with a Client. It returns the errors
// of package configuration.
type Platform struct {
	client      *Client
	idleTimeout time.Duration
}

var _ configuration.Platform = (*Platform)(nil)

// NewPlatform returns a Platform whose watches end after receiving nothing for
// idleTimeout; 0 means DefaultWatchIdleTimeout.
func NewPlatform(client *Client, idleTimeout time.Duration) *Platform {
	if idleTimeout == 0 {
		idleTimeout = DefaultWatchIdleTimeout
	}
	return &Platform{client: client, idleTimeout: idleTimeout}
}

// Get returns one object. A missing object is returned as Deleted with version 0.
func (p *Platform) Get(ctx context.Context, key configuration.Key) (configuration.Object, error) {
	object, err := p.client.Get(ctx, string(key.Kind), key.Name)
	var missing *NotFoundError
	if errors.As(err, &missing) {
		return configuration.Object{Key: key, Deleted: true}, nil
	}
	if err != nil {
		return configuration.Object{}, toConfigurationError(err)
	}
	return toConfigurationObject(object), nil
}

// List returns every object at one revision.
func (p *Platform) List(ctx context.Context) (configuration.Listing, error) {
	list, err := p.client.ListAll(ctx)
	if err != nil {
		return configuration.Listing{}, toConfigurationError(err)
	}
	listing := configuration.Listing{Revision: list.Revision}
	for _, object := range list.Items {
		listing.Objects = append(listing.Objects, toConfigurationObject(object))
	}
	return listing, nil
}

// Watch calls visit for every change after the revision.
func (p *Platform) Watch(ctx context.Context, from uint64, visit func(configuration.Event) error) error {
	err := p.client.Watch(ctx, from, p.idleTimeout, func(event Event) error {
		return visit(toConfigurationEvent(event))
	})
	return toConfigurationError(err)
}

// Put writes the body if the object is at the expected version; 0 means that it
// must not exist.
func (p *Platform) Put(ctx context.Context, key configuration.Key, expected uint64, body json.RawMessage) (configuration.Object, error) {
	object, err := p.client.PutWithRetry(ctx, string(key.Kind), key.Name, ConditionFor(expected), body)
	var missing *NotFoundError
	if errors.As(err, &missing) {
		absent := configuration.Object{Key: key, Deleted: true}
		return configuration.Object{}, &configuration.ConflictError{Current: absent}
	}
	if err != nil {
		return configuration.Object{}, toConfigurationError(err)
	}
	return toConfigurationObject(object), nil
}

func toConfigurationObject(object Object) configuration.Object {
	return configuration.Object{
		Key:     configuration.Key{Kind: configuration.Kind(object.Kind), Name: object.Name},
		Version: object.Version,
		Body:    object.Body,
		Deleted: configuration.IsTombstone(object.Body),
	}
}

func toConfigurationEvent(event Event) configuration.Event {
	converted := configuration.Event{Revision: event.Revision}
	if event.Object == nil {
		return converted
	}
	object := toConfigurationObject(*event.Object)
	// In a removal event the object still has the version of its last write.
	object.Version = event.Revision
	object.Deleted = object.Deleted || event.Deleted
	converted.Object = &object
	return converted
}

// toConfigurationError converts errors of this package to those of package
// configuration.
func toConfigurationError(err error) error {
	var conflict *ConflictError
	var tooOld *RevisionTooOldError
	var unavailable *UnavailableError
	var unknownOutcome *UnknownOutcomeError
	var rejected *RejectedError
	switch {
	case errors.As(err, &conflict):
		return &configuration.ConflictError{Current: toConfigurationObject(conflict.Current)}
	case errors.As(err, &tooOld):
		return merry.Wrap(configuration.ErrTooOld, merry.WithCause(err))
	case errors.As(err, &unavailable):
		return merry.Wrap(configuration.ErrUnavailable, merry.WithCause(err))
	case errors.As(err, &unknownOutcome):
		return merry.Wrap(configuration.ErrUnresolved, merry.WithCause(err))
	case errors.As(err, &rejected):
		return merry.Wrap(configuration.ErrRefused, merry.WithCause(err))
	}
	return err
}
