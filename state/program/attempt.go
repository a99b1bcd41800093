package program

import (
	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/state/result"
)

// AttemptReference names one attempt of one call. Attempts are counted from one.
type AttemptReference struct {
	Program  string
	Sequence uint64
	Attempt  uint32
}

// Replacement describes the next attempt of a call.
type Replacement struct {
	// Executor is the incarnation of the node that runs the attempt.
	Executor        string
	ExecutorAddress string
	Engine          string
	EngineAddress   string
	// Lost charges the replaced attempt in full, since its tokens may have been spent.
	Lost bool
	// MaxAttempts is how many attempts the call may have where one was lost.
	MaxAttempts uint32
	NowUnixMS   int64
}

// Replace begins a new attempt in place of the referenced one. A lost attempt of a call
// that must not be repeated is never replaced: the call ends with OutcomeUnknown. The call
// ends with EngineFailed where no attempt or no budget is left. Replace returns the call
// as it is afterwards; changed is false where the reference isn't the current attempt.
func Replace(tree *statev1.ProgramTree, reference AttemptReference, replacement Replacement) (call *statev1.Call, changed bool) {
	call = current(tree, reference)
	if call == nil {
		return lookup(tree, reference), false
	}
	if replacement.Lost && !call.GetRepeatable() {
		fail(tree, call, result.OutcomeUnknown, call.GetReserved())
		return call, true
	}
	reserved := call.GetReserved()
	charged := uint64(0)
	if replacement.Lost {
		charged = reserved
	}
	if replacement.Lost && call.GetAttempt() >= replacement.MaxAttempts {
		fail(tree, call, result.EngineFailed, charged)
		return call, true
	}
	settle(tree.Budget, reserved, charged)
	call.Reserved = 0
	if reserved > available(tree.GetBudget()) {
		fail(tree, call, result.EngineFailed, 0)
		return call, true
	}
	tree.Budget.Reserved += reserved
	call.Reserved = reserved
	call.Attempt++
	call.Executor = replacement.Executor
	call.ExecutorAddress = replacement.ExecutorAddress
	call.Engine = replacement.Engine
	addHold(tree, reference.Program, replacement.Engine, replacement.EngineAddress)
	tree.LastActiveUnixMs = replacement.NowUnixMS
	return call, true
}

// Completion describes the answer of one attempt, which is stored as a turn already.
type Completion struct {
	// TurnDigest names the stored turn.
	TurnDigest []byte
	// PromptTokens and OutputTokens are as the engine counted them.
	PromptTokens uint64
	OutputTokens uint64
	NowUnixMS    int64
}

// Finish appends the attempt's turn to the history and settles the budget. Changed is
// false where the reference isn't the current attempt, for instance for an answer that
// arrives after its attempt was replaced. Call is then what the record holds, or nil.
func Finish(tree *statev1.ProgramTree, reference AttemptReference, completion Completion) (call *statev1.Call, changed bool) {
	call = current(tree, reference)
	if call == nil {
		return lookup(tree, reference), false
	}
	target := Find(tree, reference.Program)
	spent := completion.PromptTokens + completion.OutputTokens
	settle(tree.Budget, call.GetReserved(), spent)
	call.Reserved = 0
	call.State = statev1.CallState_CALL_STATE_FINISHED
	call.TurnDigest = completion.TurnDigest
	call.PromptTokens = completion.PromptTokens
	call.OutputTokens = completion.OutputTokens
	target.ChainHead = completion.TurnDigest
	target.HistoryTokens = spent
	target.Turns++
	tree.AttainedTokens += spent
	tree.LastActiveUnixMs = completion.NowUnixMS
	trimCalls(tree, target)
	return call, true
}

// Fail ends the referenced attempt's call without an answer and with the code. The
// reservation is charged in full where spent is set and given back otherwise. Changed and
// call are as in Finish.
func Fail(tree *statev1.ProgramTree, reference AttemptReference, code result.Code, spent bool) (call *statev1.Call, changed bool) {
	call = current(tree, reference)
	if call == nil {
		return lookup(tree, reference), false
	}
	charged := uint64(0)
	if spent {
		charged = call.GetReserved()
	}
	fail(tree, call, code, charged)
	trimCalls(tree, Find(tree, reference.Program))
	return call, true
}

// FinalError returns the error for the caller of a call that ended without an answer.
func FinalError(call *statev1.Call) *result.Error { return finalError(call) }

// fail ends the call with the code and charges so many tokens of its reservation.
func fail(tree *statev1.ProgramTree, call *statev1.Call, code result.Code, charged uint64) {
	settle(tree.Budget, call.GetReserved(), charged)
	call.Reserved = 0
	call.State = statev1.CallState_CALL_STATE_FAILED
	call.ResultCode = uint32(code)
}

// lookup returns the referenced call, whatever its attempt, or nil.
func lookup(tree *statev1.ProgramTree, reference AttemptReference) *statev1.Call {
	target := Find(tree, reference.Program)
	if target == nil {
		return nil
	}
	return FindCall(target, reference.Sequence)
}

// current returns the call if the reference names its running attempt, and nil otherwise.
func current(tree *statev1.ProgramTree, reference AttemptReference) *statev1.Call {
	call := lookup(tree, reference)
	if call == nil || call.GetState() != statev1.CallState_CALL_STATE_DISPATCHED {
		return nil
	}
	if call.GetAttempt() != reference.Attempt {
		return nil
	}
	return call
}
