package history

import (
	"iter"
	"slices"

	"github.com/ansel1/merry/v2"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/state/replica"
)

// ErrBrokenChain says that a turn can't stand where the chain names it: it is
// another program's, or its sequence number is out of order.
var ErrBrokenChain = merry.Sentinel("history chain is broken")

// Assemble walks the chain of the program back from the head through the
// stored turns and returns the turns in order of sequence. Turns that aren't on
// the chain (left by attempts that lost) are ignored, and so are corrupt copies
// as long as another copy of the turn is whole.
//
// Where a turn is absent or has no whole copy, missing names it and the result
// is the part of the chain after it: what lies before is only known once the
// missing turn is fetched from another replica.
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

// indexByDigest groups the objects by the digest they are stored under. Several
// replicas may each have given a copy.
func indexByDigest(stored iter.Seq[replica.Turn]) map[Digest][][]byte {
	copies := make(map[Digest][][]byte)
	for turn := range stored {
		copies[turn.Digest] = append(copies[turn.Digest], turn.Object)
	}
	return copies
}

func firstWhole(objects [][]byte, digest Digest) *statev1.Turn {
	for _, object := range objects {
		if turn, err := Decode(object, digest); err == nil {
			return turn
		}
	}
	return nil
}

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

// checkOrder allows gaps: a call that failed takes a sequence number and
// leaves no turn.
func checkOrder(earlier, later *statev1.Turn) error {
	if earlier.GetSequence() >= later.GetSequence() {
		return merry.Prependf(ErrBrokenChain, "turn %d of program %q follows turn %d",
			later.GetSequence(), later.GetProgram(), earlier.GetSequence())
	}
	return nil
}
