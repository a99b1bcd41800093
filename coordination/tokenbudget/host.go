package tokenbudget

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/state/budget"
)

const (
	// expiryInterval is the pause between two searches for turns that never ended.
	// Chosen, not measured.
	expiryInterval = time.Second
	// reservedPatience is how long another host has to give a reserve back: twice
	// Settings.IdleTime of DefaultSettings and a little for the round of a register.
	reservedPatience = 1500 * time.Millisecond
	// reservedMemory is how long a refusal is remembered. Chosen, not measured.
	reservedMemory = time.Minute
)

// Reservation is a turn that wants to begin.
type Reservation struct {
	Program string
	// Name names this reservation. It is unique over all turns and all attempts at
	// them, so that the end of one attempt can't be taken for that of another.
	Name string
	// Limit is the budget of the whole program, in tokens.
	Limit uint64
	// Most is the most that the turn may generate, in tokens.
	Most uint64
	// Lifetime is how long the turn may be under way.
	Lifetime time.Duration
	// Running is set where the gateway knows that the program had turns before. The
	// host may know of others.
	Running bool
}

// Ended is a reservation whose turn generates no more.
type Ended struct {
	Program string
	// Reservation is the name of the reservation.
	Reservation string
	// HandedOut is what the turn's caller was given, in tokens.
	HandedOut uint64
}

// Host serves a ledger to gateways. All gateways ask the same host for a program as
// long as it answers, so that most turns begin from its reserve. It is a suture
// service and safe for concurrent use.
type Host struct {
	ledger *Ledger
	now    func() time.Time

	mutex sync.Mutex
	turns map[string]hosted
	// reservedSince is when a program was first refused because the rest of its
	// budget is reserved at other hosts.
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
	if h.isUnderWay(wanted.Name) {
		return nil
	}
	if err := h.ledger.Reserve(ctx, wanted); err != nil {
		return h.judgeRefusal(wanted.Program, err)
	}
	h.mutex.Lock()
	delete(h.reservedSince, wanted.Program)
	_, doubled := h.turns[wanted.Name]
	if !doubled {
		h.turns[wanted.Name] = hosted{program: wanted.Program, most: wanted.Most, expires: h.now().Add(wanted.Lifetime)}
	}
	h.mutex.Unlock()
	if doubled {
		h.ledger.End(wanted.Program, wanted.Most, 0)
	}
	return nil
}

// judgeRefusal turns budget.ErrReserved into budget.ErrSpent once other hosts have
// had reservedPatience to give their reserve back: the host that holds it has ended,
// or its turns are still under way.
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

// isUnderWay tells that the turn is reserved here and hasn't ended.
func (h *Host) isUnderWay(turn string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	_, found := h.turns[turn]
	return found
}

// End counts what turns have handed out. Unknown turns are ignored: they have ended
// before.
func (h *Host) End(ended []Ended) {
	for _, one := range ended {
		h.mutex.Lock()
		turn, found := h.turns[one.Reservation]
		delete(h.turns, one.Reservation)
		h.mutex.Unlock()
		if !found {
			h.ledger.logger.Info("ended turn unknown", zap.String("program", one.Program), zap.String("reservation", one.Reservation),
				zap.Uint64("handed_out", one.HandedOut))
			continue
		}
		h.ledger.End(turn.program, turn.most, one.HandedOut)
	}
}

// Serve charges turns that their gateway never ended with the most that they
// reserved.
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

// expired returns the turns whose lifetime is over, and forgets old refusals.
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
			expired = append(expired, Ended{Program: turn.program, Reservation: id, HandedOut: turn.most})
		}
	}
	return expired
}
