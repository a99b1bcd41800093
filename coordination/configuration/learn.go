package configuration

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
)

// errEnough ends a watch that has brought what was wanted.
var errEnough = merry.Sentinel("enough changes seen")

// followStore takes in the store's changes until enough says so (then it
// returns nil) or the object API fails. A watch that is too old is survived by
// a whole list.
func (a *Agent) followStore(ctx context.Context, enough func() bool) error {
	if a.isUnread() {
		if err := a.listStore(ctx); err != nil {
			return err
		}
	}
	for !enough() {
		err := a.watchStore(ctx, enough)
		if errors.Is(err, ErrTooOld) {
			err = a.listStore(ctx)
		}
		if err != nil && !errors.Is(err, errEnough) {
			return err
		}
	}
	return nil
}

// isUnread tells whether this node has neither configuration nor any change of
// the store, so that a list is cheaper than the whole log.
func (a *Agent) isUnread() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return !a.replica.read
}

func (a *Agent) watchStore(ctx context.Context, enough func() bool) error {
	a.mutex.Lock()
	from := a.replica.watchFrom()
	a.mutex.Unlock()
	return a.platform.Watch(ctx, from, func(event Event) error {
		if err := a.learnEvent(event); err != nil {
			return err
		}
		if enough() {
			return errEnough
		}
		return nil
	})
}

func (a *Agent) listStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, a.settings.StoreTimeout)
	defer cancel()
	list, err := a.platform.List(ctx)
	if err != nil {
		return err
	}
	return a.learn(func(r *replica) error {
		a.noteReadProgress()
		switch r.learnList(list, a.mayRepair()) {
		case verdictStale:
			return merry.Errorf("the object API listed revision %d, older than what is known here, %d", list.Revision, r.watchFrom())
		case verdictInvalid:
			return merry.Errorf("the objects in the object API are invalid and there is no earlier configuration: %w", r.faults)
		}
		return nil
	})
}

func (a *Agent) learnEvent(event Event) error {
	return a.learn(func(r *replica) error {
		a.noteReadProgress()
		r.learnEvent(event)
		return nil
	})
}

// learnUpdate takes in what a peer has in force. Where this node finds it
// invalid, as an older release may, it keeps what it has.
func (a *Agent) learnUpdate(update Update) (verdict, error) {
	var result verdict
	err := a.learn(func(r *replica) error {
		var faults Faults
		result, faults = r.learnUpdate(update)
		if len(faults) > 0 {
			return merry.Errorf("can't apply configuration version %d of a peer: %w", update.Version, faults)
		}
		return nil
	})
	return result, err
}

// learn changes the replica, saves what is new and puts it in force. Where it
// can't be saved the replica stays as it was.
func (a *Agent) learn(change func(*replica) error) error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	next := a.replica
	err := change(&next)
	if err == nil {
		err = a.save(&next)
	}
	if err != nil {
		a.replica.faults = next.faults
		return err
	}
	a.report(next.faults)
	a.replica = next
	if a.holder.Move(next.snapshot) {
		a.logger.Info("configuration in force", zap.Uint64("version", next.snapshot.Version()))
		a.wakeUp()
	}
	return nil
}

// save writes the next state to the archive where it differs.
func (a *Agent) save(next *replica) error {
	if a.archive == nil || next.snapshot.Version() == a.replica.snapshot.Version() {
		return nil
	}
	return a.archive.Save(next.update(0))
}

// report logs faults that are new.
func (a *Agent) report(faults Faults) {
	known := make(map[Fault]bool, len(a.replica.faults))
	for _, fault := range a.replica.faults {
		known[fault] = true
	}
	for _, fault := range faults {
		if known[fault] {
			continue
		}
		a.logger.Error("configuration object refused",
			zap.String("object", fault.Key.String()),
			zap.Uint64("object_version", fault.Version),
			zap.String("field", fault.Field),
			zap.String("problem", fault.Problem))
	}
}
