package execution

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/state/program"
	"github.com/marblering/marblering/state/result"
)

// cancelTimeout bounds the best-effort cancel of an abandoned request.
const cancelTimeout = 2 * time.Second

// performAdmitted runs the attempt that the record gave to this executor. An
// attempt that this process has begun before is never begun again.
func (e *Executor) performAdmitted(ctx context.Context, current *call, found entry) (Answer, bool, error) {
	admitted := found.outcome.Call
	choice := found.choice
	if !found.begun && e.attempts.isLost(keyOf(current.request.Program, admitted)) {
		release(choice, current, errNotAdmitted)
		return e.replaceAndPerform(ctx, current, admitted, &EngineError{Dispatched: true, Cause: errExecutorLost})
	}
	if !found.begun {
		release(choice, current, errNotAdmitted)
		if err := e.pause(ctx, pollPause); err != nil {
			return Answer{}, true, unresolved("the answer to call %d is still being stored", admitted.GetSequence())
		}
		return Answer{}, false, nil
	}
	if admitted.GetEngine() != choice.Engine {
		// An earlier try of ours was stored after all, with another engine. What
		// became of the attempts before it isn't known here.
		current.ran = current.ran || admitted.GetAttempt() > 1
		release(choice, current, errNotAdmitted)
		return e.replaceAndPerform(ctx, current, admitted, &EngineError{Cause: errNotAdmitted})
	}
	return e.perform(ctx, current, admitted, choice, found.tree)
}

func keyOf(id string, admitted *statev1.Call) attemptKey {
	return attemptKey{program: id, sequence: admitted.GetSequence(), attempt: admitted.GetAttempt()}
}

func referenceOf(id string, admitted *statev1.Call) program.AttemptReference {
	return program.AttemptReference{Program: id, Sequence: admitted.GetSequence(), Attempt: admitted.GetAttempt()}
}

// perform runs one attempt whose key is begun, and the attempts that follow it.
// settled is false where the record must be looked at again.
func (e *Executor) perform(ctx context.Context, current *call, admitted *statev1.Call, choice Choice, tree *statev1.ProgramTree) (answer Answer, settled bool, err error) {
	target := program.Find(tree, current.request.Program)
	chain, err := e.Turns.Chain(ctx, target.GetId(), target.GetChainHead())
	if err != nil {
		release(choice, current, err)
		answer, err = e.giveUp(ctx, current, admitted, current.notRun(result.HistoryUnavailable), false, err)
		return answer, true, err
	}
	start := Start{
		Program:  target.GetId(),
		Sequence: admitted.GetSequence(),
		Attempt:  admitted.GetAttempt(),
		Engine:   choice.Engine,
		Model:    tree.GetModel(),
		Reason:   choice.Reason,
	}
	answered, err := e.dispatch(ctx, current, start, choice, tree, append(chain.Messages(), current.request.Messages...))
	if err != nil {
		return e.replaceAndPerform(ctx, current, admitted, err)
	}
	turn := &statev1.Turn{
		Program:       target.GetId(),
		Sequence:      admitted.GetSequence(),
		Previous:      target.GetChainHead(),
		Key:           current.request.Key,
		RequestDigest: current.digest[:],
		Messages:      messagesJSON(current.request.Messages),
		Answer:        answerJSON(answered.Content),
		FinishReason:  answered.FinishReason,
		PromptTokens:  answered.Usage.PromptTokens,
		OutputTokens:  answered.Usage.OutputTokens,
		CachedTokens:  answered.Usage.CachedTokens,
		Engine:        choice.Engine,
		Model:         tree.GetModel(),
		CreatedUnixMs: e.nowUnixMS(),
	}
	answer, err = e.settle(ctx, current, admitted, start, choice.Address, turn)
	return answer, true, err
}

// dispatch sends the attempt to the engine and streams its text to the caller.
func (e *Executor) dispatch(ctx context.Context, current *call, start Start, choice Choice, tree *statev1.ProgramTree, messages []json.RawMessage) (EngineAnswer, error) {
	request := EngineRequest{
		RequestID:    RequestID(start.Program, start.Sequence, start.Attempt),
		Model:        tree.GetModel(),
		Adapter:      tree.GetAdapter(),
		Messages:     messages,
		OutputTokens: e.outputTokens(current, tree),
		Priority:     choice.Priority,
		Hold:         start.Program,
	}
	began := e.Now()
	firstText := time.Duration(0)
	current.sink.start(start)
	answered, err := e.Engines.Complete(ctx, choice.Address, request, func(text string) error {
		if firstText == 0 {
			firstText = e.Now().Sub(began)
		}
		current.sink.text(text)
		return nil
	})
	report := AttemptReport{
		Program:   start.Program,
		Usage:     answered.Usage,
		FirstText: firstText,
		Total:     e.Now().Sub(began),
		Err:       err,
	}
	var failure *EngineError
	if errors.As(err, &failure) {
		report.Leaving = failure.Leaving
	}
	choice.Release(report)
	if err != nil {
		e.logAttempt(start, choice, err)
		e.cancel(ctx, choice.Address, request.RequestID, failure)
	}
	return answered, err
}

// cancel asks the engine to stop what it may still be generating. Where this node stops,
// the caller doesn't wait for the engine.
func (e *Executor) cancel(ctx context.Context, address, requestID string, failure *EngineError) {
	if failure != nil && !failure.Dispatched {
		return
	}
	if isStopping(ctx) {
		e.settling.Go(func() { e.cancelNow(ctx, address, requestID) })
		return
	}
	e.cancelNow(ctx, address, requestID)
}

func (e *Executor) cancelNow(ctx context.Context, address, requestID string) {
	cancelContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	if err := e.Engines.Cancel(cancelContext, address, requestID); err != nil {
		e.Logger.Debug("request at the engine not cancelled", zap.String("request", requestID), zap.Error(err))
	}
}

func (e *Executor) logAttempt(start Start, choice Choice, err error) {
	e.Logger.Warn("attempt failed",
		zap.String("program", start.Program),
		zap.Uint64("sequence", start.Sequence),
		zap.Uint32("attempt", start.Attempt),
		zap.String("engine", choice.Engine),
		zap.Error(err))
}

// RequestID names an attempt towards engines.
func RequestID(id string, sequence uint64, attempt uint32) string {
	return fmt.Sprintf("%s/%d/%d", id, sequence, attempt)
}

// replaceAndPerform begins the next attempt after a failed one, at another
// engine, or ends the call.
func (e *Executor) replaceAndPerform(ctx context.Context, current *call, failed *statev1.Call, cause error) (Answer, bool, error) {
	lost := wasDispatched(cause)
	current.ran = current.ran || lost
	if isStopping(ctx) {
		e.attempts.lose(keyOf(current.request.Program, failed))
		return Answer{}, true, unresolved("this node stopped before call %d was answered", failed.GetSequence())
	}
	if !errors.Is(cause, errExecutorLost) {
		current.excluded = append(current.excluded, failed.GetEngine())
	}
	if ctx.Err() != nil || !e.mayRetry(current, cause) {
		answer, err := e.giveUp(ctx, current, failed, result.EngineFailed, lost, cause)
		return answer, true, err
	}
	tree, err := e.look(ctx, current.request)
	if err != nil {
		return Answer{}, true, e.abandon(ctx, current, failed, err)
	}
	choice, err := e.choose(ctx, current, tree)
	if err != nil {
		answer, err := e.giveUp(ctx, current, failed, current.notRun(result.NoEngine), lost, cause)
		return answer, true, err
	}
	next, tree, begun, err := e.replace(ctx, current, failed, choice, lost)
	if err != nil {
		release(choice, current, err)
		return Answer{}, true, e.abandon(ctx, current, failed, err)
	}
	e.attempts.end(keyOf(current.request.Program, failed))
	if !begun {
		release(choice, current, errNotAdmitted)
		return Answer{}, false, nil
	}
	return e.perform(ctx, current, next, choice, tree)
}

// mayRetry asks the retry budget, which keeps failing engines from getting a
// multiple of the load. A call whose node was lost has added no load to what
// the others serve, and is taken over in any case.
func (e *Executor) mayRetry(current *call, cause error) bool {
	if !wasDispatched(cause) || errors.Is(cause, errExecutorLost) {
		return true
	}
	return e.Limiter.Retry(current.request.Tenant)
}

// notRun returns the code, which says that the call was not run, or that the
// engines failed it where an earlier attempt may have run.
func (c *call) notRun(code result.Code) result.Code {
	if c.ran {
		return result.EngineFailed
	}
	return code
}

func wasDispatched(cause error) bool {
	var failure *EngineError
	if errors.As(cause, &failure) {
		return failure.Dispatched
	}
	return true
}

// owns reports whether the record gives the call's current attempt to this
// executor.
func (e *Executor) owns(candidate *statev1.Call) bool {
	return candidate.GetState() == statev1.CallState_CALL_STATE_DISPATCHED && candidate.GetExecutor() == e.Identity
}

// replace stores the next attempt and returns the call as the record holds it.
// begun is set where the next attempt is this executor's to perform.
func (e *Executor) replace(ctx context.Context, current *call, failed *statev1.Call, choice Choice, lost bool) (next *statev1.Call, tree *statev1.ProgramTree, begun bool, err error) {
	reference := referenceOf(current.request.Program, failed)
	defer e.attempts.announce(current.key())()
	tree, err = e.applyExisting(ctx, current.request.Program, func(tree *statev1.ProgramTree) (*statev1.ProgramTree, error) {
		next, _ = program.Replace(tree, reference, program.Replacement{
			Executor:        e.Identity,
			ExecutorAddress: e.Address,
			Engine:          choice.Engine,
			EngineAddress:   choice.Address,
			Lost:            lost,
			MaxAttempts:     e.Limits.MaxAttempts,
			NowUnixMS:       e.nowUnixMS(),
		})
		return tree, nil
	})
	if err != nil || next == nil || !e.owns(next) {
		return next, tree, false, err
	}
	return next, tree, e.attempts.begin(keyOf(current.request.Program, next), e.Now()), nil
}

func messagesJSON(messages []json.RawMessage) []byte {
	// Raw messages were checked to be JSON when the request was read.
	encoded, err := json.Marshal(messages)
	if err != nil {
		return nil
	}
	return encoded
}

type assistantMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func answerJSON(content string) []byte {
	// A struct of two strings always encodes.
	encoded, err := json.Marshal(assistantMessage{Role: "assistant", Content: content})
	if err != nil {
		return nil
	}
	return encoded
}
