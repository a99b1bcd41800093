package register

import "github.com/marblering/marblering/state/replica"

// Acceptor implements the acceptor role of the protocol for one register. It is
// stateless: each method takes the stored state and returns the state to store before
// the reply is sent. A refused request leaves the state unchanged, so nothing needs to
// be stored for it.
type Acceptor struct{}

// Prepare promises to refuse every ballot below the given one. The ballot must be
// greater than every ballot promised before: an equal one is refused too, even to its
// own proposer. At most one of the proposers that share a ballot can therefore gather a
// majority, and a duplicated request can't be granted twice.
func (Acceptor) Prepare(state replica.Register, ballot replica.Ballot) (replica.Register, PrepareReply) {
	if !state.Promised.Less(ballot) || !state.Accepted.Less(ballot) {
		return state, PrepareReply{Refusal: RefusalBallot, Promised: highestBallot(state)}
	}
	reply := PrepareReply{Accepted: state.Accepted, Value: state.Value}
	state.Promised = ballot
	return state, reply
}

// Accept stores the value at the given ballot, unless a higher ballot was promised or
// the ballot was accepted before, and promises next along with it. A next that is
// neither zero nor above the ballot is refused.
func (Acceptor) Accept(state replica.Register, ballot replica.Ballot, value []byte, next replica.Ballot) (replica.Register, AcceptReply) {
	if ballot.Less(state.Promised) || !state.Accepted.Less(ballot) {
		return state, AcceptReply{Refusal: RefusalBallot, Promised: highestBallot(state)}
	}
	if next.IsZero() {
		next = ballot
	} else if !ballot.Less(next) {
		return state, AcceptReply{Refusal: RefusalBallot, Promised: highestBallot(state)}
	}
	return replica.Register{Promised: next, Accepted: ballot, Value: value}, AcceptReply{}
}

// Merge combines the register states of a majority of the members of a sealed epoch
// into the initial state of a member of the next epoch: the highest promise of all and
// the value accepted at the highest ballot.
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

// highestBallot returns the ballot that a proposer has to exceed.
func highestBallot(state replica.Register) replica.Ballot {
	if state.Promised.Less(state.Accepted) {
		return state.Accepted
	}
	return state.Promised
}
