package configuration

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/ansel1/merry/v2"

	"github.com/marblering/marblering/state/result"
)

// intentKey is the one object that every command writes before its own: the
// latest command. The store has conditions on one object only, so this orders
// commands on different objects, each of which is checked beside all before it.
var intentKey = Key{Kind: "configuration_intent", Name: SingletonName}

// errOvertaken says that another command was recorded first.
var errOvertaken = merry.Sentinel("another command was recorded first")

// intent is a recorded command. Whoever records the next one first completes
// it, so that it survives the node that recorded it.
type intent struct {
	Target Key `json:"target"`
	// Expected is the version of the target that Body replaces.
	Expected  uint64          `json:"expected"`
	Body      json.RawMessage `json:"body"`
	WrittenBy WrittenBy       `json:"written_by"`
	// version of the stored intent; 0 where there has been none.
	version uint64
}

// readIntent returns the latest command.
func (a *Acceptor) readIntent(ctx context.Context) (intent, error) {
	object, err := a.agent.platform.Get(ctx, intentKey)
	if err != nil || object.Deleted {
		return intent{version: object.Version}, err
	}
	latest := intent{}
	if err := json.Unmarshal(object.Body, &latest); err != nil {
		return intent{}, merry.Errorf("%s is damaged: %w", intentKey, err)
	}
	latest.version = object.Version
	return latest, nil
}

// complete does what a recorded command has left undone, and waits until this
// node knows its write. A conflict says that it was done, and written over
// since.
func (a *Acceptor) complete(ctx context.Context, latest intent) error {
	if latest.Body == nil {
		return nil
	}
	current, err := a.agent.platform.Get(ctx, latest.Target)
	if err != nil {
		return err
	}
	if current.Version == latest.Expected {
		current, err = a.agent.platform.Put(ctx, latest.Target, latest.Expected, latest.Body)
	}
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		current, err = conflict.Current, nil
	}
	if err != nil {
		return err
	}
	return a.catchUp(ctx, current.Version)
}

// record makes the change the latest command, if that is still the one given.
func (a *Acceptor) record(ctx context.Context, change Change, latest, next intent) error {
	next.WrittenBy = latest.WrittenBy.next(change.CommandID, change.Operator)
	body, err := json.Marshal(next)
	if err != nil {
		return result.Errorf(result.Internal, "can't encode command %s: %v", change.CommandID, err)
	}
	_, err = a.agent.platform.Put(ctx, intentKey, latest.version, body)
	var conflict *ConflictError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		return errOvertaken
	case errors.Is(err, ErrRefused):
		return result.Errorf(result.BadRequest, "%s: %v", change.Key, err)
	case errors.Is(err, ErrUnavailable):
		return unavailable(change, "can't record the command", err)
	}
	return unresolved(change, err)
}
