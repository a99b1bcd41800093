package node

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/configuration"
	"github.com/marblering/marblering/protocol/objectapi"
)

const (
	// watchSilence ends a watch whose connection is taken for dead.
	watchSilence = 15 * time.Second
	// watchPause is the pause before a failed watch is begun again.
	watchPause = 200 * time.Millisecond
)

// configurationWatch follows the object API. It is a suture service.
type configurationWatch struct {
	platform *objectapi.Client
	holder   *configuration.Holder
	logger   *zap.Logger
	timeout  time.Duration
}

// Serve lists and watches until the context ends.
func (w *configurationWatch) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		err := w.follow(ctx)
		if ctx.Err() == nil {
			w.logger.Warn("configuration watch ended", zap.Error(err))
			wait(ctx, watchPause)
		}
	}
	return ctx.Err()
}

func (w *configurationWatch) follow(ctx context.Context) error {
	if err := w.list(ctx); err != nil {
		return err
	}
	return w.platform.Watch(ctx, w.holder.Version(), watchSilence, func(event objectapi.Event) error {
		if event.Object == nil {
			return nil
		}
		return w.apply(event.Revision, []configuration.Object{watchedObject(event)})
	})
}

func (w *configurationWatch) list(ctx context.Context) error {
	listContext, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	list, err := w.platform.ListAll(listContext)
	if err != nil {
		return err
	}
	objects := make([]configuration.Object, 0, len(list.Items))
	for _, item := range list.Items {
		objects = append(objects, storedObject(item, false))
	}
	return w.apply(list.Revision, objects)
}

func (w *configurationWatch) apply(revision uint64, objects []configuration.Object) error {
	next, err := w.holder.Current().Apply(revision, objects)
	var faults configuration.Faults
	if errors.As(err, &faults) {
		w.logger.Error("the stored configuration is faulty and not in force", zap.Uint64("version", revision), zap.Error(err))
		return nil
	}
	if err != nil {
		return err
	}
	w.holder.Move(next)
	return nil
}

func watchedObject(event objectapi.Event) configuration.Object {
	object := storedObject(*event.Object, event.Deleted)
	object.Version = event.Revision
	return object
}

func storedObject(object objectapi.Object, deleted bool) configuration.Object {
	return configuration.Object{
		Key:     configuration.Key{Kind: configuration.Kind(object.Kind), Name: object.Name},
		Version: object.Version,
		Body:    object.Body,
		Deleted: deleted,
	}
}

// wait sleeps or returns early when the context ends.
func wait(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
