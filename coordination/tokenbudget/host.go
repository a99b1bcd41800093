package tokenbudget

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/marblering/marblering/state/budget"
)

const (
	// expiryInterval is the pause between two looks for turns that never ended.
	expiryInterval = time.Second
	// reservedPatience is how long another host has to give a reserve back.
	reservedPatience = 1500 * time.Millisecond
	// reservedMemory is how long a refusal is remembered.
	reservedMemory = time.Minute
)

// Reservation is a turn that wants to begin.
type Reservation struct {
	Program string
	// Turn is unique over all turns and attempts.
	Turn  string
	Limit uint64
	// Most is the most that the turn may generate.
	Most uint64
	// Lifetime is how long it may be under way.
	Lifetime time.Duration
	// Running tells that turns of the program are known to have been served. What
	// isn't known to the gateway the host may know.
	Running bool
}

// Ended is a turn that generates no more.
type Ended struct {
	Program   string
	Turn      string
	HandedOut uint64
}

// Host serves a ledger to gateways. All turns of a program ask the same host as
// long as it answers, so that most begin from its reserve. It is a suture
// service and safe for concurrent use.
type Host struct {
	ledger *Ledger
	now    func() time.Time

	mutex sync.Mutex
	turns map[string]hosted
	// reservedSince is since when a program's rest has been reserved elsewhere.
	reservedSince map[string]time.Time
}

// hosted is one turn under way.
type hosted struct {
	program string
	most    uint64
	expires time.Time
}

// NewHost makes a host without turns.
func NewHost(ledger *Ledger, now func() time.Time) *Host {
	return &Host{ledger: ledger, now: now, turns: make(map[string]hosted), reservedSince: make(map[string]time.Time)}
}

// String names the service in the supervisor's messages.
func (h *Host) String() string { return "host of budgets" }

// Reserve lets the turn begin, as Ledger.Reserve does. A repeated reservation
// of a turn under way is granted.
func (h *Host) Reserve(ctx context.Context, wanted Reservation) error {
	if h.isUnderWay(wanted.Turn) {
		return nil
	}
	if err := h.ledger.Reserve(ctx, wanted); err != nil {
		return h.judgeRefusal(wanted.Program, err)
	}
	h.mutex.Lock()
	delete(h.reservedSince, wanted.Program)
	_, doubled := h.turns[wanted.Turn]
	if !doubled {
		h.turns[wanted.Turn] = hosted{program: wanted.Program, most: wanted.Most, expires: h.now().Add(wanted.Lifetime)}
	}
	h.mutex.Unlock()
	if doubled {
		h.ledger.End(wanted.Program, wanted.Most, 0)
	}
	return nil
}

// judgeRefusal tells a rest that is reserved elsewhere as spent once another host
// had the time to give it back: that host has ended, or its turns are still under
// way.
func (h *Host) judgeRefusal(program string, refusal error) error {
	if !errors.Is(refusal, budget.ErrReserved) {
		return refusal
	}
	now := h.now()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	since, known := h.reservedSince[program]
	if !known {
		h.reservedSince[program] = now
		return refusal
	}
	if now.Sub(since) < reservedPatience {
		return refusal
	}
	return budget.ErrSpent
}

func (h *Host) isUnderWay(turn string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	_, found := h.turns[turn]
	return found
}

// End counts what turns have handed out. Turns that aren't known are left out.
func (h *Host) End(ended []Ended) {
	for _, one := range ended {
		h.mutex.Lock()
		turn, found := h.turns[one.Turn]
		delete(h.turns, one.Turn)
		h.mutex.Unlock()
		if found {
			h.ledger.End(turn.program, turn.most, one.HandedOut)
		}
	}
}

// Serve charges turns with their most whose gateway never ended them.
func (h *Host) Serve(ctx context.Context) error {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			h.End(h.expired())
		}
	}
}

func (h *Host) expired() []Ended {
	now := h.now()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for program, since := range h.reservedSince {
		if now.Sub(since) > reservedMemory {
			delete(h.reservedSince, program)
		}
	}
	var expired []Ended
	for id, turn := range h.turns {
		if now.After(turn.expires) {
			expired = append(expired, Ended{Program: turn.program, Turn: id, HandedOut: turn.most})
		}
	}
	return expired
}
