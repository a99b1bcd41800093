package register_test

import (
	"testing"

	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/state/replica"
	"gotest.tools/v3/assert"
)

func ballot(counter uint64, proposer string) replica.Ballot {
	return replica.Ballot{Counter: counter, Proposer: proposer}
}

func TestAcceptorRules(t *testing.T) {
	promised := replica.Register{Promised: ballot(4, "b"), Accepted: ballot(2, "a"), Value: []byte("old")}
	accepted := replica.Register{Promised: ballot(4, "b"), Accepted: ballot(4, "b"), Value: []byte("old")}
	for _, test := range []struct {
		name   string
		state  replica.Register
		ballot replica.Ballot
		next   replica.Ballot
		// prepare and accept say whether the request is granted.
		prepare, accept bool
	}{
		{name: "lower counter", state: promised, ballot: ballot(3, "z")},
		{name: "lower proposer", state: promised, ballot: ballot(4, "a")},
		{name: "promised ballot", state: promised, ballot: ballot(4, "b"), accept: true},
		{name: "accepted ballot", state: accepted, ballot: ballot(4, "b")},
		{name: "higher proposer", state: promised, ballot: ballot(4, "c"), prepare: true, accept: true},
		{name: "higher counter", state: promised, ballot: ballot(5, "a"), prepare: true, accept: true},
		{name: "zero ballot of an empty register"},
		{name: "next above", state: promised, ballot: ballot(5, "a"), next: ballot(6, "a"), prepare: true, accept: true},
		{name: "next equal", state: promised, ballot: ballot(5, "a"), next: ballot(5, "a"), prepare: true},
		{name: "next below", state: promised, ballot: ballot(5, "a"), next: ballot(4, "z"), prepare: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			state, reply := register.Acceptor{}.Prepare(test.state, test.ballot)
			assert.Equal(t, reply.Refusal == register.RefusalNone, test.prepare)
			if test.prepare {
				assert.Equal(t, state.Promised, test.ballot)
				assert.Equal(t, reply.Accepted, test.state.Accepted)
			} else {
				assert.DeepEqual(t, state, test.state)
				assert.Equal(t, reply.Promised, test.state.Promised)
			}
			state, answer := register.Acceptor{}.Accept(test.state, test.ballot, []byte("new"), test.next)
			assert.Equal(t, answer.Refusal == register.RefusalNone, test.accept)
			if !test.accept {
				assert.DeepEqual(t, state, test.state)
				return
			}
			assert.Equal(t, state.Accepted, test.ballot)
			assert.Equal(t, string(state.Value), "new")
			assert.Assert(t, !state.Promised.Less(test.next) && !state.Promised.Less(test.ballot))
		})
	}
}

func TestMergeKeepsHighestPromiseAndHighestAcceptedValue(t *testing.T) {
	merged := register.Merge(
		replica.Register{Promised: ballot(9, "a"), Accepted: ballot(2, "a"), Value: []byte("older")},
		replica.Register{Promised: ballot(5, "b"), Accepted: ballot(4, "b"), Value: []byte("newer")},
		replica.Register{Promised: ballot(6, "c"), Accepted: ballot(3, "c"), Value: []byte("old")},
	)
	assert.DeepEqual(t, merged, replica.Register{Promised: ballot(9, "a"), Accepted: ballot(4, "b"), Value: []byte("newer")})
}
