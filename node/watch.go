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
	// The pauses before a failed watch is begun again grow from first to most.
	watchPauseFirst = 200 * time.Millisecond
	watchPauseMost  = 5 * time.Second
)

// configurationWatch follows the object API. It is a suture service.
type configurationWatch struct {
	platform *objectapi.Client
	holder   *configuration.Holder
	logger   *zap.Logger
	timeout  time.Duration
	pauses   backoff
	// failing is set from the first failure to the next success.
	failing bool
}

// Serve lists and watches until the context ends.
func (w *configurationWatch) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		err := w.follow(ctx)
		if ctx.Err() == nil {
			w.noteFailure(err)
			wait(ctx, w.pauses.next())
		}
	}
	return ctx.Err()
}

// noteFailure logs the first failure in a row; the tries that follow say
// nothing new.
func (w *configurationWatch) noteFailure(err error) {
	if w.failing {
		w.logger.Debug("configuration watch fails still", zap.Error(err))
		return
	}
	w.failing = true
	w.logger.Warn("configuration watch ended", zap.Error(err))
}

func (w *configurationWatch) noteSuccess() {
	if w.failing {
		w.logger.Info("configuration watch resumed", zap.Uint64("version", w.holder.Version()))
	}
	w.failing = false
	w.pauses.reset()
}

func (w *configurationWatch) follow(ctx context.Context) error {
	if err := w.list(ctx); err != nil {
		return err
	}
	return w.platform.Watch(ctx, w.holder.Version(), watchSilence, func(event objectapi.Event) error {
		w.noteSuccess()
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
