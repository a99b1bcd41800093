package history

import (
	"iter"
	"slices"

	"github.com/ansel1/merry/v2"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/state/replica"
)

// ErrBrokenChain means that a turn can't be part of the chain: it belongs to another
// program, its sequence number is out of order, or it doesn't link to the turn before it.
var ErrBrokenChain = merry.Sentinel("history chain is broken")

// Assemble follows the program's chain from the head back through the stored turns and
// returns the turns in order of sequence. It ignores turns that aren't on the chain, such
// as those of superseded attempts, and corrupt copies of a turn that also has an intact one.
//
// If a turn is absent or has no intact copy, missing holds its digest and turns holds only
// the later part of the chain: the link to the earlier turns is in the missing turn.
func Assemble(program string, head []byte, stored iter.Seq[replica.Turn]) (turns []*statev1.Turn, missing []Digest, err error) {
	copies := indexByDigest(stored)
	next := head
	for len(next) > 0 {
		digest, err := ParseDigest(next)
		if err != nil {
			return nil, nil, merry.Prependf(err, "history of program %q", program)
		}
		turn := firstIntact(copies[digest], digest)
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
// replicas may each have returned a copy.
func indexByDigest(stored iter.Seq[replica.Turn]) map[Digest][][]byte {
	copies := make(map[Digest][][]byte)
	for turn := range stored {
		copies[turn.Digest] = append(copies[turn.Digest], turn.Object)
	}
	return copies
}

// firstIntact decodes the first object that isn't corrupt. It returns nil if there is none.
func firstIntact(objects [][]byte, digest Digest) *statev1.Turn {
	for _, object := range objects {
		if turn, err := Decode(object, digest); err == nil {
			return turn
		}
	}
	return nil
}

// checkProgram returns ErrBrokenChain if the turn belongs to another program or has no
// sequence number.
func checkProgram(program string, turn *statev1.Turn) error {
	if turn.GetProgram() != program {
		return merry.Prependf(ErrBrokenChain, "chain of program %q contains turn %d of program %q",
			program, turn.GetSequence(), turn.GetProgram())
	}
	if turn.GetSequence() == 0 {
		return merry.Prependf(ErrBrokenChain, "chain of program %q contains a turn without a sequence number", program)
	}
	return nil
}

// checkOrder returns ErrBrokenChain unless the earlier turn has the lower sequence number.
// Gaps are allowed: a failed call uses up a sequence number without storing a turn.
func checkOrder(earlier, later *statev1.Turn) error {
	if earlier.GetSequence() >= later.GetSequence() {
		return merry.Prependf(ErrBrokenChain, "turn %d of program %q can't follow turn %d: sequence numbers must increase",
			later.GetSequence(), later.GetProgram(), earlier.GetSequence())
	}
	return nil
}
