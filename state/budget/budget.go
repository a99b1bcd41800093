// Package budget decides what the turns of one program may generate. A turn
// reserves the most that it may generate before it is sent out, and is settled
// by what it really generated. Functions are pure; whoever keeps the record
// makes each change of it atomic.
package budget

import (
	"errors"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	statev1 "github.com/marblering/marblering/api/state/v1"
)

// ErrSpent means that nothing is left of the program's budget, counting turns
// that are under way at their most.
var ErrSpent = errors.New("the program's budget is spent")

// Reservation is a turn that may generate tokens.
type Reservation struct {
	// Turn is unique over all turns and attempts.
	Turn string
	// Tokens is the most that the turn may generate.
	Tokens uint64
}

// Settlement ends a reservation.
type Settlement struct {
	Turn string
	// Tokens is what was handed out.
	Tokens uint64
}

// Settle takes settlements in. One whose turn isn't reserved was taken in
// before, or its reservation never came to be, and changes nothing.
func Settle(record *statev1.TokenBudget, settlements []Settlement) {
	for _, settlement := range settlements {
		kept := record.Reservations[:0]
		for _, reservation := range record.Reservations {
			if reservation.GetTurn() != settlement.Turn {
				kept = append(kept, reservation)
				continue
			}
			record.Spent += settlement.Tokens
		}
		record.Reservations = kept
	}
}

// Reserve adds the reservation, unless the budget is spent. It lets a turn begin
// while anything is left, so that what is generated in all stays below the limit
// and the most of one turn. A turn that is reserved already stays so.
func Reserve(record *statev1.TokenBudget, limit uint64, wanted Reservation) error {
	for _, reservation := range record.GetReservations() {
		if reservation.GetTurn() == wanted.Turn {
			return nil
		}
	}
	record.Limit = lowest(record.GetLimit(), limit)
	if Committed(record) >= record.Limit {
		return ErrSpent
	}
	record.Reservations = append(record.Reservations, &statev1.TokenReservation{Turn: wanted.Turn, Tokens: wanted.Tokens})
	return nil
}

// lowest keeps the first limit that was named, or a lower one.
func lowest(known, named uint64) uint64 {
	if known == 0 {
		return named
	}
	return min(known, named)
}

// Committed is what was generated, and what turns under way may still generate.
func Committed(record *statev1.TokenBudget) uint64 {
	committed := record.GetSpent()
	for _, reservation := range record.GetReservations() {
		committed += reservation.GetTokens()
	}
	return committed
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
