package tokenbudget

import (
	"context"
	"time"

	"go.uber.org/zap"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/coordination/sleep"
	"github.com/marblering/marblering/state/budget"
)

// flushPollInterval is the pause between two looks whether all reserves are given back: short
// beside the time in which gateways tell of ended turns (endDelay).
const flushPollInterval = 10 * time.Millisecond

// Flush lets no turn begin any more, gives back what no turn needs, at once, and the rest
// as turns end, until all is given back or the context ends. What isn't given back by then
// is lost to its program: nobody knows later what its turns have generated. A host that
// didn't wait, and gave nothing back for programs with a turn under way, took up to 200 of
// 1,000 tokens from them (TestFlushWaitsForTurns).
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

// beginFlush returns the accounts without a turn, which wait for their idle time no
// longer, and the others.
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

// trim gives back what the account's turns under way don't need. The account must let no
// turn begin any more.
func (l *Ledger) trim(ctx context.Context, program string, current *account) {
	select {
	case current.drawLock <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-current.drawLock }()
	l.mutex.Lock()
	spent, underWay := current.spent, current.underWay
	// A turn that waits to begin must not use what is given back.
	current.reserved = min(current.reserved, underWay)
	l.mutex.Unlock()
	_, err := l.apply(ctx, program, lowPriority, func(record *statev1.TokenBudget) {
		budget.Trim(record, current.holder, spent, underWay)
	})
	if err != nil {
		// It is given back when the last turn ends, if that is in time.
		l.logger.Info("token reserve not trimmed", zap.String("program", program), zap.Error(err))
	}
}
