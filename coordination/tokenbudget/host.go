package tokenbudget

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// expiryInterval is the pause between two searches for turns that never ended.
	// Chosen, not measured.
	expiryInterval = time.Second
	// earlyEndRetention is how long the end of a reservation is remembered that hasn't
	// arrived. It is longer than a reservation is under way: a connection that says
	// nothing is given up after 4 s (peer.pingTimeout twice). Chosen, not measured.
	earlyEndRetention = 10 * time.Second
)

// errEndedBeforeGrant means that the gateway ended the reservation before it was granted.
var errEndedBeforeGrant = errors.New("the reservation was ended before it was granted")

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
	// MayRecur is set where another reservation may have the same name: gateways of
	// earlier versions name all attempts at a turn alike.
	MayRecur bool
}

// Host serves a ledger to gateways. All gateways ask the same host for a program as
// long as it answers, so that most turns begin from its reserve. It is a suture
// service and safe for concurrent use.
type Host struct {
	ledger *Ledger
	now    func() time.Time

	mutex        sync.Mutex
	reservations map[string]*hostReservation
	// endedEarly is when reservations were ended that weren't granted here, or haven't
	// arrived: a host that was paused takes in both at once, in any order.
	endedEarly map[string]time.Time
}

// hostReservation is a reservation that is asked for or granted. The host's mutex guards it.
type hostReservation struct {
	program string
	most    uint64
	expires time.Time
	// done is closed once err says whether the reservation is granted.
	done chan struct{}
	err     error
	// isEnded is set where the reservation was ended before it was decided.
	isEnded bool
}

// isDone tells that the ledger has granted or refused the reservation.
func (r *hostReservation) isDone() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// NewHost makes a host without turns.
func NewHost(ledger *Ledger, now func() time.Time) *Host {
	return &Host{
		ledger: ledger, now: now, reservations: make(map[string]*hostReservation), endedEarly: make(map[string]time.Time),
	}
}

// String names the service in the supervisor's messages.
func (h *Host) String() string { return "host of budgets" }

// Reserve lets the turn begin, as Ledger.Reserve does. A repeated reservation is
// answered as the first one. One that was ended meanwhile, or before it arrived, isn't
// granted: its gateway has given it up and won't end it again, so that it would stay
// charged with its most, for tokens that nobody generates. Programs were charged with more
// than they had generated in 126 of 200 simulated runs with late messages, and in none
// since (conversation.TestBudgetIsCountedThoughMessagesAreLate, virtual time).
func (h *Host) Reserve(ctx context.Context, wanted Reservation) error {
	asked, isRepeated, err := h.findOrAdd(wanted)
	if err != nil {
		return err
	}
	if isRepeated {
		return asked.await(ctx)
	}
	return h.complete(wanted.Name, asked, h.ledger.Reserve(ctx, wanted))
}

// findOrAdd notes a reservation that is asked for, or returns the one of its name.
func (h *Host) findOrAdd(wanted Reservation) (asked *hostReservation, isRepeated bool, err error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if known, found := h.reservations[wanted.Name]; found {
		return known, true, nil
	}
	if _, ended := h.endedEarly[wanted.Name]; ended {
		return nil, false, errEndedBeforeGrant
	}
	asked = &hostReservation{
		program: wanted.Program, most: wanted.Most, expires: h.now().Add(wanted.Lifetime), done: make(chan struct{}),
	}
	h.reservations[wanted.Name] = asked
	return asked, false, nil
}

// await waits until the reservation is decided.
func (r *hostReservation) await(ctx context.Context) error {
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// complete takes the ledger's answer and returns that of the host.
func (h *Host) complete(name string, asked *hostReservation, err error) error {
	h.mutex.Lock()
	isGivenBack := asked.isEnded && err == nil
	if isGivenBack {
		err = errEndedBeforeGrant
	}
	if err != nil {
		delete(h.reservations, name)
	}
	asked.err = err
	close(asked.done)
	h.mutex.Unlock()
	if isGivenBack {
		h.ledger.End(asked.program, asked.most, 0)
	}
	return err
}

// End counts what turns have handed out. A reservation that is still asked for won't be
// granted. One that isn't known was refused, or has ended before, or is still on its
// way.
func (h *Host) End(ended []Ended) {
	for _, one := range ended {
		if granted := h.end(one); granted != nil {
			h.ledger.End(granted.program, granted.most, one.HandedOut)
		}
	}
}

// end removes the reservation and returns it where it was granted.
func (h *Host) end(ended Ended) (granted *hostReservation) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	known, found := h.reservations[ended.Reservation]
	isGranted := found && known.isDone()
	if !isGranted && !ended.MayRecur {
		h.endedEarly[ended.Reservation] = h.now()
	}
	switch {
	case !found:
		h.ledger.logger.Info("ended turn unknown", zap.String("program", ended.Program),
			zap.String("reservation", ended.Reservation), zap.Uint64("handed_out", ended.HandedOut))
		return nil
	case !isGranted:
		known.isEnded = true
		return nil
	}
	delete(h.reservations, ended.Reservation)
	return known
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

// expired returns the reservations whose lifetime is over, and forgets old early ends.
func (h *Host) expired() []Ended {
	now := h.now()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for name, ended := range h.endedEarly {
		if now.Sub(ended) > earlyEndRetention {
			delete(h.endedEarly, name)
		}
	}
	var expired []Ended
	for name, known := range h.reservations {
		if known.isDone() && now.After(known.expires) {
			expired = append(expired, Ended{Program: known.program, Reservation: name, HandedOut: known.most})
		}
	}
	return expired
}
