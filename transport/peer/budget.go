package peer

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
	"github.com/marblering/marblering/coordination/tokenbudget"
	"github.com/marblering/marblering/state/budget"
)

// BudgetHost grants reservations of tokens and releases them when turns end.
// tokenbudget.Host implements it.
type BudgetHost interface {
	Reserve(ctx context.Context, reservation tokenbudget.Reservation) error
	End(ended []tokenbudget.EndedTurn)
}

type budgetServer struct {
	host    BudgetHost
	origins StreamOrigins
}

func (s *budgetServer) reserve(ctx context.Context, message *peerv1.ReserveTokensRequest) *peerv1.ReserveTokensResponse {
	s.host.End(endedFromWire(message.GetEnded()))
	err := s.host.Reserve(ctx, tokenbudget.Reservation{
		Program: message.GetProgram(), Name: message.GetTurn(), ProgramLimit: message.GetLimit(), MaxTokens: message.GetMost(),
		Lifetime: time.Duration(message.GetLifetimeMs()) * time.Millisecond, ProgramRunning: message.GetRunning(),
	})
	response := &peerv1.ReserveTokensResponse{Verdict: verdictFromError(err)}
	if err != nil {
		response.Reason = err.Error()
		return response
	}
	if record := originFromWire(message.GetOrigin()); record != nil {
		record.Program = message.GetProgram()
		s.origins.Record(*record)
	}
	return response
}

func (s *budgetServer) end(message *peerv1.EndTurnsRequest) *peerv1.EndTurnsResponse {
	s.host.End(endedFromWire(message.GetEnded()))
	return &peerv1.EndTurnsResponse{}
}

func verdictFromError(err error) peerv1.ReserveVerdict {
	switch {
	case err == nil:
		return peerv1.ReserveVerdict_RESERVE_VERDICT_GRANTED
	case errors.Is(err, budget.ErrExhausted):
		return peerv1.ReserveVerdict_RESERVE_VERDICT_SPENT
	case errors.Is(err, budget.ErrReserved):
		return peerv1.ReserveVerdict_RESERVE_VERDICT_RESERVED
	case errors.Is(err, tokenbudget.ErrOverloaded):
		return peerv1.ReserveVerdict_RESERVE_VERDICT_OVERLOADED
	}
	return peerv1.ReserveVerdict_RESERVE_VERDICT_UNAVAILABLE
}

// BudgetClient sends reservations to the nodes that host budgets. It implements
// tokenbudget.HostClient.
type BudgetClient struct {
	client *Client
}

// Budgets returns a client for the budgets that other nodes host.
func (c *Client) Budgets() BudgetClient { return BudgetClient{client: c} }

var _ tokenbudget.HostClient = BudgetClient{}

// Reserve implements tokenbudget.HostClient.
func (b BudgetClient) Reserve(ctx context.Context, address string, reservation tokenbudget.Reservation, ended []tokenbudget.EndedTurn) error {
	request := &peerv1.ReserveTokensRequest{
		Program: reservation.Program, Turn: reservation.Name, Limit: reservation.ProgramLimit, Most: reservation.MaxTokens,
		LifetimeMs: reservation.Lifetime.Milliseconds(), Ended: endedToWire(ended), Running: reservation.ProgramRunning,
		Origin: originToWire(reservation.Origin),
	}
	if request.GetOrigin() != nil {
		request.Origin.Program = "" // the request has it
	}
	answer, err := b.client.call(ctx, address, &peerv1.Call{Request: &peerv1.Call_ReserveTokens{ReserveTokens: request}})
	if err != nil {
		return err
	}
	response := answer.GetReserveTokens()
	switch response.GetVerdict() {
	case peerv1.ReserveVerdict_RESERVE_VERDICT_GRANTED:
		return nil
	case peerv1.ReserveVerdict_RESERVE_VERDICT_SPENT:
		return budget.ErrExhausted
	case peerv1.ReserveVerdict_RESERVE_VERDICT_RESERVED:
		return budget.ErrReserved
	case peerv1.ReserveVerdict_RESERVE_VERDICT_OVERLOADED:
		return merry.Wrap(tokenbudget.ErrOverloaded, merry.AppendMessage(response.GetReason()))
	}
	return merry.Errorf("the budget's host can't access the record of program %q: %s", reservation.Program, response.GetReason())
}

// End implements tokenbudget.HostClient.
func (b BudgetClient) End(ctx context.Context, address string, ended []tokenbudget.EndedTurn) error {
	_, err := b.client.call(ctx, address, &peerv1.Call{Request: &peerv1.Call_EndTurns{
		EndTurns: &peerv1.EndTurnsRequest{Ended: endedToWire(ended)},
	}})
	return err
}

func endedToWire(ended []tokenbudget.EndedTurn) []*peerv1.EndedTurn {
	converted := make([]*peerv1.EndedTurn, 0, len(ended))
	for _, turn := range ended {
		converted = append(converted, &peerv1.EndedTurn{Program: turn.Program, Turn: turn.Reservation, HandedOut: turn.TokensUsed, Unique: !turn.NameMayRecur})
	}
	return converted
}

func endedFromWire(ended []*peerv1.EndedTurn) []tokenbudget.EndedTurn {
	converted := make([]tokenbudget.EndedTurn, 0, len(ended))
	for _, turn := range ended {
		converted = append(converted, tokenbudget.EndedTurn{
			Program: turn.GetProgram(), Reservation: turn.GetTurn(), TokensUsed: turn.GetHandedOut(), NameMayRecur: !turn.GetUnique(),
		})
	}
	return converted
}
