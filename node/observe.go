package node

import (
	"context"
	"errors"
	"time"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/coordination/execution"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/state/result"
)

// observedRecords counts the changes of program records.
type observedRecords struct {
	execution.Records
	instruments *instruments
}

// Apply implements execution.Records.
func (o observedRecords) Apply(ctx context.Context, root string, change execution.Change) (*statev1.ProgramTree, error) {
	began := time.Now()
	tree, err := o.Records.Apply(ctx, root, change)
	o.instruments.recordSeconds.Observe(time.Since(began).Seconds())
	o.instruments.recordChanges.WithLabelValues(changeOutcome(err)).Inc()
	return tree, err
}

func changeOutcome(err error) string {
	var refusal *result.Error
	switch {
	case err == nil:
		return changeStored
	case errors.As(err, &refusal):
		return changeRefused
	case errors.Is(err, register.ErrNoQuorum):
		return changeNoQuorum
	}
	return changeUnknown
}

// observedRouter counts the decisions on engines.
type observedRouter struct {
	execution.Router
	instruments *instruments
}

// Choose implements execution.Router.
func (o observedRouter) Choose(ctx context.Context, query execution.Query) (execution.Choice, error) {
	choice, err := o.Router.Choose(ctx, query)
	o.instruments.decisions.WithLabelValues(decisionResult(err)).Inc()
	return choice, err
}

func decisionResult(err error) string {
	var refusal *result.Error
	switch {
	case err == nil:
		return decisionChosen
	case errors.As(err, &refusal):
		return refusal.Code.String()
	}
	return result.Internal.String()
}

// observedPeers counts the attempts that their executor says are lost.
type observedPeers struct {
	execution.Peers
	instruments *instruments
}

// AttemptStatus implements execution.Peers.
func (o observedPeers) AttemptStatus(ctx context.Context, address, executor, program string, sequence uint64, attempt uint32) execution.AttemptState {
	state := o.Peers.AttemptStatus(ctx, address, executor, program, sequence, attempt)
	if state == execution.AttemptLost {
		o.instruments.lostAttempts.WithLabelValues(witnessExecutor).Inc()
	}
	return state
}

// observedLiveness counts the attempts that are lost because the membership says
// that their executor is gone.
type observedLiveness struct {
	execution.Liveness
	instruments *instruments
}

// Gone implements execution.Liveness.
func (o observedLiveness) Gone(executor string) bool {
	gone := o.Liveness.Gone(executor)
	if gone {
		o.instruments.lostAttempts.WithLabelValues(witnessMembership).Inc()
	}
	return gone
}

// attemptOutcome names how an attempt at an engine ended.
func attemptOutcome(err error) string {
	var failure *execution.EngineError
	switch {
	case err == nil:
		return attemptAnswered
	case !errors.As(err, &failure):
		return attemptFailed
	case failure.Leaving:
		return attemptLeaving
	case !failure.Dispatched:
		return attemptRefused
	}
	return attemptFailed
}
