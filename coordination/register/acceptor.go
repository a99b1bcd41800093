package register

import "github.com/marblering/marblering/state/replica"

// Acceptor holds the rules by which a replica answers for one register. It has
// no state of its own: each method takes the stored state and returns the state
// to store before the reply is sent. A refused request leaves the state as it
// was, so nothing needs to be stored for it.
type Acceptor struct{}

// Prepare promises to refuse every ballot below the given one. The ballot must
// be above everything promised: a ballot that was promised once is refused, also
// to its own proposer, so that of all who use one ballot at most one can gather
// a majority, and a duplicated request can't grant twice.
func (Acceptor) Prepare(state replica.Register, ballot replica.Ballot) (replica.Register, PrepareReply) {
	if !state.Promised.Less(ballot) || !state.Accepted.Less(ballot) {
		return state, PrepareReply{Refusal: RefusalBallot, Promised: highest(state)}
	}
	reply := PrepareReply{Accepted: state.Accepted, Value: state.Value}
	state.Promised = ballot
	return state, reply
}

// Accept stores the value at the given ballot, unless a higher ballot was
// promised or the ballot was accepted before, and promises next along with it.
// A next that is neither zero nor above the ballot is refused.
func (Acceptor) Accept(state replica.Register, ballot replica.Ballot, value []byte, next replica.Ballot) (replica.Register, AcceptReply) {
	if ballot.Less(state.Promised) || !state.Accepted.Less(ballot) {
		return state, AcceptReply{Refusal: RefusalBallot, Promised: highest(state)}
	}
	if next.IsZero() {
		next = ballot
	} else if !ballot.Less(next) {
		return state, AcceptReply{Refusal: RefusalBallot, Promised: highest(state)}
	}
	return replica.Register{Promised: next, Accepted: ballot, Value: value}, AcceptReply{}
}

// Merge combines the states of one register at a majority of the members of a
// sealed epoch into the state with which a member of the next epoch begins: the
// highest promise of all and the value accepted at the highest ballot.
func Merge(states ...replica.Register) replica.Register {
	var merged replica.Register
	for _, state := range states {
		if merged.Promised.Less(state.Promised) {
			merged.Promised = state.Promised
		}
		if merged.Accepted.Less(state.Accepted) {
			merged.Accepted = state.Accepted
			merged.Value = state.Value
		}
	}
	return merged
}

// highest returns the ballot that a proposer has to exceed.
func highest(state replica.Register) replica.Ballot {
	if state.Promised.Less(state.Accepted) {
		return state.Accepted
	}
	return state.Promised
}
