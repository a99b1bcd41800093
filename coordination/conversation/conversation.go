// Package conversation runs the turns of programs at a gateway. For each turn it reads the
// earlier turns and prepends them to the input, reserves the tokens that the turn may
// generate, counts what is delivered, and stores the turn before its answer ends.
//
// It holds no state but the turns in progress: turnstore keeps turns, and tokenbudget
// counts budgets. retryafter.go decides when a refused client may retry.
package conversation

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/coordination/streamorigin"
	"github.com/marblering/marblering/coordination/tokenbudget"
	"github.com/marblering/marblering/coordination/turnstore"
	"github.com/marblering/marblering/state/budget"
	"github.com/marblering/marblering/state/result"
)

// Turns stores whole turns. turnstore.Store implements it.
type Turns interface {
	// Put stores a turn. Its ancestors are given for replicas that lack them.
	Put(ctx context.Context, program string, whole *statev1.RetainedTurn, ancestors []*statev1.RetainedTurn) error
	History(ctx context.Context, program, id string) ([]*statev1.RetainedTurn, error)
}

// Budgets counts tokens. tokenbudget.Client implements it.
type Budgets interface {
	Reserve(ctx context.Context, wanted tokenbudget.Reservation) error
	End(ended tokenbudget.EndedTurn)
}

const (
	// minStateTime is the least time allowed for reading earlier turns and reserving
	// tokens, both together: enough for two slow hosts of a budget or for one change of a
	// replica set.
	minStateTime = 800 * time.Millisecond
	// stateTimeFraction is the fraction of a request's remaining time allowed for them if
	// that is more. It leaves the rest for the answer. With minStateTime alone a turn was
	// refused after 0.8 of its 2.5 s, while members that answered slowly were still to answer.
	stateTimeFraction = 0.5
)

// Service begins turns. It is safe for concurrent use.
type Service struct {
	turns   Turns
	budgets Budgets
	// isCutOff reports whether this gateway can reach no storage node.
	isCutOff func() bool
	logger   *zap.Logger
	outage   outage
	outputs  outputs
	// random returns the suffix that makes the name of a reservation unique.
	random func() uint64
}

// New returns a service. The functions must be safe for concurrent use.
func New(turns Turns, budgets Budgets, isCutOff func() bool, now func() time.Time, random func() uint64, logger *zap.Logger) *Service {
	return &Service{
		turns: turns, budgets: budgets, isCutOff: isCutOff, logger: logger, outage: outage{now: now}, random: random,
	}
}

// Request describes a turn to begin.
type Request struct {
	// ID is the id of the client's request. It becomes the turn's id when the answer is
	// complete.
	ID      string
	Program string
	// Tenant owns the turn, empty if there are no tenants.
	Tenant string
	// Previous is the id of the turn that this one continues, empty for the first turn of
	// a program.
	Previous string
	// Budget is the number of tokens that all turns of the program may generate together,
	// zero for no limit.
	Budget uint64
	// MaxTokens is the maximum number of tokens that this turn may generate.
	MaxTokens uint64
	// TokensPerEvent is the number of tokens in one event of the answer.
	TokensPerEvent uint64
	// Retained is set if the turn is stored for Retention and the earlier turns are
	// prepended to its input.
	Retained  bool
	Retention time.Duration
	// Route is the name of the request's route.
	Route string
	// Timeout is the maximum duration of the turn.
	Timeout time.Duration
	// Input is the body of the request.
	Input []byte
	// Origin is where the turn's stream begins, recorded with the reservation of tokens. Nil
	// if the stream can't be resumed.
	Origin *streamorigin.Record
}

// Begin reads the earlier turns and reserves tokens. If it succeeds, End must be called.
func (s *Service) Begin(ctx context.Context, request Request) (*Turn, *result.Error) {
	if s.isCutOff() {
		return nil, result.Errorf(result.NoQuorum, "no storage node can be reached from this gateway").WithRetryAfter(otherGatewayRetryAfter)
	}
	ctx, cancel := context.WithTimeout(ctx, stateTime(ctx))
	defer cancel()
	turn := &Turn{service: s, request: request}
	if request.Retained && request.Previous != "" {
		if failure := turn.readHistory(ctx); failure != nil {
			return nil, failure
		}
	}
	if failure := turn.reserve(ctx); failure != nil {
		return nil, failure
	}
	return turn, nil
}

// stateTime returns how long reading earlier turns and reserving tokens may take for a
// request with the context's deadline.
func stateTime(ctx context.Context) time.Duration {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return minStateTime
	}
	share := time.Duration(stateTimeFraction * float64(time.Until(deadline)))
	return max(minStateTime, share)
}

// Turn is a turn in progress. It is used by one goroutine.
type Turn struct {
	service *Service
	request Request
	// history holds the earlier turns, oldest first.
	history []*statev1.RetainedTurn
	// reservation is the name of the turn's token reservation, empty if there is none.
	reservation string
	events      uint64
	output      output
}

// readHistory reads the earlier turns. It refuses a turn of another tenant.
func (t *Turn) readHistory(ctx context.Context) *result.Error {
	history, err := t.service.turns.History(ctx, t.request.Program, t.request.Previous)
	if errors.Is(err, turnstore.ErrTurnNotFound) {
		t.service.logger.Info("turn unknown", zap.String("request", t.request.ID),
			zap.String("program", t.request.Program), zap.String("previous", t.request.Previous), zap.Error(err))
		return unknownTurn(t.request.Previous)
	}
	if err != nil {
		return result.Errorf(result.HistoryUnavailable, "%v", err).WithRetryAfter(t.service.outage.retryAfter()).WithCause(err)
	}
	if owner := history[len(history)-1].GetTenant(); owner != t.request.Tenant {
		t.service.logger.Info("turn of another tenant", zap.String("request", t.request.ID), zap.String("previous", t.request.Previous),
			zap.String("tenant", t.request.Tenant), zap.String("owner", owner))
		return unknownTurn(t.request.Previous)
	}
	t.history = history
	return nil
}

// unknownTurn is the refusal for a turn that isn't stored. A turn of another tenant gets the
// same one, so that its existence isn't disclosed.
func unknownTurn(id string) *result.Error {
	return result.Errorf(result.UnknownTurn, "turn %q does not exist or is no longer stored", id)
}

// reserve reserves the tokens that the turn may generate.
func (t *Turn) reserve(ctx context.Context) *result.Error {
	if t.request.Budget == 0 {
		return nil
	}
	name := t.service.reservationName(t.request.ID)
	err := t.service.budgets.Reserve(ctx, tokenbudget.Reservation{
		Program: t.request.Program, Name: name, ProgramLimit: t.request.Budget,
		MaxTokens: t.request.MaxTokens, Lifetime: t.request.Timeout, ProgramRunning: t.request.Previous != "",
		Origin: t.request.Origin,
	})
	switch {
	case errors.Is(err, budget.ErrExhausted):
		return result.Errorf(result.BudgetExhausted, "%v", err)
	case errors.Is(err, budget.ErrReserved):
		return result.Errorf(result.BudgetReserved, "%v", err).WithRetryAfter(reservedRetryAfter)
	case err != nil:
		return result.Errorf(result.NoQuorum, "%v", err).WithRetryAfter(t.service.outage.retryAfter())
	}
	t.reservation = name
	return nil
}

// reservationName returns a unique name for a reservation of the request. A client may
// retry a request under the same id while a host has yet to learn that the earlier attempt
// has ended. With the same name for both, that would end the new attempt and leave its
// tokens uncounted.
func (s *Service) reservationName(request string) string {
	return fmt.Sprintf("%s#%x", request, s.random())
}

// Body returns the body for the back end: input and output of each earlier turn, followed
// by the new input.
func (t *Turn) Body() []byte {
	if len(t.history) == 0 {
		return t.request.Input
	}
	size := len(t.request.Input)
	for _, earlier := range t.history {
		size += len(earlier.GetInput()) + len(earlier.GetOutput())
	}
	body := make([]byte, 0, size)
	for _, earlier := range t.history {
		body = append(body, earlier.GetInput()...)
		body = append(body, earlier.GetOutput()...)
	}
	return append(body, t.request.Input...)
}

// Event counts an event that is about to be delivered, and keeps its data if the turn is
// retained. An event with which the output is too large must not be delivered: the error is an
// *OutputError.
func (t *Turn) Event(data []byte) error {
	if t.request.Retained {
		if err := t.keep(data); err != nil {
			return err
		}
	}
	t.events++
	return nil
}

// Complete stores the turn. The answer may be ended as complete only if it returns nil.
func (t *Turn) Complete(ctx context.Context) error {
	if !t.request.Retained {
		return nil
	}
	ancestors := make([]string, 0, len(t.history))
	for _, earlier := range t.history {
		ancestors = append(ancestors, earlier.GetId())
	}
	return t.service.turns.Put(ctx, t.request.Program, &statev1.RetainedTurn{
		Id: t.request.ID, Ancestors: ancestors, Input: t.request.Input, Output: t.output.join(),
		RetentionMs: t.request.Retention.Milliseconds(), Tenant: t.request.Tenant, Route: t.request.Route,
	}, t.history)
}

// End drops the output, ends the turn's reservation and charges the budget with the delivered
// tokens.
func (t *Turn) End() {
	t.dropOutput()
	if t.reservation == "" {
		return
	}
	t.service.budgets.End(tokenbudget.EndedTurn{
		Program: t.request.Program, Reservation: t.reservation, TokensUsed: t.events * t.request.TokensPerEvent,
	})
	t.reservation = ""
}
