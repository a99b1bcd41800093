package execution

import (
	"context"
	"encoding/json"
	"time"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/state/program"
	"github.com/marblering/marblering/state/result"
)

const (
	// pollPause is the longest pause between two looks at a call that another
	// node runs.
	pollPause = 200 * time.Millisecond
	// statusTimeout bounds one question to an executor.
	statusTimeout = time.Second
	// deadlineGrace is added to a call's deadline before an executor that can't
	// be reached loses it.
	deadlineGrace = 5 * time.Second
)

// awaitSame waits for the same call at another executor, and takes it over once
// that one has lost it.
func (e *Executor) awaitSame(ctx context.Context, current *call, running *statev1.Call) (Answer, bool, error) {
	if !e.Lost(ctx, current.request.Program, running) {
		if err := e.pause(ctx, pollPause); err != nil {
			return Answer{}, true, unresolved("call %d is still running at another node", running.GetSequence())
		}
		return Answer{}, false, nil
	}
	return e.replaceAndPerform(ctx, current, running, &EngineError{Dispatched: true, Cause: errExecutorLost})
}

// awaitEarlier waits for the calls before this one. One whose executor is lost
// is ended after a grace in which its own caller may repeat it.
func (e *Executor) awaitEarlier(ctx context.Context, current *call, running *statev1.Call) (Answer, bool, error) {
	if running != nil && e.Lost(ctx, current.request.Program, running) {
		if err := e.endAbandoned(ctx, current, running); err != nil {
			return Answer{}, true, err
		}
		return Answer{}, false, nil
	}
	if err := e.pause(ctx, pollPause); err == nil {
		return Answer{}, false, nil
	}
	return e.refuseLate(ctx, current, running)
}

// refuseLate records that the call was not run, then says so.
func (e *Executor) refuseLate(ctx context.Context, current *call, running *statev1.Call) (Answer, bool, error) {
	refusal := result.Errorf(result.SequenceOutOfTurn, "the calls before sequence %d have not arrived", current.request.Sequence)
	if running != nil {
		refusal = result.Errorf(result.CallInProgress, "call %d is still running", running.GetSequence()).WithRetryAfter(unresolvedRetry)
	}
	storeContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), settlePatience)
	defer cancel()
	request := program.AdmitRequest{
		Program:       current.request.Program,
		Tenant:        current.request.Tenant,
		Key:           current.request.Key,
		RequestDigest: current.digest[:],
	}
	var outcome program.AdmitOutcome
	_, err := e.applyExisting(storeContext, current.request.Program, func(tree *statev1.ProgramTree) (*statev1.ProgramTree, error) {
		var err error
		outcome, err = program.Refuse(tree, request, refusal)
		return tree, err
	})
	if err != nil {
		return Answer{}, true, err
	}
	if outcome.Kind == program.Final {
		return Answer{}, true, outcome.Refusal
	}
	return Answer{}, true, unresolved("the call with key %q is known to another node", current.request.Key)
}

// endAbandoned ends a lost call of another key, once its grace is over. An
// executor that only seemed to be gone keeps it.
func (e *Executor) endAbandoned(ctx context.Context, current *call, running *statev1.Call) error {
	if err := e.pause(ctx, 2*e.Limits.TakeoverGrace); err != nil {
		return unresolved("call %d has lost its executor", running.GetSequence())
	}
	if !e.Lost(ctx, current.request.Program, running) {
		return nil
	}
	return e.EndLost(ctx, current.request.Program, running)
}

// EndLost ends a call whose executor is gone: nobody will answer it.
func (e *Executor) EndLost(ctx context.Context, id string, running *statev1.Call) error {
	code := result.EngineFailed
	if !running.GetRepeatable() {
		code = result.OutcomeUnknown
	}
	_, err := e.applyExisting(ctx, id, func(tree *statev1.ProgramTree) (*statev1.ProgramTree, error) {
		program.Fail(tree, referenceOf(id, running), code, true)
		return tree, nil
	})
	return err
}

var errExecutorLost = result.Errorf(result.EngineFailed, "the node that ran the attempt is gone")

// Lost reports whether the executor of a dispatched call has lost it. Safety
// doesn't rest on the answer: the attempt's number fences off a late result.
func (e *Executor) Lost(ctx context.Context, id string, running *statev1.Call) bool {
	if running.GetExecutor() == e.Identity {
		return !e.attempts.isStoring(flightKey{program: id, key: running.GetKey()}) && !e.attempts.has(keyOf(id, running))
	}
	if e.Liveness.Gone(running.GetExecutor()) {
		return true
	}
	statusContext, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	switch e.Peers.AttemptStatus(statusContext, running.GetExecutorAddress(), running.GetExecutor(), id,
		running.GetSequence(), running.GetAttempt()) {
	case AttemptLost:
		return e.stillHeld(ctx, id, running)
	case AttemptRunning:
		return false
	}
	deadline := time.UnixMilli(running.GetDeadlineUnixMs()).Add(deadlineGrace)
	return running.GetDeadlineUnixMs() != 0 && e.Now().After(deadline)
}

// stillHeld reads the record again: an executor that denies the attempt may
// have finished it between the two looks.
func (e *Executor) stillHeld(ctx context.Context, id string, running *statev1.Call) bool {
	held := false
	_, err := e.applyExisting(ctx, id, func(tree *statev1.ProgramTree) (*statev1.ProgramTree, error) {
		held = false
		target := program.Find(tree, id)
		if found := program.FindCall(target, running.GetSequence()); found != nil {
			held = found.GetState() == statev1.CallState_CALL_STATE_DISPATCHED && found.GetAttempt() == running.GetAttempt()
		}
		return tree, nil
	})
	return err == nil && held
}

// replay sends the stored answer of a finished call.
func (e *Executor) replay(ctx context.Context, current *call, finished *statev1.Call) (Answer, error) {
	turn, err := e.Turns.Turn(ctx, current.request.Program, finished.GetSequence(), finished.GetTurnDigest())
	if err != nil {
		return Answer{}, unresolved("the stored answer to call %d can't be read: %v", finished.GetSequence(), err)
	}
	return e.deliver(current, replayStart(turn, finished.GetAttempt()), turn)
}

func replayStart(turn *statev1.Turn, attempt uint32) Start {
	return Start{
		Program:  turn.GetProgram(),
		Sequence: turn.GetSequence(),
		Attempt:  attempt,
		Engine:   turn.GetEngine(),
		Model:    turn.GetModel(),
		Replayed: true,
		Reason:   "stored answer",
	}
}

// replayOld finds a call that has left the record's window in the history.
func (e *Executor) replayOld(ctx context.Context, current *call, tree *statev1.ProgramTree) (Answer, error) {
	target := program.Find(tree, current.request.Program)
	chain, err := e.Turns.Chain(ctx, target.GetId(), target.GetChainHead())
	if err != nil {
		return Answer{}, unresolved("the program's history can't be read: %v", err)
	}
	for _, turn := range chain.Turns() {
		if turn.GetKey() != current.request.Key {
			continue
		}
		if [32]byte(turn.GetRequestDigest()) != current.digest {
			return Answer{}, result.Errorf(result.KeyConflict, "key %q was used for another request", current.request.Key)
		}
		return e.deliver(current, replayStart(turn, 1), turn)
	}
	return Answer{}, result.Errorf(result.OutcomeUnknown, "key %q belongs to an old call that left no answer", current.request.Key)
}

func contentOf(answer []byte) string {
	var message assistantMessage
	if json.Unmarshal(answer, &message) != nil {
		return ""
	}
	return message.Content
}
