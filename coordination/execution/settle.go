package execution

import (
	"context"
	"time"

	"go.uber.org/zap"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/state/program"
	"github.com/marblering/marblering/state/result"
)

// Pauses between tries to store an outcome.
const (
	// settlePauseFirst is the first pause. Each that follows is twice as long, up to
	// settlePauseMost.
	settlePauseFirst = 50 * time.Millisecond
	settlePauseMost  = 2 * time.Second
	// settlePatience is how long a caller waits for its answer to be stored
	// before it is told that the outcome is unresolved.
	settlePatience = 5 * time.Second
)

// settle stores the turn and finishes the call. The caller's answer is whole
// only afterwards. Where the store doesn't answer in time the caller is told
// that the outcome is unresolved, and the storing goes on in the background.
func (e *Executor) settle(ctx context.Context, current *call, admitted *statev1.Call, start Start, address string, turn *statev1.Turn) (Answer, error) {
	outcome := make(chan settled, 1)
	background, cancel := context.WithTimeout(context.WithoutCancel(ctx), e.Limits.SettleTimeout)
	e.settling.Add(1)
	go func() {
		defer e.settling.Done()
		defer cancel()
		call, err := e.store(background, admitted, address, turn)
		if err == nil {
			e.attempts.end(keyOf(current.request.Program, admitted))
		} else {
			e.attempts.lose(keyOf(current.request.Program, admitted))
		}
		outcome <- settled{call: call, err: err}
	}()
	patience, stop := settlePatienceOf(ctx)
	defer stop()
	select {
	case stored := <-outcome:
		return e.answer(ctx, current, stored, start, turn)
	case <-patience.Done():
		return Answer{}, unresolved("the answer to call %d is not stored yet", admitted.GetSequence())
	}
}

// settlePatienceOf returns a context that ends after settlePatience, or once the node stops.
func settlePatienceOf(ctx context.Context) (patience context.Context, stop func()) {
	patience, cancel := context.WithTimeout(context.WithoutCancel(ctx), settlePatience)
	detach := context.AfterFunc(ctx, func() {
		if isStopping(ctx) {
			cancel()
		}
	})
	return patience, func() { detach(); cancel() }
}

type settled struct {
	call *statev1.Call
	err  error
}

// store puts the turn on a quorum, then appends it to the record. The address is
// that of the engine that answered.
func (e *Executor) store(ctx context.Context, admitted *statev1.Call, address string, turn *statev1.Turn) (*statev1.Call, error) {
	var digest []byte
	err := e.insist(ctx, func() error {
		var err error
		digest, err = e.Turns.Put(ctx, turn)
		return err
	})
	if err != nil {
		return nil, err
	}
	reference := referenceOf(turn.GetProgram(), admitted)
	var stored *statev1.Call
	var tree *statev1.ProgramTree
	err = e.insist(ctx, func() error {
		var err error
		tree, err = e.applyExisting(ctx, turn.GetProgram(), func(tree *statev1.ProgramTree) (*statev1.ProgramTree, error) {
			stored, _ = program.Finish(tree, reference, program.Completion{
				TurnDigest:   digest,
				PromptTokens: turn.GetPromptTokens(),
				OutputTokens: turn.GetOutputTokens(),
				NowUnixMS:    e.nowUnixMS(),
			})
			return tree, nil
		})
		return err
	})
	if err == nil {
		e.releaseStray(ctx, tree, turn.GetProgram(), address, turn.GetEngine())
	}
	return stored, err
}

// insist repeats the action until it succeeds or the context ends.
func (e *Executor) insist(ctx context.Context, action func() error) error {
	pause := settlePauseFirst
	for {
		err := action()
		if err == nil {
			return nil
		}
		if waitErr := e.pause(ctx, pause); waitErr != nil {
			return err
		}
		pause = min(2*pause, settlePauseMost)
	}
}

// answer tells the caller what the record holds after the call was settled.
func (e *Executor) answer(ctx context.Context, current *call, stored settled, start Start, turn *statev1.Turn) (Answer, error) {
	if stored.err != nil {
		e.Logger.Warn("answer not stored", zap.String("program", start.Program),
			zap.Uint64("sequence", start.Sequence), zap.Error(stored.err))
		return Answer{}, unresolved("storing the answer to call %d: %v", start.Sequence, stored.err)
	}
	switch {
	case stored.call == nil:
		return Answer{}, unresolved("call %d is no longer in the record's window", start.Sequence)
	case stored.call.GetState() != statev1.CallState_CALL_STATE_FINISHED:
		return e.superseded(ctx, current, stored.call)
	case stored.call.GetAttempt() != start.Attempt:
		return e.replay(ctx, current, stored.call)
	}
	return e.deliver(current, start, turn)
}

// superseded answers a caller whose attempt was replaced or ended by another
// node while it ran.
func (e *Executor) superseded(ctx context.Context, current *call, stored *statev1.Call) (Answer, error) {
	if stored.GetState() != statev1.CallState_CALL_STATE_DISPATCHED {
		return Answer{}, program.FinalError(stored)
	}
	return e.run(ctx, current)
}

// deliver sends what is left of the stored answer.
func (e *Executor) deliver(current *call, start Start, turn *statev1.Turn) (Answer, error) {
	content := contentOf(turn.GetAnswer())
	if err := current.sink.complete(start, content); err != nil {
		return Answer{}, unresolved("the stored answer to call %d could not be sent: %v", start.Sequence, err)
	}
	return Answer{
		Start:        start,
		ID:           RequestID(start.Program, start.Sequence, start.Attempt),
		Content:      content,
		FinishReason: turn.GetFinishReason(),
		Usage: Usage{
			PromptTokens: turn.GetPromptTokens(),
			OutputTokens: turn.GetOutputTokens(),
			CachedTokens: turn.GetCachedTokens(),
		},
		Created: time.UnixMilli(turn.GetCreatedUnixMs()),
	}, nil
}

// giveUp ends the call in the record and tells the caller. A call that may have
// run and must not be repeated ends as unknown.
func (e *Executor) giveUp(ctx context.Context, current *call, failed *statev1.Call, code result.Code, spent bool, cause error) (Answer, error) {
	if spent && !failed.GetRepeatable() {
		code = result.OutcomeUnknown
	}
	reference := referenceOf(current.request.Program, failed)
	storeContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), settlePatience)
	defer cancel()
	var stored *statev1.Call
	_, err := e.applyExisting(storeContext, current.request.Program, func(tree *statev1.ProgramTree) (*statev1.ProgramTree, error) {
		stored, _ = program.Fail(tree, reference, code, spent)
		return tree, nil
	})
	if err != nil {
		return Answer{}, e.abandon(ctx, current, failed, err)
	}
	e.attempts.end(keyOf(current.request.Program, failed))
	switch stored.GetState() {
	case statev1.CallState_CALL_STATE_FINISHED:
		return e.replay(ctx, current, stored)
	case statev1.CallState_CALL_STATE_FAILED:
		refusal := program.FinalError(stored)
		refusal.Message += " Cause: " + cause.Error()
		return Answer{}, refusal
	}
	return Answer{}, unresolved("call %d was taken over", failed.GetSequence())
}

// abandon leaves the attempt to whoever asks next: it no longer counts as
// running here, and is never begun again.
func (e *Executor) abandon(_ context.Context, current *call, failed *statev1.Call, err error) error {
	e.attempts.lose(keyOf(current.request.Program, failed))
	return unresolved("the outcome of call %d could not be recorded: %v", failed.GetSequence(), err)
}
