package node

import (
	"context"
	"errors"
	"time"

	"github.com/marblering/marblering/coordination/execution"
	"github.com/marblering/marblering/coordination/fleet"
	"github.com/marblering/marblering/protocol/engineapi"
)

// engines adapts the client of the engine dialect to what runs calls and to the
// fleet.
type engines struct {
	client *engineapi.Client
	// takesWork tells whether the configuration in force allows new work at the
	// engine at the address.
	takesWork func(address string) bool
	// silence is how long an engine may send nothing during a call.
	silence     time.Duration
	instruments *instruments
}

// errWithdrawn ends an attempt before it is sent, where the engine drains or is
// stopped.
var errWithdrawn = errors.New("the configuration in force gives this engine no new work")

// errSilent ends an attempt whose engine has sent nothing for too long.
var errSilent = errors.New("the engine was silent for too long")

var (
	_ execution.Engines = engines{}
	_ fleet.Reporter    = engines{}
)

// Complete implements execution.Engines. It looks at the configuration again,
// since the engine was chosen before a quorum granted the attempt. By now this
// node has every version that was accepted before the grant.
func (e engines) Complete(ctx context.Context, address string, request execution.EngineRequest, onText func(string) error) (execution.EngineAnswer, error) {
	if !e.takesWork(address) {
		return execution.EngineAnswer{}, &execution.EngineError{Cause: errWithdrawn}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(e.silence, func() { cancel(errSilent) })
	defer watchdog.Stop()
	passOn := func(text string) error {
		watchdog.Reset(e.silence)
		return onText(text)
	}
	completion, err := e.client.Complete(ctx, address, engineapi.Request{
		RequestID: request.RequestID,
		Model:     request.Model,
		Adapter:   request.Adapter,
		Messages:  request.Messages,
		MaxTokens: request.OutputTokens,
		Hold:      request.Hold,
		Priority:  uint32(request.Priority),
	}, passOn)
	completion, err = e.resume(ctx, address, completion, err, passOn)
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

// maxResumes bounds how often a broken stream is resumed.
const maxResumes = 2

// resume reads on where the connection of a stream broke. The engine goes on
// generating meanwhile, so that nothing is run or paid for twice, even where the
// call must not be repeated.
func (e engines) resume(ctx context.Context, address string, partial engineapi.Completion, err error, onText func(string) error) (engineapi.Completion, error) {
	for range maxResumes {
		if !isBroken(err) || ctx.Err() != nil {
			return partial, err
		}
		var rest engineapi.Completion
		rest, err = e.client.Resume(ctx, address, partial, onText)
		rest.ID = partial.ID
		rest.Content = partial.Content + rest.Content
		rest.Chunks = max(rest.Chunks, partial.Chunks)
		partial = rest
	}
	return partial, err
}

// isBroken tells whether the stream broke off, so that the engine may still be at
// work on the request.
func isBroken(err error) bool {
	var failure *engineapi.Error
	return errors.As(err, &failure) && failure.Kind == engineapi.Truncated
}

// engineError keeps what matters for the next attempt. An error of another type
// counts as dispatched, since the engine may have run the request.
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
