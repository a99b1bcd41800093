// Package tokenbudget holds the turns of programs to their budgets over all
// gateways. Each program's record is a quorum register, so that turns which
// enter through different gateways at once are counted together, also after
// restarts of any of them.
package tokenbudget

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/state/budget"
)

// Register changes a value by compare-and-swap. register.Client is one.
type Register interface {
	Apply(ctx context.Context, shard uint32, key string, change register.Change) ([]byte, error)
}

// Settings are the bounds of a Ledger.
type Settings struct {
	// SettleDelay is how long a settlement waits for the program's next turn,
	// which then takes it along.
	SettleDelay time.Duration
	// SettleTimeout bounds one try to settle alone.
	SettleTimeout time.Duration
	// SettlePause follows a try that failed.
	SettlePause time.Duration
	// SettleTries bounds the tries. What can't be settled stays charged at its
	// most.
	SettleTries int
}

// DefaultSettings settle well within a second of a turn's end.
func DefaultSettings() Settings {
	return Settings{
		SettleDelay: 250 * time.Millisecond, SettleTimeout: 2 * time.Second,
		SettlePause: 300 * time.Millisecond, SettleTries: 20,
	}
}

// Ledger reserves and settles. It is safe for concurrent use.
type Ledger struct {
	registers Register
	locate    func(program string) uint32
	settings  Settings
	logger    *zap.Logger

	mutex   sync.Mutex
	pending map[string][]budget.Settlement
	running sync.WaitGroup
}

// New makes a ledger that has nothing to settle.
func New(registers Register, locate func(program string) uint32, settings Settings, logger *zap.Logger) *Ledger {
	return &Ledger{
		registers: registers, locate: locate, settings: settings, logger: logger,
		pending: make(map[string][]budget.Settlement),
	}
}

// Reserve lets a turn of the program begin, or returns budget.ErrSpent, or an
// error that says that the record can't be reached. A turn that was reserved, or
// may have been, must be settled.
func (l *Ledger) Reserve(ctx context.Context, program string, limit uint64, wanted budget.Reservation) error {
	settled := l.take(program)
	err := l.apply(ctx, program, func(record *statev1.TokenBudget) error {
		budget.Settle(record, settled)
		return budget.Reserve(record, limit, wanted)
	})
	if err != nil {
		// The change may have been made or not; settling twice is harmless.
		l.putBack(program, settled)
	}
	return err
}

// Settle ends a turn's reservation by what it handed out. It doesn't wait.
func (l *Ledger) Settle(program string, settlement budget.Settlement) {
	l.putBack(program, []budget.Settlement{settlement})
}

// Flush waits until everything is settled, or the context ends.
func (l *Ledger) Flush(ctx context.Context) {
	settled := make(chan struct{})
	go func() {
		l.running.Wait()
		close(settled)
	}()
	select {
	case <-settled:
	case <-ctx.Done():
	}
}

// take removes the program's settlements, to be made with its next change.
func (l *Ledger) take(program string) []budget.Settlement {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	settled := l.pending[program]
	delete(l.pending, program)
	return settled
}

// putBack keeps settlements for the program's next turn, and sees to it that
// they are made without one.
func (l *Ledger) putBack(program string, settled []budget.Settlement) {
	if len(settled) == 0 {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	_, isWaiting := l.pending[program]
	l.pending[program] = append(l.pending[program], settled...)
	if !isWaiting {
		l.running.Add(1)
		time.AfterFunc(l.settings.SettleDelay, func() {
			defer l.running.Done()
			l.settleAlone(program)
		})
	}
}

// settleAlone makes the settlements that no turn took along.
func (l *Ledger) settleAlone(program string) {
	for range l.settings.SettleTries {
		settled := l.take(program)
		if len(settled) == 0 {
			return
		}
		if l.tryToSettle(program, settled) == nil {
			return
		}
		l.mutex.Lock()
		l.pending[program] = append(l.pending[program], settled...)
		l.mutex.Unlock()
		time.Sleep(l.settings.SettlePause)
	}
	lost := l.take(program)
	l.logger.Warn("turns stay charged at their most", zap.String("program", program), zap.Int("turns", len(lost)))
}

func (l *Ledger) tryToSettle(program string, settled []budget.Settlement) error {
	ctx, cancel := context.WithTimeout(context.Background(), l.settings.SettleTimeout)
	defer cancel()
	return l.apply(ctx, program, func(record *statev1.TokenBudget) error {
		budget.Settle(record, settled)
		return nil
	})
}

// apply makes one change of the program's record. The change may be called
// several times, each time with a record of its own.
func (l *Ledger) apply(ctx context.Context, program string, change func(*statev1.TokenBudget) error) error {
	var refusal error
	_, err := l.registers.Apply(ctx, l.locate(program), program, func(current []byte) ([]byte, error) {
		record, err := budget.Decode(program, current)
		if err != nil {
			return nil, err
		}
		if refusal = change(record); refusal != nil && !errors.Is(refusal, budget.ErrSpent) {
			return nil, refusal
		}
		// Settlements that came with a refused turn are kept.
		return budget.Encode(record)
	})
	if err != nil {
		return err
	}
	return refusal
}
