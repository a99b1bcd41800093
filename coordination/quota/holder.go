package quota

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/sleep"
)

const (
	// registerKey is the register of a slot's lease in the slot's shard. No program
	// can have the name: a header can't carry it.
	registerKey = "\nquota"
	// changeTimeout bounds one change of a lease: less than leaseTime, so that a slow
	// change can be tried again within it. Chosen, not measured.
	changeTimeout = 800 * time.Millisecond
	// idleTimeout is how long after it was last asked for permits a node keeps a slot
	// or tries to take it. Without interest leases cost nothing. Chosen, not measured.
	idleTimeout = 10 * time.Second
	// stepInterval is the pause between two checks of the leases while there is interest.
	// Chosen, not measured.
	stepInterval = 50 * time.Millisecond
)

// Registers changes a value by compare-and-swap. register.Client is one.
type Registers interface {
	Apply(ctx context.Context, shard uint32, key string, change register.Change) ([]byte, error)
}

// Holder holds slots on one storage node and grants their permits. It is a suture
// service and safe for concurrent use.
type Holder struct {
	processID, node string
	registers       Registers
	now             func() time.Time
	logger          *zap.Logger
	// wakeup is sent to when a node without interest is asked.
	wakeup chan struct{}

	mutex sync.Mutex
	slots map[uint32]*slot
	// released is set once this process gives its slots back.
	released atomic.Bool
}

// slot is one slot as this node knows it.
type slot struct {
	lease    *lease
	accounts map[string]*account
	// term is that of the accounts.
	term uint64
	// lastAsked is when a gateway last lastAsked, changing set while the register is changed.
	lastAsked time.Time
	changing  bool
	// loggedHeld is what noteHeld logged last.
	loggedHeld bool
}

// NewHolder makes a holder of no slot. The life identifies this process: it must be
// unique over all processes and their restarts. The node is the machine's name.
func NewHolder(life, node string, registers Registers, now func() time.Time, logger *zap.Logger) *Holder {
	return &Holder{
		processID: life, node: node, registers: registers, now: now, logger: logger,
		wakeup: make(chan struct{}, 1), slots: make(map[uint32]*slot),
	}
}

// String names the service in the supervisor's messages.
func (h *Holder) String() string { return "holder of quotas" }

// Take grants permits if this node holds the slot; otherwise Serve tries to take the
// slot. An Ask without a tenant only shows that the slot is needed.
func (h *Holder) Take(ask Ask) Grant {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.now()
	asked := h.slots[ask.Part.Slot]
	if asked == nil {
		asked = &slot{lease: newLease(h.processID, h.node)}
		h.slots[ask.Part.Slot] = asked
	}
	asked.lastAsked = now
	if h.released.Load() || !asked.lease.holds(now) {
		h.wake()
		return NotHolder{}
	}
	if ask.Tenant == "" {
		return Granted{}
	}
	return asked.take(ask, now)
}

func (s *slot) take(ask Ask, now time.Time) Grant {
	if s.accounts == nil || s.term != s.lease.own.Term {
		s.accounts, s.term = make(map[string]*account), s.lease.own.Term
	}
	kept := s.accounts[ask.Tenant]
	if kept == nil {
		kept = newAccount(ask.Part.Rate, s.lease.takenAt)
		s.accounts[ask.Tenant] = kept
	}
	return kept.take(ask, now)
}

func (h *Holder) wake() {
	select {
	case h.wakeup <- struct{}{}:
	default:
	}
}

// Serve keeps and takes slots while gateways ask for permits.
func (h *Holder) Serve(ctx context.Context) error {
	var changes sync.WaitGroup
	defer changes.Wait()
	for {
		if h.step(ctx, &changes) {
			if sleep.For(ctx, stepInterval) != nil {
				return ctx.Err()
			}
			continue
		}
		select {
		case <-h.wakeup:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// step begins the changes that are due, and tells whether there is any interest.
func (h *Holder) step(ctx context.Context, changes *sync.WaitGroup) (interested bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.now()
	for number, one := range h.slots {
		h.logHeldChange(number, one, now)
		if now.Sub(one.lastAsked) > idleTimeout {
			continue
		}
		interested = true
		if one.changing || !one.lease.isDue(now) {
			continue
		}
		one.changing = true
		changes.Go(func() { h.changeLease(ctx, number, one) })
	}
	return interested
}

// logHeldChange logs when a slot was taken or lost.
func (h *Holder) logHeldChange(number uint32, one *slot, now time.Time) {
	if held := one.lease.holds(now); held != one.loggedHeld {
		one.loggedHeld = held
		h.logger.Info("quota slot taken or lost", zap.Uint32("slot", number), zap.Bool("held", held), zap.Uint64("term", one.lease.own.Term),
			zap.String("seen_holder", one.lease.seen.Node), zap.Uint64("seen_term", one.lease.seen.Term))
	}
}

// changeLease renews or takes the slot.
func (h *Holder) changeLease(ctx context.Context, number uint32, one *slot) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	h.mutex.Lock()
	known := *one.lease
	h.mutex.Unlock()
	sent := h.now()
	var read claim
	chosen, err := h.registers.Apply(ctx, number, registerKey, func(value []byte) ([]byte, error) {
		current, err := decodeClaim(value)
		if err != nil {
			return nil, err
		}
		read = current
		if h.released.Load() {
			return nil, errSlotHeld
		}
		changed, err := known.renewOrTake(current, sent)
		if err != nil {
			return nil, err
		}
		return encodeClaim(changed)
	})
	var changed claim
	if err == nil {
		// The claim of an earlier call may be the one that was chosen, with another term
		// than that of the last call. A holder that went by the last one began the
		// accounts of its term anew and granted the tenants' bursts again.
		changed, err = decodeClaim(chosen)
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	one.changing = false
	now := h.now()
	switch {
	case err == nil:
		one.lease.recordGranted(changed, sent, now)
	case errors.Is(err, errSlotHeld):
		one.lease.recordRefused(read, now)
	default:
		one.lease.recordFailed(now)
		h.logger.Info("quota slot lease not changed", zap.Uint32("slot", number), zap.Error(err))
	}
	h.logHeldChange(number, one, now)
}

// Release gives the slots back that this node holds, so that others may take them at
// once. It grants nothing afterwards.
func (h *Holder) Release(ctx context.Context) {
	h.released.Store(true)
	h.mutex.Lock()
	var held []uint32
	for number, one := range h.slots {
		if one.lease.holds(h.now()) {
			held = append(held, number)
		}
		one.lease.validUntil, one.lastAsked = time.Time{}, time.Time{}
	}
	h.mutex.Unlock()
	for _, number := range held {
		_, err := h.registers.Apply(ctx, number, registerKey, h.vacate)
		if err != nil {
			h.logger.Info("quota slot not released", zap.Uint32("slot", number), zap.Error(err))
		}
	}
}

// vacate withdraws this process's claim from the register's value.
func (h *Holder) vacate(value []byte) ([]byte, error) {
	current, err := decodeClaim(value)
	if err != nil {
		return nil, err
	}
	if current.Holder != h.processID {
		return value, nil
	}
	return encodeClaim(claim{Term: current.Term})
}
