package program

import (
	"bytes"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/state/result"
)

// AdmitRequest asks for a call to be admitted and marked as dispatched in one change.
type AdmitRequest struct {
	Program string
	Tenant  string
	// Key is the caller's idempotency key, RequestDigest the digest of what it asks.
	Key           string
	RequestDigest []byte
	// Sequence is the number the caller gave; zero takes the next one.
	Sequence uint64
	// Repeatable is false for a call that may have one attempt only.
	Repeatable bool
	// NewTokens bounds the tokens of the new messages from above.
	NewTokens uint64
	// OutputTokens is the most the engine may generate.
	OutputTokens uint64
	// ContextTokens is the length of the model's context; zero for no limit.
	ContextTokens uint64
	// Executor is the incarnation of the node that runs the call.
	Executor        string
	ExecutorAddress string
	Engine          string
	EngineAddress   string
	// DeadlineUnixMS is zero for none.
	DeadlineUnixMS int64
	NowUnixMS      int64
}

// AdmitKind says what the record holds for the call.
type AdmitKind int

// Outcomes of Admit.
const (
	// Admitted means that the asking executor runs the call's current attempt.
	Admitted AdmitKind = iota + 1
	// Finished means that the call was answered before; Call names the turn.
	Finished
	// Final means that the call has ended without an answer; Refusal says how.
	Final
	// InProgress means that the same call runs at another executor.
	InProgress
	// Behind means that an earlier call of the program hasn't ended.
	Behind
	// Dropped means that the key is of a call that the record no longer keeps; the call
	// stands in the history.
	Dropped
)

// AdmitOutcome is what Admit found or did.
type AdmitOutcome struct {
	Kind AdmitKind
	// Call is the call of the key, for Behind the running call, or nil.
	Call *statev1.Call
	// Refusal is set for Final.
	Refusal *result.Error
	// Changed reports that the tree was changed and must be stored.
	Changed bool
}

// Admit finds the call with the key, or admits it: the call takes the next sequence
// number, reserves prompt and output in the budget, and names the executor, the engine and
// the engine's hold. A refusal is recorded under the key before anyone is told of it, so
// that a late duplicate of the request can't run. The error is a result.Error of Access or
// KeyConflict.
func Admit(tree *statev1.ProgramTree, request AdmitRequest) (AdmitOutcome, error) {
	target, err := Access(tree, request.Tenant, request.Program)
	if err != nil {
		return AdmitOutcome{}, err
	}
	if call := findKey(target, request.Key); call != nil {
		return known(call, request)
	}
	if refused, found := findDropped(target, request.Key); found {
		return dropped(request, refused), nil
	}
	if refusal := refusalFor(tree, target, request); refusal != nil {
		return refuse(tree, target, request, refusal), nil
	}
	if Running(target) != nil || request.Sequence > target.GetNextSequence() {
		return AdmitOutcome{Kind: Behind, Call: Running(target)}, nil
	}
	if refusal := budgetRefusal(tree, target, request); refusal != nil {
		return refuse(tree, target, request, refusal), nil
	}
	return admit(tree, target, request), nil
}

// Refuse records a refusal that was decided outside the record. Where the key is known
// already, it returns what the record holds, as Admit does.
func Refuse(tree *statev1.ProgramTree, request AdmitRequest, refusal *result.Error) (AdmitOutcome, error) {
	target, err := Access(tree, request.Tenant, request.Program)
	if err != nil {
		return AdmitOutcome{}, err
	}
	if call := findKey(target, request.Key); call != nil {
		return known(call, request)
	}
	if refused, found := findDropped(target, request.Key); found {
		return dropped(request, refused), nil
	}
	return refuse(tree, target, request, refusal), nil
}

// dropped returns the outcome for a key whose call the record no longer keeps.
func dropped(request AdmitRequest, refused bool) AdmitOutcome {
	if !refused {
		return AdmitOutcome{Kind: Dropped}
	}
	refusal := result.Errorf(result.SequenceOutOfTurn, "key %q belongs to an earlier call that was refused", request.Key)
	return AdmitOutcome{Kind: Final, Refusal: refusal}
}

// known returns the outcome for a key whose call the record keeps.
func known(call *statev1.Call, request AdmitRequest) (AdmitOutcome, error) {
	if !bytes.Equal(call.GetRequestDigest(), request.RequestDigest) {
		return AdmitOutcome{}, result.Errorf(result.KeyConflict, "key %q was used for another request", request.Key)
	}
	switch call.GetState() {
	case statev1.CallState_CALL_STATE_FINISHED:
		return AdmitOutcome{Kind: Finished, Call: call}, nil
	case statev1.CallState_CALL_STATE_DISPATCHED:
		if call.GetExecutor() == request.Executor {
			return AdmitOutcome{Kind: Admitted, Call: call}, nil
		}
		return AdmitOutcome{Kind: InProgress, Call: call}, nil
	default:
		return AdmitOutcome{Kind: Final, Call: call, Refusal: finalError(call)}, nil
	}
}

// finalError returns the error of a call that ended without an answer.
func finalError(call *statev1.Call) *result.Error {
	code := result.Code(call.GetResultCode())
	return result.Errorf(code, "call %d (key %q): %s", call.GetSequence(), call.GetKey(), code.Info().Meaning)
}

// refusalFor returns the refusal of a call that can't be admitted however long it waits,
// or nil.
func refusalFor(tree *statev1.ProgramTree, target *statev1.Program, request AdmitRequest) *result.Error {
	switch {
	case target.GetEnded():
		return result.Errorf(result.ProgramEnded, "program %q has ended: %s", target.GetId(), target.GetEndReason())
	case request.Sequence != 0 && request.Sequence < target.GetNextSequence():
		return result.Errorf(result.SequenceOutOfTurn, "sequence %d was taken by another call; the next is %d",
			request.Sequence, target.GetNextSequence())
	case target.GetNextSequence() > uint64(tree.GetTurnLimit()):
		return result.Errorf(result.TurnLimit, "program %q has taken its %d turns", target.GetId(), tree.GetTurnLimit())
	case request.DeadlineUnixMS != 0 && request.NowUnixMS > request.DeadlineUnixMS:
		return result.Errorf(result.DeadlineExceeded, "the deadline passed %d ms ago", request.NowUnixMS-request.DeadlineUnixMS)
	}
	return nil
}

// budgetRefusal returns the refusal of a call that needs more tokens than the model's
// context or the budget has, or nil.
func budgetRefusal(tree *statev1.ProgramTree, target *statev1.Program, request AdmitRequest) *result.Error {
	needed := reservation(target, request)
	if request.ContextTokens != 0 && needed > request.ContextTokens {
		return result.Errorf(result.ContextTooLong, "the call may take %d tokens, the model's context has %d",
			needed, request.ContextTokens)
	}
	if left := available(tree.GetBudget()); needed > left {
		return result.Errorf(result.BudgetExhausted, "the call may take %d tokens, the budget has %d left", needed, left)
	}
	return nil
}

// reservation returns the most tokens that the call can spend: the history as the engine
// counted it last, the new messages and the longest answer.
func reservation(target *statev1.Program, request AdmitRequest) uint64 {
	return target.GetHistoryTokens() + request.NewTokens + request.OutputTokens
}

// refuse records the refusal under the request's key.
func refuse(tree *statev1.ProgramTree, target *statev1.Program, request AdmitRequest, refusal *result.Error) AdmitOutcome {
	call := &statev1.Call{
		Key:           request.Key,
		RequestDigest: request.RequestDigest,
		State:         statev1.CallState_CALL_STATE_REFUSED,
		ResultCode:    uint32(refusal.Code),
	}
	target.Calls = append(target.Calls, call)
	trimCalls(tree, target)
	return AdmitOutcome{Kind: Final, Call: call, Refusal: refusal, Changed: true}
}

// admit records the call as dispatched.
func admit(tree *statev1.ProgramTree, target *statev1.Program, request AdmitRequest) AdmitOutcome {
	call := &statev1.Call{
		Key:             request.Key,
		RequestDigest:   request.RequestDigest,
		Sequence:        target.GetNextSequence(),
		Repeatable:      request.Repeatable,
		State:           statev1.CallState_CALL_STATE_DISPATCHED,
		Attempt:         1,
		Executor:        request.Executor,
		ExecutorAddress: request.ExecutorAddress,
		Engine:          request.Engine,
		Reserved:        reservation(target, request),
		DeadlineUnixMs:  request.DeadlineUnixMS,
	}
	tree.Budget.Reserved += call.GetReserved()
	target.NextSequence++
	target.Calls = append(target.Calls, call)
	addHold(tree, target.GetId(), request.Engine, request.EngineAddress)
	tree.LastActiveUnixMs = request.NowUnixMS
	trimCalls(tree, target)
	return AdmitOutcome{Kind: Admitted, Call: call, Changed: true}
}
