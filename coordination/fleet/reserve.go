package fleet

import (
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/execution"
	"github.com/marblering/marblering/coordination/limit"
	"github.com/marblering/marblering/coordination/routing"
)

// reserve records the work of a decision until the attempt is released.
func (f *Fleet) reserve(query execution.Query, request *routing.Request, decision routing.Decision, name string) execution.Choice {
	now := f.Now()
	f.ledger.Reserve(decision.Engine, name, decision.Work, now)
	f.locality.Dispatched(query.Program, decision.Engine, request.PromptTokens(), now)
	released := &atomic.Bool{}
	return execution.Choice{
		Engine:   decision.Engine,
		Address:  decision.Address,
		Priority: int64(decision.Priority),
		Reason:   decision.Reason,
		Release: func(report execution.AttemptReport) {
			if released.CompareAndSwap(false, true) {
				f.release(decision, name, report)
			}
		},
	}
}

// release frees the reservation and updates the statistics of the engine with the
// outcome of the attempt.
func (f *Fleet) release(decision routing.Decision, name string, report execution.AttemptReport) {
	now := f.Now()
	engine := decision.Engine
	f.ledger.Release(engine, name, now)
	f.Admitter.Release(engine, name)
	if report.Err == nil {
		f.recordSuccess(engine, report)
		f.recordOutcome(engine, limit.Outcome{Expected: decision.Expected, Duration: report.Total}, now)
		return
	}
	var failure *execution.EngineError
	if !errors.As(report.Err, &failure) {
		return
	}
	f.locality.Lost(report.Program, engine)
	if report.Leaving {
		f.recordLeaving(engine, true)
		return
	}
	f.recordOutcome(engine, limit.Outcome{Failed: true, Expected: decision.Expected, Duration: report.Total}, now)
}

// recordOutcome passes an outcome to the ejector and logs if the engine is ejected
// as a result.
func (f *Fleet) recordOutcome(engine string, outcome limit.Outcome, now time.Time) {
	before := f.ejector.Health(engine, now)
	after := f.ejector.Observe(engine, outcome, now)
	if after != limit.Ejected || before == limit.Ejected {
		return
	}
	f.Logger.Info("engine ejected", zap.String("engine", engine), zap.Bool("failed", outcome.Failed),
		zap.Duration("took", outcome.Duration), zap.Duration("expected", outcome.Expected))
}

func (f *Fleet) notifyLeaving(engine string, leaving bool) {
	if f.OnLeaving != nil {
		f.OnLeaving(engine, leaving)
	}
}

func (f *Fleet) recordSuccess(engine string, report execution.AttemptReport) {
	usage := report.Usage
	f.locality.Answered(report.Program, engine, usage.PromptTokens+usage.OutputTokens, f.Now())
	if usage.CachedTokens > usage.PromptTokens || report.FirstText <= 0 {
		return
	}
	f.speeds.Observe(engine, routing.Observation{
		ComputedTokens: usage.PromptTokens - usage.CachedTokens,
		PrefillTime:    report.FirstText,
		OutputTokens:   usage.OutputTokens,
		DecodeTime:     report.Total - report.FirstText,
	})
}
