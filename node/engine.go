package node

import (
	"context"
	"errors"
	"time"

	"github.com/marblering/marblering/coordination/execution"
	"github.com/marblering/marblering/coordination/fleet"
	"github.com/marblering/marblering/protocol/engineapi"
)

// engines adapts the client of the engine dialect to call execution and to the
// view of the fleet.
type engines struct {
	client *engineapi.Client
	// silence is how long an engine may send nothing during a call.
	silence     time.Duration
	instruments *instruments
}

// errSilent ends an attempt whose engine has sent nothing for too long.
var errSilent = errors.New("the engine was silent for too long")

var (
	_ execution.Engines = engines{}
	_ fleet.Reporter    = engines{}
)

// Complete implements execution.Engines.
func (e engines) Complete(ctx context.Context, address string, request execution.EngineRequest, onText func(string) error) (execution.EngineAnswer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(e.silence, func() { cancel(errSilent) })
	defer watchdog.Stop()
	completion, err := e.client.Complete(ctx, address, engineapi.Request{
		RequestID: request.RequestID,
		Model:     request.Model,
		Adapter:   request.Adapter,
		Messages:  request.Messages,
		MaxTokens: request.OutputTokens,
		Hold:      request.Hold,
		Priority:  uint32(request.Priority),
	}, func(text string) error {
		watchdog.Reset(e.silence)
		return onText(text)
	})
	if err != nil {
		failure := engineError(err)
		e.instruments.attempts.WithLabelValues(attemptOutcome(failure)).Inc()
		return execution.EngineAnswer{}, failure
	}
	e.instruments.attempts.WithLabelValues(attemptOutcome(nil)).Inc()
	return execution.EngineAnswer{
		Content:      completion.Content,
		FinishReason: completion.FinishReason,
		Usage: execution.Usage{
			PromptTokens: completion.Usage.PromptTokens,
			OutputTokens: completion.Usage.OutputTokens,
			CachedTokens: completion.Usage.CachedTokens,
		},
	}, nil
}

// engineError keeps what matters for the next attempt. An error of an unknown
// type counts as dispatched: the engine may have run the request.
func engineError(err error) error {
	var failure *engineapi.Error
	if !errors.As(err, &failure) {
		return &execution.EngineError{Dispatched: true, Cause: err}
	}
	return &execution.EngineError{
		Dispatched: failure.Dispatched,
		Leaving:    failure.Kind == engineapi.Leaving,
		RetryAfter: failure.RetryAfter,
		Cause:      err,
	}
}

// Cancel implements execution.Engines.
func (e engines) Cancel(ctx context.Context, address, requestID string) error {
	return e.client.Cancel(ctx, address, requestID)
}

// Release implements execution.Engines.
func (e engines) Release(ctx context.Context, address, program string) error {
	return e.client.Release(ctx, address, program)
}

// Leaving implements fleet.Reporter.
func (e engines) Leaving(ctx context.Context, address string) (bool, error) {
	state, err := e.client.State(ctx, address)
	return state.Leaving, err
}

// Load implements fleet.Reporter.
func (e engines) Load(ctx context.Context, address string) (fleet.Load, error) {
	load, err := e.client.Load(ctx, address)
	if err != nil {
		return fleet.Load{}, err
	}
	return fleet.Load{
		Running:           int(load.RunningRequests),
		Waiting:           int(load.WaitingRequests),
		OutstandingTokens: uint64(load.OutstandingTokens),
		CacheUsed:         uint64(load.CacheUsedTokens),
		CacheLimit:        uint64(load.CacheLimitTokens),
		PrefillSpeed:      load.PrefillTokensPerSecond,
		DecodeSpeed:       load.DecodeTokensPerSecond,
	}, nil
}
