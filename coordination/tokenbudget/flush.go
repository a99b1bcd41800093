package tokenbudget

import (
	"context"
	"time"

	"go.uber.org/zap"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/coordination/sleep"
	"github.com/marblering/marblering/state/budget"
)

// flushPollInterval is the interval at which Flush checks whether all reserves are
// released. It is short relative to endReportDelay, after which gateways report ended turns.
const flushPollInterval = 10 * time.Millisecond

// Flush refuses new turns and releases all reserves: what no turn needs at once, and the
// rest as turns end. It returns once everything is released or the context ends. A reserve
// that isn't released by then stays charged to its program, since nobody can tell later how
// much of it was used.
func (l *Ledger) Flush(ctx context.Context) {
	idle, inUse := l.beginFlush()
	for program, current := range idle {
		go l.release(program, current)
	}
	for program, current := range inUse {
		go l.trim(ctx, program, current)
	}
	for l.hasUnreleased() && sleep.For(ctx, flushPollInterval) == nil {
	}
}

// beginFlush returns the accounts without turns, whose idle timers it stops, and those
// with turns.
func (l *Ledger) beginFlush() (idle, inUse map[string]*account) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.flushing = true
	idle, inUse = make(map[string]*account), make(map[string]*account)
	for program, current := range l.accounts {
		switch {
		case current.users > 0:
			inUse[program] = current
		case current.timer.Stop():
			idle[program] = current
		}
	}
	return idle, inUse
}

func (l *Ledger) hasUnreleased() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.unreleased > 0
}

// trim releases the part of the account's reserve that its turns don't need. The ledger must
// already refuse new turns.
func (l *Ledger) trim(ctx context.Context, program string, current *account) {
	select {
	case current.reserveLock <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-current.reserveLock }()
	l.mutex.Lock()
	spent, running := current.spent, current.running
	// A turn that waits to begin must not use what is released.
	current.reserved = min(current.reserved, running)
	l.mutex.Unlock()
	_, err := l.apply(ctx, program, lowPriority, func(record *statev1.TokenBudget) {
		budget.ReleaseUnused(record, current.holder, spent, running)
	})
	if err != nil {
		// The reserve is released when the last turn ends, if that is before the stop.
		l.logger.Info("token reserve not trimmed", zap.String("program", program), zap.Error(err))
	}
}
