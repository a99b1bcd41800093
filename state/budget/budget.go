// Package budget accounts for the tokens that the turns of one program may generate. Each
// holder, a storage node that admits turns, has an entry in the record of the budget: the
// tokens that its turns have generated, and a reserve for running and future turns.
//
// The package defines these rules and the encoding of the record, and does no I/O.
// coordination/tokenbudget keeps the record in a quorum register, which makes each change
// atomic.
package budget

import (
	"errors"
	"slices"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	statev1 "github.com/marblering/marblering/api/state/v1"
)

var (
	// ErrExhausted means that the program's budget is exhausted.
	ErrExhausted = errors.New("the program's budget is spent")
	// ErrReserved means that the rest of the budget is reserved by other holders, which
	// may still release a part of it.
	ErrReserved = errors.New("the rest of the program's budget is reserved elsewhere")
)

const (
	// maxFutureTurns is the maximum number of future turns for which a holder reserves
	// tokens. A turn that begins from the reserve needs no change of the record. Together
	// with storage nodes as holders this halved the processor time of a quiet day.
	maxFutureTurns = 3
	// futureReserveDivisor limits the reserve for future turns to 1/futureReserveDivisor
	// of the uncommitted tokens, so that the reserves of some holders don't block the
	// turns of others.
	futureReserveDivisor = 4
)

// ReserveRequest is a holder's request to begin one turn. All amounts are in tokens.
type ReserveRequest struct {
	// Holder identifies one process of the holder.
	Holder string
	// Spent is the total that the holder's ended turns have generated, Running the
	// maximum that its running turns may generate.
	Spent   uint64
	Running uint64
	// TurnTokens is the maximum that the new turn may generate.
	TurnTokens uint64
}

// Reserve records the holder's spending and sets its reserve to cover its running turns
// and the new one, and future turns if enough tokens are left. It grants a turn as long as
// any token is left, so all turns together generate less than the limit plus the maximum
// of one turn. It returns ErrExhausted or ErrReserved if the turn must not begin, and
// records the spending in that case too. Reserve is idempotent. The limit is in tokens; the
// record keeps the lowest limit that it was given.
func Reserve(record *statev1.TokenBudget, limit uint64, request ReserveRequest) error {
	record.Limit = lowerLimit(record.GetLimit(), limit)
	holder := findOrAddHolder(record, request.Holder)
	holder.Spent = request.Spent
	holder.Reserved = request.Running
	committed := Committed(record)
	if committed >= record.Limit {
		return refusalReason(record, holder)
	}
	holder.Reserved += request.TurnTokens
	holder.Reserved += futureReserve(record.Limit-committed, request.TurnTokens)
	return nil
}

// ReserveResult reads the result of a request from the record that Reserve has left: the
// tokens reserved for the holder, and the error that Reserve returned.
func ReserveResult(record *statev1.TokenBudget, request ReserveRequest) (reserved uint64, refusal error) {
	holder := findOrAddHolder(record, request.Holder)
	isGranted := holder.GetReserved() >= request.Running+request.TurnTokens
	if request.TurnTokens == 0 {
		// A turn without tokens needs no reserve, so the holder's entry doesn't tell
		// whether it was granted.
		isGranted = Committed(record) < record.GetLimit()
	}
	if isGranted {
		return holder.GetReserved(), nil
	}
	return holder.GetReserved(), refusalReason(record, holder)
}

// refusalReason returns ErrReserved if the turn could be granted without the reserves of
// other holders, and ErrExhausted otherwise.
func refusalReason(record *statev1.TokenBudget, holder *statev1.TokenHolder) error {
	if Committed(record)-reservedByOthers(record, holder) < record.GetLimit() {
		return ErrReserved
	}
	return ErrExhausted
}

// futureReserve returns the number of tokens to reserve for future turns, a multiple of
// the tokens of one turn.
func futureReserve(left, turn uint64) uint64 {
	if turn == 0 || left <= turn {
		return 0
	}
	return min(maxFutureTurns, (left-turn)/futureReserveDivisor/turn) * turn
}

// SettleEnded removes holders that have ended without releasing their reserves. It is
// unknown how much of a reserve their last turns have generated, so all of it counts as
// spent.
func SettleEnded(record *statev1.TokenBudget, hasEnded func(holder string) bool) {
	record.Holders = slices.DeleteFunc(record.Holders, func(holder *statev1.TokenHolder) bool {
		if !hasEnded(holder.GetHolder()) {
			return false
		}
		record.Settled += holder.GetSpent() + holder.GetReserved()
		return true
	})
}

// ReleaseUnused reduces the holder's reserve to what its running turns may generate. It does
// nothing if the record doesn't list the holder.
func ReleaseUnused(record *statev1.TokenBudget, name string, spent, running uint64) {
	for _, holder := range record.GetHolders() {
		if holder.GetHolder() == name {
			holder.Spent, holder.Reserved = spent, running
		}
	}
}

// Release removes the holder, counts the tokens that it spent as settled and frees its
// reserve. It does nothing if the record doesn't list the holder.
func Release(record *statev1.TokenBudget, name string, spent uint64) {
	record.Holders = slices.DeleteFunc(record.Holders, func(holder *statev1.TokenHolder) bool {
		if holder.GetHolder() != name {
			return false
		}
		record.Settled += spent
		return true
	})
}

// findOrAddHolder returns the holder's entry, which it adds if it doesn't exist.
func findOrAddHolder(record *statev1.TokenBudget, name string) *statev1.TokenHolder {
	for _, holder := range record.GetHolders() {
		if holder.GetHolder() == name {
			return holder
		}
	}
	added := &statev1.TokenHolder{Holder: name}
	record.Holders = append(record.Holders, added)
	return added
}

// reservedByOthers returns the tokens reserved by holders other than the given one.
func reservedByOthers(record *statev1.TokenBudget, excluded *statev1.TokenHolder) uint64 {
	var reserved uint64
	for _, holder := range record.GetHolders() {
		if holder != excluded {
			reserved += holder.GetReserved()
		}
	}
	return reserved
}

// lowerLimit returns the lower of the recorded and the requested limit. A recorded limit
// of zero counts as none.
func lowerLimit(recorded, requested uint64) uint64 {
	if recorded == 0 {
		return requested
	}
	return min(recorded, requested)
}

// Committed returns the sum of the settled, spent and reserved tokens.
func Committed(record *statev1.TokenBudget) uint64 {
	committed := record.GetSettled()
	for _, holder := range record.GetHolders() {
		committed += holder.GetSpent() + holder.GetReserved()
	}
	return committed
}

// Decode decodes the record of the program. Empty input gives an empty record. It returns
// an error for the record of a different program.
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
		return nil, merry.Errorf("budget record of program %q belongs to program %q", program, record.GetProgram())
	}
	return record, nil
}

// Encode encodes the record deterministically, so that a register treats writing an
// unchanged record as a read.
func Encode(record *statev1.TokenBudget) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(record)
}
