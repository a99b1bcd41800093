// Package conversation carries one turn of a program through a gateway. It reads the
// turns that the new one goes on from and puts them in front of its input, reserves
// the tokens that it may generate, counts what is handed out, and stores the turn
// before its answer ends.
//
// It owns nothing but the turns under way. It relies on turnstore for kept turns and
// on tokenbudget for budgets. When a client that is refused here may come back is
// decided in pause.go.
package conversation

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/coordination/tokenbudget"
	"github.com/marblering/marblering/coordination/turnstore"
	"github.com/marblering/marblering/state/budget"
	"github.com/marblering/marblering/state/result"
)

// Turns stores whole turns. turnstore.Store is one.
type Turns interface {
	Put(ctx context.Context, program string, whole *statev1.RetainedTurn) error
	Line(ctx context.Context, program, id string) ([]*statev1.RetainedTurn, error)
}

// Budgets counts tokens. tokenbudget.Client is one.
type Budgets interface {
	Reserve(ctx context.Context, wanted tokenbudget.Reservation) error
	End(ended tokenbudget.Ended)
}

const (
	// stateTimeout is how long the reading of earlier turns and the reservation of tokens
	// may take at least, both together, before a turn is sent out: two slow hosts of a
	// budget (0.35 s each), or a change of a replica set, which takes about 0.3 s.
	stateTimeout = 800 * time.Millisecond
	// stateShare is the part of a request's remaining time that they may take where that
	// is more: state that answers slowly is waited for, and leaves as much for the answer.
	// What doesn't answer ends the wait sooner, by turnstore and tokenbudget. With
	// stateTimeout alone a turn was refused after 0.8 of 2.5 s while each member of two
	// shards was still to answer after 0.25 s (TestSlowStateIsWaitedFor). The share is
	// chosen, not measured.
	stateShare = 0.5
)

// Service begins turns. It is safe for concurrent use.
type Service struct {
	turns   Turns
	budgets Budgets
	// cutOff reports that no storage node can be reached from this gateway.
	cutOff  func() bool
	logger  *zap.Logger
	trouble trouble
	// random draws the part of a reservation's name that sets it apart from others for
	// the same request.
	random func() uint64
}

// New makes a service. The random source must be safe for concurrent use.
func New(turns Turns, budgets Budgets, cutOff func() bool, now func() time.Time, random func() uint64, logger *zap.Logger) *Service {
	return &Service{
		turns: turns, budgets: budgets, cutOff: cutOff, logger: logger, trouble: trouble{now: now}, random: random,
	}
}

// Request describes a turn that is about to begin.
type Request struct {
	// ID is the id of the client's request, which becomes that of the turn once its
	// answer is complete.
	ID      string
	Program string
	// Tenant owns the turn; empty where there are no tenants.
	Tenant string
	// Previous is the turn that this one goes on from; empty for a program's first.
	Previous string
	// Budget is what all turns of the program may generate, in tokens; zero for no
	// bound.
	Budget uint64
	// Most is the most that this turn may generate, in tokens.
	Most uint64
	// TokensPerEvent is the number of tokens that one event of the answer has.
	TokensPerEvent uint64
	// Retained tells that the turn is kept for Retention, and that the turns before
	// it are put in front of its input.
	Retained  bool
	Retention time.Duration
	// Timeout is the longest time that the turn may take.
	Timeout time.Duration
	// Input is the body of the request.
	Input []byte
}

// Begin prepares the turn, within the time for state. On success End must be called.
func (s *Service) Begin(ctx context.Context, request Request) (*Turn, *result.Error) {
	if s.cutOff() {
		return nil, result.Errorf(result.NoQuorum, "no storage node can be reached from this gateway").After(elsewherePause)
	}
	ctx, cancel := context.WithTimeout(ctx, timeForState(ctx))
	defer cancel()
	turn := &Turn{service: s, request: request}
	if request.Retained && request.Previous != "" {
		if failure := turn.readLine(ctx); failure != nil {
			return nil, failure
		}
	}
	if failure := turn.reserve(ctx); failure != nil {
		return nil, failure
	}
	return turn, nil
}

// timeForState is how long the reading of earlier turns and the reservation of tokens may
// take for a request whose context ends at its deadline.
func timeForState(ctx context.Context) time.Duration {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return stateTimeout
	}
	share := time.Duration(stateShare * float64(time.Until(deadline)))
	return max(stateTimeout, share)
}

// Turn is one turn under way. It is used by one goroutine.
type Turn struct {
	service *Service
	request Request
	// line holds the turns before this one, oldest first.
	line []*statev1.RetainedTurn
	// reservation names the tokens reserved for the turn; empty where none are.
	reservation string
	events      uint64
	output      []byte
}

// readLine reads the turns before this one. A turn of another tenant is refused.
func (t *Turn) readLine(ctx context.Context) *result.Error {
	line, err := t.service.turns.Line(ctx, t.request.Program, t.request.Previous)
	if errors.Is(err, turnstore.ErrUnknown) {
		t.service.logger.Info("turn unknown", zap.String("request", t.request.ID),
			zap.String("program", t.request.Program), zap.String("previous", t.request.Previous), zap.Error(err))
		return unknownTurn(t.request.Previous)
	}
	if err != nil {
		return result.Errorf(result.HistoryUnavailable, "%v", err).After(t.service.trouble.pause())
	}
	if owner := line[len(line)-1].GetTenant(); owner != t.request.Tenant {
		t.service.logger.Info("turn of another tenant", zap.String("request", t.request.ID), zap.String("previous", t.request.Previous),
			zap.String("tenant", t.request.Tenant), zap.String("owner", owner))
		return unknownTurn(t.request.Previous)
	}
	t.line = line
	return nil
}

// unknownTurn is the refusal of a turn that isn't kept. A turn of another tenant gets
// the same one, so that nobody learns that it exists.
func unknownTurn(id string) *result.Error {
	return result.Errorf(result.UnknownTurn, "no turn %q is kept", id)
}

// reserve reserves the tokens that the turn may generate.
func (t *Turn) reserve(ctx context.Context) *result.Error {
	if t.request.Budget == 0 {
		return nil
	}
	name := t.service.nameReservation(t.request.ID)
	err := t.service.budgets.Reserve(ctx, tokenbudget.Reservation{
		Program: t.request.Program, Name: name, Limit: t.request.Budget,
		Most: t.request.Most, Lifetime: t.request.Timeout, Running: t.request.Previous != "",
	})
	switch {
	case errors.Is(err, budget.ErrSpent):
		return result.Errorf(result.BudgetExhausted, "%v", err)
	case errors.Is(err, budget.ErrReserved):
		return result.Errorf(result.BudgetReserved, "%v", err).After(reservedPause)
	case err != nil:
		return result.Errorf(result.NoQuorum, "%v", err).After(t.service.trouble.pause())
	}
	t.reservation = name
	return nil
}

// nameReservation names one reservation for the request. A client sends a request again
// under the same id, at any gateway, while hosts are still told that its earlier attempt
// has ended. Under the id alone that end took the new attempt off, whose tokens were
// then counted by nobody: programs generated more than their budget and the most of one
// turn in 36 of 200 simulated runs with late messages, in none with a name for each
// attempt (TestBudgetIsCountedThoughMessagesAreLate, virtual time).
func (s *Service) nameReservation(request string) string {
	return fmt.Sprintf("%s#%x", request, s.random())
}

// Body returns what the back end gets: input and output of each turn before this one,
// and then the new input.
func (t *Turn) Body() []byte {
	if len(t.line) == 0 {
		return t.request.Input
	}
	size := len(t.request.Input)
	for _, before := range t.line {
		size += len(before.GetInput()) + len(before.GetOutput())
	}
	body := make([]byte, 0, size)
	for _, before := range t.line {
		body = append(body, before.GetInput()...)
		body = append(body, before.GetOutput()...)
	}
	return append(body, t.request.Input...)
}

// Event counts an event that is about to be handed out, with its content.
func (t *Turn) Event(data []byte) {
	t.events++
	if t.request.Retained {
		t.output = append(t.output, data...)
		t.output = append(t.output, '\n')
	}
}

// Complete stores the turn. The answer may end as complete only after it has returned
// nil.
func (t *Turn) Complete(ctx context.Context) error {
	if !t.request.Retained {
		return nil
	}
	ancestors := make([]string, 0, len(t.line))
	for _, before := range t.line {
		ancestors = append(ancestors, before.GetId())
	}
	return t.service.turns.Put(ctx, t.request.Program, &statev1.RetainedTurn{
		Id: t.request.ID, Ancestors: ancestors, Input: t.request.Input, Output: t.output,
		RetentionMs: t.request.Retention.Milliseconds(), Tenant: t.request.Tenant,
	})
}

// End settles the budget by what was handed out.
func (t *Turn) End() {
	if t.reservation == "" {
		return
	}
	t.service.budgets.End(tokenbudget.Ended{
		Program: t.request.Program, Reservation: t.reservation, HandedOut: t.events * t.request.TokensPerEvent,
	})
	t.reservation = ""
}
