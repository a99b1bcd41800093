// Package budget decides what the turns of one program may generate. Each
// gateway that serves turns of the program holds a part of the budget: what its
// turns have generated, and a reserve for turns under way and some to come.
// Functions are pure; whoever keeps the record makes each change of it atomic.
package budget

import (
	"errors"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	statev1 "github.com/marblering/marblering/api/state/v1"
)

var (
	// ErrSpent means that nothing is left of the program's budget.
	ErrSpent = errors.New("the program's budget is spent")
	// ErrReserved means that nothing is left unless a holder gives a part of its
	// reserve back.
	ErrReserved = errors.New("the rest of the program's budget is reserved elsewhere")
)

const (
	// aheadTurns is how many turns beyond the one that asks a holder may reserve.
	aheadTurns = 3
	// aheadShare of what is left is the most that is reserved ahead, so that
	// reserves never keep a program from what it has.
	aheadShare = 4
)

// Draw is one holder's wish.
type Draw struct {
	Holder string
	// Spent is what the holder's ended turns have generated in all, UnderWay the
	// most that its turns under way may generate.
	Spent    uint64
	UnderWay uint64
	// Turn is the most that the turn may generate that wants to begin.
	Turn uint64
}

// Reserve takes the holder's spending in and gives it a reserve for its turns
// under way and the one that wants to begin, and for some more where plenty is
// left. It lets a turn begin while anything is left, so that what is generated
// in all stays below the limit and the most of one turn. A refused draw still
// takes the spending in. Repeating a draw changes nothing.
func Reserve(record *statev1.TokenBudget, limit uint64, draw Draw) error {
	record.Limit = lowest(record.GetLimit(), limit)
	own := holderOf(record, draw.Holder)
	own.Spent = draw.Spent
	own.Reserved = draw.UnderWay
	committed := Committed(record)
	if committed >= record.Limit {
		if committed-othersReserved(record, own) < record.Limit {
			return ErrReserved
		}
		return ErrSpent
	}
	own.Reserved += draw.Turn
	own.Reserved += ahead(record.Limit-committed, draw.Turn)
	return nil
}

// ahead is a whole number of turns, since a part of one lets none begin.
func ahead(left, turn uint64) uint64 {
	if turn == 0 || left <= turn {
		return 0
	}
	return min(aheadTurns, (left-turn)/aheadShare/turn) * turn
}

// Release ends a holder for good: what it spent is kept, its reserve is given
// back. A holder that isn't listed has been released before, or never drew.
func Release(record *statev1.TokenBudget, name string, spent uint64) {
	kept := record.Holders[:0]
	for _, holder := range record.GetHolders() {
		if holder.GetHolder() != name {
			kept = append(kept, holder)
			continue
		}
		record.Settled += spent
	}
	record.Holders = kept
}

// holderOf returns the holder's part, a new one where it has none.
func holderOf(record *statev1.TokenBudget, name string) *statev1.TokenHolder {
	for _, holder := range record.GetHolders() {
		if holder.GetHolder() == name {
			return holder
		}
	}
	added := &statev1.TokenHolder{Holder: name}
	record.Holders = append(record.Holders, added)
	return added
}

func othersReserved(record *statev1.TokenBudget, own *statev1.TokenHolder) uint64 {
	var reserved uint64
	for _, holder := range record.GetHolders() {
		if holder != own {
			reserved += holder.GetReserved()
		}
	}
	return reserved
}

// lowest keeps the first limit that was named, or a lower one.
func lowest(known, named uint64) uint64 {
	if known == 0 {
		return named
	}
	return min(known, named)
}

// Committed is what was generated and what may still be without asking.
func Committed(record *statev1.TokenBudget) uint64 {
	committed := record.GetSettled()
	for _, holder := range record.GetHolders() {
		committed += holder.GetSpent() + holder.GetReserved()
	}
	return committed
}

// Reserved is what the holder may hand out beyond what it has spent.
func Reserved(record *statev1.TokenBudget, name string) uint64 {
	return holderOf(record, name).GetReserved()
}

// Decode reads the record of a program; nil bytes are one without turns.
func Decode(program string, encoded []byte) (*statev1.TokenBudget, error) {
	record := &statev1.TokenBudget{Program: program}
	if len(encoded) == 0 {
		return record, nil
	}
	record.Reset()
	if err := proto.Unmarshal(encoded, record); err != nil {
		return nil, merry.Prependf(err, "decoding the budget of program %q", program)
	}
	if record.GetProgram() != program {
		return nil, merry.Errorf("the record of program %q is that of %q", program, record.GetProgram())
	}
	return record, nil
}

// Encode is deterministic, so that an unchanged record is recognised.
func Encode(record *statev1.TokenBudget) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(record)
}
