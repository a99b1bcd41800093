package objectapi

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/marblering/marblering/coordination/configuration"
)

// DefaultSilence is how long a watch may bring nothing, not even a bookmark,
// before its connection counts as dead. Chosen, not measured.
const DefaultSilence = 15 * time.Second

// Platform implements configuration.Platform with a Client. Its errors are those
// of package configuration.
type Platform struct {
	client  *Client
	silence time.Duration
}

var _ configuration.Platform = (*Platform)(nil)

// NewPlatform makes a Platform. A watch that brings nothing for the duration of
// silence ends; 0 means DefaultSilence.
func NewPlatform(client *Client, silence time.Duration) *Platform {
	if silence == 0 {
		silence = DefaultSilence
	}
	return &Platform{client: client, silence: silence}
}

// Get returns one object. One that doesn't exist is Deleted with version 0.
func (p *Platform) Get(ctx context.Context, key configuration.Key) (configuration.Object, error) {
	object, err := p.client.Get(ctx, string(key.Kind), key.Name)
	var missing *NotFoundError
	if errors.As(err, &missing) {
		return configuration.Object{Key: key, Deleted: true}, nil
	}
	if err != nil {
		return configuration.Object{}, translate(err)
	}
	return convert(object), nil
}

// List returns every object at one revision.
func (p *Platform) List(ctx context.Context) (configuration.Listing, error) {
	list, err := p.client.ListAll(ctx)
	if err != nil {
		return configuration.Listing{}, translate(err)
	}
	listing := configuration.Listing{Revision: list.Revision}
	for _, object := range list.Items {
		listing.Objects = append(listing.Objects, convert(object))
	}
	return listing, nil
}

// Watch calls visit for every change after the revision.
func (p *Platform) Watch(ctx context.Context, from uint64, visit func(configuration.Event) error) error {
	err := p.client.Watch(ctx, from, p.silence, func(event Event) error {
		return visit(convertEvent(event))
	})
	return translate(err)
}

// Put writes the body where the object is at the expected version, 0 for one that
// doesn't exist.
func (p *Platform) Put(ctx context.Context, key configuration.Key, expected uint64, body json.RawMessage) (configuration.Object, error) {
	object, err := p.client.PutResolved(ctx, string(key.Kind), key.Name, ConditionFor(expected), body)
	var missing *NotFoundError
	if errors.As(err, &missing) {
		absent := configuration.Object{Key: key, Deleted: true}
		return configuration.Object{}, &configuration.ConflictError{Current: absent}
	}
	if err != nil {
		return configuration.Object{}, translate(err)
	}
	return convert(object), nil
}

func convert(object Object) configuration.Object {
	return configuration.Object{
		Key:     configuration.Key{Kind: configuration.Kind(object.Kind), Name: object.Name},
		Version: object.Version,
		Body:    object.Body,
		Deleted: configuration.IsTombstone(object.Body),
	}
}

func convertEvent(event Event) configuration.Event {
	converted := configuration.Event{Revision: event.Revision}
	if event.Object == nil {
		return converted
	}
	object := convert(*event.Object)
	// A removal's object still has the version of its last write.
	object.Version = event.Revision
	object.Deleted = object.Deleted || event.Deleted
	converted.Object = &object
	return converted
}

// translate turns this package's errors into those of package configuration.
func translate(err error) error {
	var conflict *Conflict
	var old *RevisionTooOldError
	var unavailable *UnavailableError
	var unresolved *UnknownOutcomeError
	var refused *RejectedError
	switch {
	case errors.As(err, &conflict):
		return &configuration.ConflictError{Current: convert(conflict.Current)}
	case errors.As(err, &old):
		return merry.Wrap(configuration.ErrTooOld, merry.WithCause(err))
	case errors.As(err, &unavailable):
		return merry.Wrap(configuration.ErrUnavailable, merry.WithCause(err))
	case errors.As(err, &unresolved):
		return merry.Wrap(configuration.ErrUnresolved, merry.WithCause(err))
	case errors.As(err, &refused):
		return merry.Wrap(configuration.ErrRefused, merry.WithCause(err))
	}
	return err
}
