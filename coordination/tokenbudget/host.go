package tokenbudget

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/streamorigin"
)

const (
	// expiryInterval is the pause between two checks for turns whose lifetime is over.
	expiryInterval = time.Second
	// earlyEndRetention is how long the end of a reservation that hasn't arrived is
	// remembered. It exceeds the time after which a silent connection is closed, twice
	// peer.pingTimeout, so that the reservation can't arrive later.
	earlyEndRetention = 10 * time.Second
)

// errEndedBeforeGrant means that the gateway ended the reservation before it was granted.
var errEndedBeforeGrant = errors.New("the reservation was ended before it was granted")

// Reservation asks for the tokens of one turn.
type Reservation struct {
	Program string
	// Name identifies the reservation. It is unique over all turns and all attempts at them,
	// so that the end of one attempt isn't taken for the end of another.
	Name string
	// ProgramLimit is the budget of the whole program, in tokens.
	ProgramLimit uint64
	// MaxTokens is the most that the turn may generate, in tokens.
	MaxTokens uint64
	// Lifetime bounds the duration of the turn.
	Lifetime time.Duration
	// ProgramRunning is set if the gateway knows that the program had earlier turns. The host may
	// know of others.
	ProgramRunning bool
	// Origin is where the turn's stream begins, for the host to keep. Nil if the stream
	// can't be resumed.
	Origin *streamorigin.Record
}

// EndedTurn reports that the turn of a reservation generates no more tokens.
type EndedTurn struct {
	Program string
	// Reservation is the name of the reservation.
	Reservation string
	// TokensUsed is the number of tokens that the turn's caller received.
	TokensUsed uint64
	// NameMayRecur is set if another reservation may have the same name: gateways of earlier
	// versions give all attempts at a turn the same name.
	NameMayRecur bool
}

// Host serves a ledger to gateways. All gateways ask the same host for a program as long as
// it answers, so that most turns begin from its reserve. It is a suture service and safe for
// concurrent use.
type Host struct {
	ledger *Ledger
	now    func() time.Time

	mutex        sync.Mutex
	reservations map[string]*hostReservation
	// endedEarly maps the reservations that ended before they were granted, or before they
	// arrived, to the time of their end. A host that resumes after a pause may receive the
	// end first.
	endedEarly map[string]time.Time
}

// hostReservation is a reservation that is pending or granted. The host's mutex guards it.
type hostReservation struct {
	program string
	most    uint64
	expires time.Time
	// done is closed once err says whether the reservation is granted.
	done chan struct{}
	err  error
	// isEnded is set if the reservation ended while it was pending.
	isEnded bool
}

// isDone reports whether the reservation was granted or refused.
func (r *hostReservation) isDone() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// NewHost returns a host without reservations.
func NewHost(ledger *Ledger, now func() time.Time) *Host {
	return &Host{
		ledger: ledger, now: now, reservations: make(map[string]*hostReservation), endedEarly: make(map[string]time.Time),
	}
}

// String names the service in the supervisor's messages.
func (h *Host) String() string { return "host of budgets" }

// Reserve lets the turn begin, as Ledger.Reserve does. A repeated reservation gets the answer
// of the first one. A reservation that has ended before it was granted is refused: its
// gateway won't end it again, and the program would be charged for tokens that no turn
// generates.
func (h *Host) Reserve(ctx context.Context, reservation Reservation) error {
	pending, isRepeat, err := h.findOrAdd(reservation)
	if err != nil {
		return err
	}
	if isRepeat {
		return pending.await(ctx)
	}
	return h.complete(reservation.Name, pending, h.ledger.Reserve(ctx, reservation))
}

// findOrAdd returns the reservation of the same name or adds a pending one.
func (h *Host) findOrAdd(reservation Reservation) (pending *hostReservation, isRepeat bool, err error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if known, found := h.reservations[reservation.Name]; found {
		return known, true, nil
	}
	if _, ended := h.endedEarly[reservation.Name]; ended {
		return nil, false, errEndedBeforeGrant
	}
	pending = &hostReservation{
		program: reservation.Program, most: reservation.MaxTokens, expires: h.now().Add(reservation.Lifetime), done: make(chan struct{}),
	}
	h.reservations[reservation.Name] = pending
	return pending, false, nil
}

// await waits until the reservation is granted or refused.
func (r *hostReservation) await(ctx context.Context) error {
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// complete records the ledger's decision and returns the host's. They differ for a
// reservation that ended meanwhile, whose tokens are returned to the ledger.
func (h *Host) complete(name string, pending *hostReservation, err error) error {
	h.mutex.Lock()
	mustRelease := pending.isEnded && err == nil
	if mustRelease {
		err = errEndedBeforeGrant
	}
	if err != nil {
		delete(h.reservations, name)
	}
	pending.err = err
	close(pending.done)
	h.mutex.Unlock()
	if mustRelease {
		h.ledger.End(pending.program, pending.most, 0)
	}
	return err
}

// End counts the tokens that turns have handed out. A pending reservation won't be granted
// any more. An unknown one was refused, has ended before, or hasn't arrived yet.
func (h *Host) End(ended []EndedTurn) {
	for _, end := range ended {
		if granted := h.removeGranted(end); granted != nil {
			h.ledger.End(granted.program, granted.most, end.TokensUsed)
		}
	}
}

// removeGranted removes the reservation and returns it if it was granted. Otherwise it
// records the early end and returns nil.
func (h *Host) removeGranted(ended EndedTurn) (granted *hostReservation) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	known, found := h.reservations[ended.Reservation]
	isGranted := found && known.isDone()
	if !isGranted && !ended.NameMayRecur {
		h.endedEarly[ended.Reservation] = h.now()
	}
	switch {
	case !found:
		h.ledger.logger.Info("ended turn unknown", zap.String("program", ended.Program),
			zap.String("reservation", ended.Reservation), zap.Uint64("handed_out", ended.TokensUsed))
		return nil
	case !isGranted:
		known.isEnded = true
		return nil
	}
	delete(h.reservations, ended.Reservation)
	return known
}

// Serve ends turns whose lifetime is over and charges them with all the tokens that they
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

// expired returns the granted reservations whose lifetime is over, and forgets early ends
// after earlyEndRetention.
func (h *Host) expired() []EndedTurn {
	now := h.now()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for name, endedAt := range h.endedEarly {
		if now.Sub(endedAt) > earlyEndRetention {
			delete(h.endedEarly, name)
		}
	}
	var expired []EndedTurn
	for name, known := range h.reservations {
		if known.isDone() && now.After(known.expires) {
			expired = append(expired, EndedTurn{Program: known.program, Reservation: name, TokensUsed: known.most})
		}
	}
	return expired
}
