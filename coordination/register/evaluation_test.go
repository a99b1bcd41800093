package register_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/state/replica"
)

// TestEarlierEvaluationMayBeChosen guards against taking the result of a change from its last
// call, although the result of an earlier call was chosen.
func TestEarlierEvaluationMayBeChosen(t *testing.T) {
	const members = 3
	calls := 0
	proposer := register.NewProposer("a", 0, func(current []byte) ([]byte, error) {
		calls++
		return append([]byte{byte('0' + calls)}, current...), nil
	})
	prepare := proposer.Begin(members)
	proposer.OnPrepare(prepare.Ballot, 0, register.PrepareReply{})
	first, _ := proposer.OnPrepare(prepare.Ballot, 1, register.PrepareReply{})
	assert.Equal(t, string(first.Value), "1")
	// Only member 0 accepts.
	proposer.OnAccept(first.Ballot, 0, register.AcceptReply{})
	proposer.OnFailure(register.PhaseAccept, first.Ballot, 1)
	assert.Equal(t, proposer.OnFailure(register.PhaseAccept, first.Ballot, 2), register.StatusRetry)

	// Member 2 holds an older value that another proposer didn't complete.
	unfinished := register.PrepareReply{Accepted: replica.Ballot{Counter: 0, Proposer: "b"}, Value: []byte("other")}
	prepare = proposer.Begin(members)
	proposer.OnPrepare(prepare.Ballot, 1, register.PrepareReply{})
	second, _ := proposer.OnPrepare(prepare.Ballot, 2, unfinished)
	assert.Equal(t, string(second.Value), "2other")
	proposer.OnFailure(register.PhaseAccept, second.Ballot, 1)
	assert.Equal(t, proposer.OnFailure(register.PhaseAccept, second.Ballot, 2), register.StatusRetry)

	prepare = proposer.Begin(members)
	proposer.OnPrepare(prepare.Ballot, 0, register.PrepareReply{Accepted: first.Ballot, Value: first.Value})
	third, _ := proposer.OnPrepare(prepare.Ballot, 1, register.PrepareReply{})
	assert.Equal(t, string(third.Value), "1")
	proposer.OnAccept(third.Ballot, 0, register.AcceptReply{})
	assert.Equal(t, proposer.OnAccept(third.Ballot, 1, register.AcceptReply{}), register.StatusDone)
	assert.Equal(t, proposer.Result().Evaluation, 1)
	assert.Equal(t, calls, 2)
}
