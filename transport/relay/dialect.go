package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/marblering/marblering/coordination/backend"
	"github.com/marblering/marblering/coordination/conversation"
	"github.com/marblering/marblering/coordination/quota"
	"github.com/marblering/marblering/state/result"
	"github.com/marblering/marblering/transport/upstream"
)

// Facts are what the head of a request says about it.
type Facts struct {
	// ID is the request's id, which back ends repeat in their answers.
	ID string
	// Remaining is how long the client will wait; zero where it doesn't say.
	Remaining time.Duration
	// Key is what the request has in common with others that the same back end serves
	// best, such as its program; empty for none.
	Key string
	// LastEvent is the id of the last event that the client has of a stream
	// that broke; empty for none.
	LastEvent string
	// Program is the id of the program that the request belongs to; empty for none.
	Program string
	// APIKey proves which tenant the client belongs to; empty for none. It is never
	// logged.
	APIKey string
	// Previous is the id of the turn that this one continues; empty for none.
	Previous string
	// Budget is how many tokens all turns of the program may generate; zero for no
	// bound.
	Budget uint64
	// MostTokens is how many tokens this turn may generate; zero where the client doesn't
	// say.
	MostTokens uint64
}

// Attempt is what a back end is told in addition to the request itself.
type Attempt struct {
	// ID is that of the request, as the client sent it.
	ID string
	// Tenant is the name of the caller's tenant; empty for none.
	Tenant string
	// Remaining is how long the answer is waited for.
	Remaining time.Duration
	// Instance is the id of the instance that the request is meant for.
	Instance string
	// LastEvent is the id of the last event that was passed on; empty where the
	// stream begins.
	LastEvent string
}

// Judgement is what the head of a back end's answer means.
type Judgement int

// Judgements.
const (
	// Proper answers are passed on.
	Proper Judgement = iota
	// Refused answers promise that the request wasn't run.
	Refused
	// Misdirected answers promise it as well: another instance has the address.
	Misdirected
	// Improper answers can't be passed on; the request may have run.
	Improper
)

// Dialect knows the headers of a deployment.
type Dialect interface {
	// Read returns the facts of a request, or why it is refused.
	Read(request *http.Request) (Facts, *result.Error)
	// Write removes the headers that clients may not set, and sets those of an attempt.
	Write(header http.Header, attempt Attempt)
	// Judge says what an answer means.
	Judge(answer *upstream.Answer) Judgement
}

// Backends chooses instances for requests. backend.Pool implements it.
type Backends interface {
	Acquire(query backend.Query) (*backend.Choice, error)
}

// Turns prepares turns of programs. conversation.Service implements it.
type Turns interface {
	Begin(ctx context.Context, request conversation.Request) (*conversation.Turn, *result.Error)
}

// Quotas admits requests of tenants. quota.Client implements it.
type Quotas interface {
	Take(ctx context.Context, request quota.Request) (quota.Permit, *result.Error)
}

// Exchanger sends one request. upstream.Client implements it.
type Exchanger interface {
	Do(ctx context.Context, request *upstream.Request) (*upstream.Answer, error)
}
