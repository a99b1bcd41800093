package execution

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/coordination/sleep"
	"github.com/marblering/marblering/state/history"
	"github.com/marblering/marblering/state/result"
)

// Change turns a tree into its successor. It gets its own copy, nil where no
// tree exists, and may run several times. Returning the tree unchanged is a
// read; an error leaves the record as it is.
type Change = func(tree *statev1.ProgramTree) (*statev1.ProgramTree, error)

// Records is the replicated store of program trees.
type Records interface {
	// Apply stores the result of the change and returns it. It fails with
	// register.ErrNoQuorum where certainly nothing was stored and with
	// register.ErrUnknownOutcome where it may have been.
	Apply(ctx context.Context, root string, change Change) (*statev1.ProgramTree, error)
	// Recent returns the tree as this node last saw it, or nil. It is a hint.
	Recent(root string) *statev1.ProgramTree
}

// Turns is the replicated store of history turns.
type Turns interface {
	// Put stores the turn on a quorum and returns its digest.
	Put(ctx context.Context, turn *statev1.Turn) (digest []byte, err error)
	// Turn returns one turn of the program by its digest.
	Turn(ctx context.Context, program string, sequence uint64, digest []byte) (*statev1.Turn, error)
	// Chain returns the program's verified history up to the head.
	Chain(ctx context.Context, program string, head []byte) (*history.Chain, error)
}

// Query asks for an engine for one attempt.
type Query struct {
	Program        string
	Tenant         string
	Model          string
	Adapter        string
	HistoryTokens  uint64
	NewTokens      uint64
	OutputTokens   uint64
	AttainedTokens uint64
	Priority       uint32
	Deadline       time.Time
	// Excluded are engines that have failed this call.
	Excluded []string
	// HeldBy are engines that may hold the program's context, newest last.
	HeldBy []string
}

// Choice is an engine with room for the attempt.
type Choice struct {
	Engine  string
	Address string
	// Priority is what the engine is told; smaller is served first.
	Priority int64
	Reason   string
	// Release gives the reserved room back; never nil.
	Release func(AttemptReport)
}

// AttemptReport tells the router how an attempt went.
type AttemptReport struct {
	Program string
	Usage   Usage
	// FirstText is the time to the first text; zero where none came.
	FirstText time.Duration
	Total     time.Duration
	// Err is nil where the attempt was answered whole.
	Err error
	// Leaving is set where the engine said that it takes no more work.
	Leaving bool
}

// Limiter keeps tenants within their limits over all nodes.
type Limiter interface {
	// Enter asks for room for one call; a positive pause refuses it, else leave
	// gives the room back.
	Enter(ctx context.Context, tenant, call string, tokens uint64) (leave func(), pause time.Duration)
	// Retry reports whether the tenant's call may be tried again at an engine.
	Retry(tenant string) bool
}

// Router chooses engines. It returns a *result.Error where none has room.
type Router interface {
	Choose(ctx context.Context, query Query) (Choice, error)
}

// EngineRequest is one attempt as an engine gets it.
type EngineRequest struct {
	RequestID    string
	Model        string
	Adapter      string
	Messages     []json.RawMessage
	OutputTokens uint64
	Priority     int64
	// Hold is the program whose context the engine keeps after the answer.
	Hold string
}

// EngineAnswer is a whole answer of an engine.
type EngineAnswer struct {
	Content      string
	FinishReason string
	Usage        Usage
}

// EngineError is a failed attempt.
type EngineError struct {
	// Dispatched is false only where the engine certainly took nothing.
	Dispatched bool
	// Leaving is set where the engine takes no more work.
	Leaving    bool
	RetryAfter time.Duration
	Cause      error
}

// Error gives the cause.
func (e *EngineError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *EngineError) Unwrap() error { return e.Cause }

// Engines talks to the engines. Complete fails with an *EngineError.
type Engines interface {
	Complete(ctx context.Context, address string, request EngineRequest, onText func(string) error) (EngineAnswer, error)
	Cancel(ctx context.Context, address, requestID string) error
	Release(ctx context.Context, address, program string) error
}

// AttemptState is what an executor says of an attempt.
type AttemptState int

// Answers to the question whether an attempt runs.
const (
	// AttemptUnreachable means that nobody answered.
	AttemptUnreachable AttemptState = iota
	// AttemptRunning means that the executor is at work on it.
	AttemptRunning
	// AttemptLost means that the executor has no such attempt or is gone.
	AttemptLost
)

// Peers asks other nodes.
type Peers interface {
	AttemptStatus(ctx context.Context, address, executor, program string, sequence uint64, attempt uint32) AttemptState
}

// Liveness says which executors are known to be gone.
type Liveness interface {
	Gone(executor string) bool
}

// Model is what execution needs to know of a model.
type Model struct {
	ContextTokens uint64
	// OutputTokens applies where a call names no limit.
	OutputTokens uint64
}

// Catalog is the configuration in force.
type Catalog interface {
	Model(name string) (Model, bool)
	Adapter(name, model string) bool
}

// Options holds what an Executor is made of. All fields are required.
type Options struct {
	// Identity is unique to this life of the process.
	Identity string
	// Address is where peers ask about attempts.
	Address  string
	Records  Records
	Turns    Turns
	Router   Router
	Limiter  Limiter
	Engines  Engines
	Peers    Peers
	Liveness Liveness
	Catalog  Catalog
	Logger   *zap.Logger
	Now      func() time.Time
	Random   *rand.Rand
	Limits   Limits
}

// Limits bounds what one call may cost.
type Limits struct {
	// MaxAttempts bounds the attempts of a repeatable call.
	MaxAttempts uint32
	// CallTimeout applies to calls without a deadline.
	CallTimeout time.Duration
	// SettleTimeout is how long a finished answer is tried to be stored.
	SettleTimeout time.Duration
	// TakeoverGrace is how long a lost call of another key is left for its own
	// caller to repeat before it is ended.
	TakeoverGrace time.Duration
}

// DefaultLimits are the limits of a node without settings.
var DefaultLimits = Limits{
	MaxAttempts:   3,
	CallTimeout:   10 * time.Minute,
	SettleTimeout: time.Minute,
	TakeoverGrace: 3 * time.Second,
}

// Executor implements Service.
type Executor struct {
	Options
	flights  *flights
	attempts *attempts
	settling sync.WaitGroup
	random   sync.Mutex
}

var _ Service = (*Executor)(nil)

// New makes an executor.
func New(options Options) *Executor {
	return &Executor{Options: options, flights: newFlights(), attempts: newAttempts()}
}

// Running reports whether this executor is at work on the attempt; peers ask it
// before they take a call over. While an attempt of the program is being stored
// here it can't be told which one the peer has read of, and the answer is yes.
func (e *Executor) Running(program string, sequence uint64, attempt uint32) bool {
	return e.attempts.isStoringAny(program) ||
		e.attempts.has(attemptKey{program: program, sequence: sequence, attempt: attempt})
}

// ErrStopping is the cause of a context that ends because the node stops. The call is left
// to whoever asks for it next, and its caller is told so at once.
var ErrStopping = merry.Sentinel("this node is stopping")

func isStopping(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrStopping) }

// Drain waits until every answer that is being stored has been settled, or the
// context ends. Attempts that are open then are logged.
func (e *Executor) Drain(ctx context.Context) error {
	settled := make(chan struct{})
	go func() {
		e.settling.Wait()
		close(settled)
	}()
	select {
	case <-settled:
		return nil
	case <-ctx.Done():
		e.logOpen()
		return merry.Prepend(ctx.Err(), "answers are still being stored")
	}
}

// logOpen names the attempts whose outcome isn't in the record. Whoever asks next takes
// them over once this process has ended.
func (e *Executor) logOpen() {
	for key, began := range e.attempts.begun() {
		e.Logger.Warn("attempt not settled before the stop", zap.String("program", key.program),
			zap.Uint64("sequence", key.sequence), zap.Uint32("attempt", key.attempt),
			zap.Duration("age", e.Now().Sub(began)))
	}
}

func (e *Executor) nowUnixMS() int64 { return e.Now().UnixMilli() }

// jitter returns a duration between half of the pause and the whole of it.
func (e *Executor) jitter(pause time.Duration) time.Duration {
	e.random.Lock()
	defer e.random.Unlock()
	return pause/2 + time.Duration(e.Random.Int64N(int64(pause/2)+1))
}

// pause sleeps or returns the context's error.
func (e *Executor) pause(ctx context.Context, length time.Duration) error {
	return sleep.For(ctx, e.jitter(length))
}

// unresolvedRetry is when asking with the same key makes sense again.
const unresolvedRetry = time.Second

func unresolved(format string, args ...any) error {
	return result.Errorf(result.OutcomeUnresolved, format, args...).WithRetryAfter(unresolvedRetry)
}
