// Package execution runs the calls of programs: it admits a call into the
// program's record, dispatches it to an engine, stores the answer and finishes
// the call, and finds out what happened where any of these is interrupted.
package execution

import (
	"context"
	"encoding/json"
	"time"
)

// ProgramRequest creates a program.
type ProgramRequest struct {
	Tenant string
	// Key is the idempotency key; empty for none.
	Key     string
	Model   string
	Adapter string
	// BudgetTokens limits what the program and its sub-programs may spend.
	BudgetTokens uint64
	Priority     uint32
	IdleLimit    time.Duration
	TurnLimit    uint32
}

// ChildRequest creates a sub-program that shares the budget of its tree.
type ChildRequest struct {
	Tenant string
	Parent string
	Key    string
}

// ProgramView is what a caller sees of a program.
type ProgramView struct {
	ID             string
	Parent         string
	Tenant         string
	Model          string
	Adapter        string
	BudgetTokens   uint64
	ReservedTokens uint64
	SpentTokens    uint64
	NextSequence   uint64
	Turns          uint64
	HistoryTokens  uint64
	Ended          bool
	EndReason      string
	Priority       uint32
}

// CallRequest is one call of a program: the new messages only.
type CallRequest struct {
	Tenant  string
	Program string
	// Key is the idempotency key; the caller API makes one where none is given.
	Key string
	// Sequence is the caller's sequence number; zero takes the next one.
	Sequence   uint64
	Repeatable bool
	// Deadline is zero where the caller gave none.
	Deadline  time.Time
	Messages  []json.RawMessage
	MaxTokens uint64
	Stream    bool
}

// Usage counts the tokens of one call.
type Usage struct {
	PromptTokens uint64
	OutputTokens uint64
	CachedTokens uint64
}

// Start tells a sink who serves the call, before the first text.
type Start struct {
	Program  string
	Sequence uint64
	Attempt  uint32
	Engine   string
	Model    string
	// Replayed is set where a stored answer is repeated.
	Replayed bool
	// Reason says in one line why the engine was chosen.
	Reason string
}

// Answer is the whole stored answer of a call.
type Answer struct {
	Start
	ID string
	// Content is the assistant's text.
	Content      string
	FinishReason string
	Usage        Usage
	Created      time.Time
}

// Sink receives a call's answer while it is produced. Text already sent stands
// in the final answer as a prefix; only after Call returns without an error is
// the answer whole and stored. Where a second attempt would differ from text
// that was already passed on, Call fails rather than mix the two.
type Sink interface {
	Started(Start) error
	Text(text string) error
}

// Service is what the caller API serves.
type Service interface {
	CreateProgram(ctx context.Context, request ProgramRequest) (ProgramView, error)
	CreateChild(ctx context.Context, request ChildRequest) (ProgramView, error)
	ReadProgram(ctx context.Context, tenant, id string) (ProgramView, error)
	EndProgram(ctx context.Context, tenant, id, reason string) (ProgramView, error)
	// Call returns the whole answer once it is stored, or a *result.Error.
	Call(ctx context.Context, request CallRequest, sink Sink) (Answer, error)
}
