package configuration

import (
	"context"
	"errors"
	"time"

	"github.com/marblering/marblering/coordination/sleep"
	"github.com/marblering/marblering/state/result"
)

// Pauses of an acceptance.
const (
	retryPauseFirst = 50 * time.Millisecond
	retryPauseLast  = time.Second
	// retryAfter is advised where the command may be asked for again.
	retryAfter = 2 * time.Second
)

// AcceptorOptions are what an Acceptor is made of.
type AcceptorOptions struct {
	Agent *Agent
	// Sleep pauses; it fails when the context ends first. Nil means a timer.
	Sleep func(ctx context.Context, pause time.Duration) error
	// Together runs functions at the same time until all have returned. Nil
	// means goroutines, up to Settings.Parallel.
	Together func(functions []func())
}

// Acceptor carries out operators' changes. Any node may do so at any time; of
// two that change the same version of an object exactly one wins.
type Acceptor struct {
	agent    *Agent
	sleep    func(ctx context.Context, pause time.Duration) error
	together func(functions []func())
}

// NewAcceptor makes an Acceptor that works through the node's agent.
func NewAcceptor(options AcceptorOptions) *Acceptor {
	if options.Sleep == nil {
		options.Sleep = sleep.For
	}
	if options.Together == nil {
		options.Together = together(options.Agent.settings.Parallel)
	}
	return &Acceptor{agent: options.Agent, sleep: options.Sleep, together: options.Together}
}

// Accept checks the change against the whole configuration, writes it where the
// object is at the expected version, and installs it at a majority of every
// replica set. Errors are of type *result.Error:
//
//   - BadRequest, InvalidConfiguration, VersionConflict, UnknownObject and
//     PlatformUnavailable: the change isn't in force and never will be.
//   - CommandUnresolved: the write may have been done, or may yet be, by this
//     try or, with Again set, by an earlier one.
//   - NotInForce: the write was done; it isn't yet known to be in force.
func (a *Acceptor) Accept(ctx context.Context, change Change) (Accepted, error) {
	if err := change.check(); err != nil {
		return Accepted{}, err
	}
	ctx, cancel := a.withDeadline(ctx)
	defer cancel()
	accepted, err := a.settle(ctx, change)
	if err != nil {
		return Accepted{}, openIfAgain(change, err)
	}
	if err := a.catchUp(ctx, accepted.Version); err != nil {
		return Accepted{}, notInForce(change.Key, accepted.Version, "this node can't read it back: %v", err)
	}
	if faults := a.agent.rejection(change.Key, accepted.Version); faults != nil {
		return Accepted{}, notInForce(change.Key, accepted.Version, "it is invalid beside an object that was written without a command: %v", faults)
	}
	accepted.ConfigurationVersion, err = a.install(ctx, change, accepted.Version)
	return accepted, err
}

func (a *Acceptor) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, has := ctx.Deadline(); has {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, a.agent.settings.AcceptTimeout)
}

// settle writes the change, or finds what an earlier try of the command wrote.
// It starts over where another command was written in between.
func (a *Acceptor) settle(ctx context.Context, change Change) (Accepted, error) {
	for pause := retryPauseFirst; ; pause = min(2*pause, retryPauseLast) {
		accepted, err := a.try(ctx, change)
		if !errors.Is(err, errOvertaken) {
			return accepted, err
		}
		if err := a.sleep(ctx, pause); err != nil {
			return Accepted{}, unavailable(change, "other commands were always first", err)
		}
	}
}

// try writes the change where no other command is written in between.
func (a *Acceptor) try(ctx context.Context, change Change) (Accepted, error) {
	latest, err := a.readIntent(ctx)
	if err != nil {
		return Accepted{}, unavailable(change, "can't read the latest command", err)
	}
	if err := a.complete(ctx, latest); err != nil {
		return Accepted{}, unavailable(change, "can't complete the command before this one", err)
	}
	current, err := a.agent.platform.Get(ctx, change.Key)
	if err != nil {
		return Accepted{}, unavailable(change, "can't read the object", err)
	}
	if Writer(current.Body).Includes(change.CommandID) {
		return Accepted{Key: change.Key, Version: current.Version, Repeated: true}, nil
	}
	if err := a.validate(ctx, change, current); err != nil {
		return Accepted{}, err
	}
	version, err := a.write(ctx, change, current, latest)
	return Accepted{Key: change.Key, Version: version}, err
}

// validate checks the whole that the change would make.
func (a *Acceptor) validate(ctx context.Context, change Change, current Object) error {
	if err := change.compare(current); err != nil {
		return err
	}
	if err := a.catchUp(ctx, current.Version); err != nil {
		return unavailable(change, "can't read the configuration to check the change against", err)
	}
	snapshot := a.agent.holder.Current()
	object := change.object(max(current.Version, snapshot.Version()) + 1)
	next, err := snapshot.Apply(object.Version, []Object{object})
	if err != nil {
		return result.Errorf(result.InvalidConfiguration, "%v", err)
	}
	if faults := checkMinimum(change.Key, snapshot, next); len(faults) > 0 {
		return result.Errorf(result.InvalidConfiguration, "%v", faults)
	}
	return nil
}

// write records the change as the latest command and then writes the object.
// Once it is recorded any node may write the object.
func (a *Acceptor) write(ctx context.Context, change Change, current Object, latest intent) (uint64, error) {
	body, err := change.body(Writer(current.Body))
	if err != nil {
		return 0, result.Errorf(result.InvalidConfiguration, "%s: the body isn't a JSON object: %v", change.Key, err)
	}
	recorded := intent{Target: change.Key, Expected: current.Version, Body: body}
	if err := a.record(ctx, change, latest, recorded); err != nil {
		return 0, err
	}
	written, err := a.agent.platform.Put(ctx, change.Key, current.Version, body)
	var conflict *ConflictError
	switch {
	case err == nil:
		return written.Version, nil
	case errors.As(err, &conflict):
		return 0, conflictError(change, conflict.Current)
	}
	return 0, unresolved(change, err)
}

// openIfAgain keeps a repeat from saying "not done" of an earlier try that may
// still be on its way to the store. Once the object has another version, that
// try can't be done any more.
func openIfAgain(change Change, err error) error {
	var failure *result.Error
	if !change.Again || !errors.As(err, &failure) {
		return err
	}
	switch failure.Code {
	case result.PlatformUnavailable, result.InvalidConfiguration, result.BadRequest:
		return result.Errorf(result.CommandUnresolved,
			"an earlier try of command %s may have been done; this one failed: %s", change.CommandID, failure.Message).WithRetryAfter(retryAfter)
	}
	return err
}

// catchUp waits until this node has looked at the store's version, and at the
// store at all.
func (a *Acceptor) catchUp(ctx context.Context, version uint64) error {
	caughtUp := func() bool { return a.agent.holder.Version() >= version && !a.agent.isUnread() }
	for pause := retryPauseFirst; !caughtUp(); pause = min(2*pause, retryPauseLast) {
		err := a.agent.followStore(ctx, caughtUp)
		if err == nil {
			return nil
		}
		if sleepErr := a.sleep(ctx, pause); sleepErr != nil {
			return err
		}
	}
	return nil
}

func unavailable(change Change, what string, err error) error {
	return result.Errorf(result.PlatformUnavailable, "%s: nothing was written: %s: %v", change.Key, what, err).WithRetryAfter(retryAfter)
}

func unresolved(change Change, err error) error {
	return result.Errorf(result.CommandUnresolved,
		"%s: command %s may have been done: %v", change.Key, change.CommandID, err).WithRetryAfter(retryAfter)
}

func notInForce(key Key, version uint64, format string, args ...any) error {
	err := result.Errorf(result.NotInForce, format, args...)
	err.Message = key.String() + " was written but isn't known to be in force: " + err.Message
	return err.WithRetryAfter(retryAfter)
}
