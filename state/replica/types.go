// Package replica keeps what one replica of a shard must not forget: the states of its
// registers (promises and accepted values), its turns, and small values such as the
// epochs of its shards.
//
// The package owns the data folder and the format of its file, which Disk verifies as a
// whole before it serves any of it; Memory is for nodes without a disk. It relies on
// bbolt for transactions and on the file system's sync. It doesn't look into the values
// and objects that it keeps: those are of coordination/register, state/turn and
// state/history. docs/design/replica-storage.md has the reasons.
package replica

import "bytes"

// Ballot orders the proposals for one register. The zero ballot is smaller than every
// proposed one.
type Ballot struct {
	Counter uint64
	// Proposer is the incarnation of the proposing node; it breaks ties.
	Proposer string
}

// Less reports whether b orders before other.
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
	// Promised is the ballot below which the replica accepts nothing more.
	Promised Ballot
	// Accepted is the ballot at which the replica accepted Value; zero and nil before
	// it has accepted any.
	Accepted Ballot
	Value    []byte
}

// Turn is one stored turn of a program's history. The store doesn't look into the object,
// nor check that the digest is that of its content.
type Turn struct {
	// Program is the id under which the turn is read; a retained turn has its own.
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
