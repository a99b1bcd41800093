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
	// registerKey is the key of a slot's lease in the register of its shard. No program can
	// have this name, since a header can't contain a newline.
	registerKey = "\nquota"
	// changeTimeout bounds one change of a lease. It is less than leaseDuration, so that a
	// slow change can be retried before the lease ends.
	changeTimeout = 800 * time.Millisecond
	// idleTimeout is how long a node keeps a slot, or tries to take it, after it was last
	// asked for permits. Leases that nobody needs cost nothing.
	idleTimeout = 10 * time.Second
	// stepInterval is the interval between two checks of the leases while slots are in use.
	stepInterval = 50 * time.Millisecond
)

// Registers changes values by compare-and-swap. register.Client implements it.
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
	// wakeup is sent to when a slot is asked for that this node doesn't hold.
	wakeup chan struct{}

	mutex sync.Mutex
	slots map[uint32]*slot
	// released is set when this process starts to give its slots back.
	released atomic.Bool
}

// slot is the state of one slot on this node.
type slot struct {
	lease    *lease
	accounts map[string]*account
	// term is the term that accounts belongs to.
	term uint64
	// lastAsked is when a gateway last asked for permits. changing is set while the register
	// is being changed.
	lastAsked time.Time
	changing  bool
	// loggedHeld is the state that logHeldChange last logged.
	loggedHeld bool
}

// NewHolder returns a holder of no slots. The processID must be unique across all processes
// and their restarts; node is the machine's name.
func NewHolder(processID, node string, registers Registers, now func() time.Time, logger *zap.Logger) *Holder {
	return &Holder{
		processID: processID, node: node, registers: registers, now: now, logger: logger,
		wakeup: make(chan struct{}, 1), slots: make(map[uint32]*slot),
	}
}

// String returns the service's name in supervisor events.
func (h *Holder) String() string { return "quota holder" }

// Take grants permits if this node holds the slot; otherwise it makes Serve try to take
// the slot. A PermitRequest without a tenant only shows that the slot is needed.
func (h *Holder) Take(ask PermitRequest) PermitAnswer {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.now()
	s := h.slots[ask.Share.Slot]
	if s == nil {
		s = &slot{lease: newLease(h.processID, h.node)}
		h.slots[ask.Share.Slot] = s
	}
	s.lastAsked = now
	if h.released.Load() || !s.lease.holds(now) {
		h.wake()
		return NotHolder{}
	}
	if ask.Tenant == "" {
		return Granted{}
	}
	return s.take(ask, now)
}

func (s *slot) take(ask PermitRequest, now time.Time) PermitAnswer {
	if s.accounts == nil || s.term != s.lease.own.Term {
		s.accounts, s.term = make(map[string]*account), s.lease.own.Term
	}
	tenantAccount := s.accounts[ask.Tenant]
	if tenantAccount == nil {
		tenantAccount = newAccount(ask.Share.Rate, s.lease.takenAt)
		s.accounts[ask.Tenant] = tenantAccount
	}
	return tenantAccount.take(ask, now)
}

func (h *Holder) wake() {
	select {
	case h.wakeup <- struct{}{}:
	default:
	}
}

// Serve renews and takes slots while gateways ask for permits.
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

// step starts the lease changes that are due and reports whether any slot is in use.
func (h *Holder) step(ctx context.Context, changes *sync.WaitGroup) (inUse bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.now()
	for number, s := range h.slots {
		h.logHeldChange(number, s, now)
		if now.Sub(s.lastAsked) > idleTimeout {
			continue
		}
		inUse = true
		if s.changing || !s.lease.isDue(now) {
			continue
		}
		s.changing = true
		changes.Go(func() { h.changeLease(ctx, number, s) })
	}
	return inUse
}

// logHeldChange logs that a slot was taken or lost.
func (h *Holder) logHeldChange(number uint32, s *slot, now time.Time) {
	if held := s.lease.holds(now); held != s.loggedHeld {
		s.loggedHeld = held
		h.logger.Info("quota slot taken or lost", zap.Uint32("slot", number), zap.Bool("held", held), zap.Uint64("term", s.lease.own.Term),
			zap.String("seen_holder", s.lease.seen.Node), zap.Uint64("seen_term", s.lease.seen.Term))
	}
}

// changeLease renews the lease of the slot or takes the slot.
func (h *Holder) changeLease(ctx context.Context, number uint32, s *slot) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	h.mutex.Lock()
	known := *s.lease
	h.mutex.Unlock()
	sent := h.now()
	var read claim
	committed, err := h.registers.Apply(ctx, number, registerKey, func(value []byte) ([]byte, error) {
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
		// The register may have committed the claim of an earlier call of the function, with
		// another term than the last call's. Using the last one would reset the accounts and
		// grant the tenants' bursts again.
		changed, err = decodeClaim(committed)
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	s.changing = false
	now := h.now()
	switch {
	case err == nil:
		s.lease.recordGranted(changed, sent, now)
	case errors.Is(err, errSlotHeld):
		s.lease.recordRefused(read, sent, now)
	default:
		s.lease.recordFailed(sent, now)
		h.logger.Info("quota slot lease not changed", zap.Uint32("slot", number), zap.Error(err))
	}
	h.logHeldChange(number, s, now)
}

// Release gives back the slots that this node holds, so that others can take them at once.
// The node grants nothing afterwards. All slots are released at once, so that one whose
// register doesn't answer takes no time from the others.
func (h *Holder) Release(ctx context.Context) {
	h.released.Store(true)
	h.mutex.Lock()
	var held []uint32
	for number, s := range h.slots {
		if s.lease.holds(h.now()) {
			held = append(held, number)
		}
		s.lease.validUntil, s.lastAsked = time.Time{}, time.Time{}
	}
	h.mutex.Unlock()
	var releases sync.WaitGroup
	for _, number := range held {
		releases.Go(func() {
			if _, err := h.registers.Apply(ctx, number, registerKey, h.vacate); err != nil {
				h.logger.Info("quota slot not released", zap.Uint32("slot", number), zap.Error(err))
			}
		})
	}
	releases.Wait()
}

// vacate removes this process's claim from the register's value.
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
