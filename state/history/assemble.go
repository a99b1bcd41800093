package history

import (
	"iter"
	"slices"

	"github.com/ansel1/merry/v2"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/state/replica"
)

// ErrBrokenChain means that a turn can't stand where the chain names it: it is another
// program's, or its sequence number is out of order.
var ErrBrokenChain = merry.Sentinel("history chain is broken")

// Assemble walks the chain of the program from the head back through the stored turns and
// returns the turns in order of sequence. It ignores turns that aren't on the chain, which
// attempts leave that lost, and corrupt copies of a turn of which another copy is whole.
//
// Where a turn is absent or has no whole copy, missing names it and the result is the part
// of the chain after it: only the missing turn says which turns come before.
func Assemble(program string, head []byte, stored iter.Seq[replica.Turn]) (turns []*statev1.Turn, missing []Digest, err error) {
	copies := indexByDigest(stored)
	next := head
	for len(next) > 0 {
		digest, err := ParseDigest(next)
		if err != nil {
			return nil, nil, merry.Prependf(err, "history of program %q", program)
		}
		turn := firstWhole(copies[digest], digest)
		if turn == nil {
			missing = append(missing, digest)
			break
		}
		if err := checkProgram(program, turn); err != nil {
			return nil, nil, err
		}
		if len(turns) > 0 {
			if err := checkOrder(turn, turns[len(turns)-1]); err != nil {
				return nil, nil, err
			}
		}
		turns = append(turns, turn)
		next = turn.GetPrevious()
	}
	slices.Reverse(turns)
	return turns, missing, nil
}

// indexByDigest groups the objects by the digest under which they are stored. Several
// replicas may each have given a copy.
func indexByDigest(stored iter.Seq[replica.Turn]) map[Digest][][]byte {
	copies := make(map[Digest][][]byte)
	for turn := range stored {
		copies[turn.Digest] = append(copies[turn.Digest], turn.Object)
	}
	return copies
}

// firstWhole returns the turn of the first object that isn't corrupt, or nil.
func firstWhole(objects [][]byte, digest Digest) *statev1.Turn {
	for _, object := range objects {
		if turn, err := Decode(object, digest); err == nil {
			return turn
		}
	}
	return nil
}

// checkProgram returns ErrBrokenChain for a turn that can't be the program's.
func checkProgram(program string, turn *statev1.Turn) error {
	if turn.GetProgram() != program {
		return merry.Prependf(ErrBrokenChain, "the chain of program %q leads to turn %d of program %q",
			program, turn.GetSequence(), turn.GetProgram())
	}
	if turn.GetSequence() == 0 {
		return merry.Prependf(ErrBrokenChain, "the chain of program %q has a turn without a sequence number", program)
	}
	return nil
}

// checkOrder returns ErrBrokenChain unless the earlier turn has the lower sequence number.
// It allows gaps: a call that failed takes a sequence number and leaves no turn.
func checkOrder(earlier, later *statev1.Turn) error {
	if earlier.GetSequence() >= later.GetSequence() {
		return merry.Prependf(ErrBrokenChain, "turn %d of program %q follows turn %d",
			later.GetSequence(), later.GetProgram(), earlier.GetSequence())
	}
	return nil
}
