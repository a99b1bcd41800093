// Package replica stores the durable state of the shard replicas of one node: the states
// of registers (promises and accepted values), turns, and small values such as the epochs
// of shards.
//
// The package owns the data folder and the format of its file. Disk verifies the whole
// file before it serves any data; Memory is for nodes without a disk. Transactions rely
// on bbolt and on the file system's sync. The package doesn't interpret stored values and
// objects, whose formats coordination/register, state/turn and state/history define.
// docs/design/replica-storage.md explains the design.
package replica

import "bytes"

// Ballot orders the proposals for one register. The zero ballot is less than any proposed
// one.
type Ballot struct {
	Counter uint64
	// Proposer is the incarnation of the proposing node; it breaks ties.
	Proposer string
}

// Less reports whether b is ordered before other.
func (b Ballot) Less(other Ballot) bool {
	if b.Counter != other.Counter {
		return b.Counter < other.Counter
	}
	return b.Proposer < other.Proposer
}

// IsZero reports whether b is the zero ballot.
func (b Ballot) IsZero() bool { return b == Ballot{} }

// Register is the state of one register at one replica.
type Register struct {
	// Promised is the lowest ballot that the replica still accepts.
	Promised Ballot
	// Accepted is the ballot at which the replica accepted Value. They are zero and nil
	// until a value is accepted.
	Accepted Ballot
	Value    []byte
}

// Turn is one stored turn of a program's history. The store neither interprets the object
// nor compares its content with the digest.
type Turn struct {
	// Program is the ID under which the turn is read: that of the program, or for a
	// retained turn its own.
	Program  string
	Sequence uint64
	Digest   [32]byte
	Object   []byte
}

func copyRegister(state Register) Register {
	if len(state.Value) == 0 {
		state.Value = nil
		return state
	}
	state.Value = bytes.Clone(state.Value)
	return state
}

func copyTurn(turn Turn) Turn {
	if len(turn.Object) == 0 {
		turn.Object = nil
		return turn
	}
	turn.Object = bytes.Clone(turn.Object)
	return turn
}

func compareTurns(a, b Turn) int {
	if a.Sequence != b.Sequence {
		if a.Sequence < b.Sequence {
			return -1
		}
		return 1
	}
	return bytes.Compare(a.Digest[:], b.Digest[:])
}
