package admission

import (
	"sync"
	"time"
)

// Capacity limits the outstanding work of one engine.
type Capacity struct {
	// MaxTokens limits the sum of prompt and output tokens; zero means no limit.
	MaxTokens uint64
	// MaxRequests limits the number of requests; zero means no limit.
	MaxRequests int
	// TokensPerSecond is the engine's throughput. It determines the retry delay
	// of a refusal.
	TokensPerSecond float64
}

// Reservation requests capacity of an engine for one request.
type Reservation struct {
	Engine       string
	RequestID    string
	PromptTokens uint64
	OutputTokens uint64
	// Deadline is the deadline of the request; the zero time means none.
	Deadline time.Time
}

// Tokens returns the sum of prompt and output tokens.
func (r *Reservation) Tokens() uint64 { return r.PromptTokens + r.OutputTokens }

// Decision is the result of a reservation.
type Decision struct {
	Admitted bool
	// RetryAfter is the delay before a retry; zero if admitted.
	RetryAfter time.Duration
	// OutstandingTokens is the number of tokens that the engine has outstanding
	// after the reservation.
	OutstandingTokens uint64
}

// minRetryAfter is the minimum retry delay. It prevents refused requests from
// retrying in a tight loop.
const minRetryAfter = 20 * time.Millisecond

// Controller tracks the outstanding tokens and requests of engines. One node is the
// admission point of an engine at a time, chosen by rendezvous hashing among the
// live nodes. This isn't enforced: two nodes that both act as the point admit at
// most twice the capacity, and the engine queues the rest.
//
// A reservation ends with Release or expires after the lifetime, for example if
// the node that made it has crashed.
type Controller struct {
	lifetime time.Duration

	mutex   sync.Mutex
	engines map[string]*engineState
}

type engineState struct {
	capacity Capacity
	tokens   uint64
	requests map[string]admittedRequest
	// lastRetry is the latest time at which a refused request was told to retry.
	lastRetry time.Time
}

type admittedRequest struct {
	tokens  uint64
	expires time.Time
}

// NewController returns an admission point whose reservations expire after the
// lifetime.
func NewController(lifetime time.Duration) *Controller {
	return &Controller{lifetime: lifetime, engines: make(map[string]*engineState)}
}

// SetCapacity sets the capacity of an engine.
func (p *Controller) SetCapacity(engine string, capacity Capacity) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.getOrCreate(engine).capacity = capacity
}

// Reserve reserves capacity for a request or refuses it. It is idempotent: a
// repeated request that is already admitted takes no more capacity. An idle
// engine admits any request, even one that exceeds its capacity.
func (p *Controller) Reserve(reservation Reservation, now time.Time) Decision {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	engine := p.getOrCreate(reservation.Engine)
	engine.expire(now)
	if _, repeated := engine.requests[reservation.RequestID]; repeated {
		return Decision{Admitted: true, OutstandingTokens: engine.tokens}
	}
	if delay := engine.retryAfter(&reservation, now); delay > 0 {
		return Decision{RetryAfter: delay, OutstandingTokens: engine.tokens}
	}
	engine.tokens += reservation.Tokens()
	engine.requests[reservation.RequestID] = admittedRequest{
		tokens:  reservation.Tokens(),
		expires: p.expiry(&reservation, now),
	}
	return Decision{Admitted: true, OutstandingTokens: engine.tokens}
}

// Release returns the capacity that a request has reserved. It is idempotent.
func (p *Controller) Release(engine, requestID string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	admitted, known := p.engines[engine]
	if !known {
		return
	}
	admitted.remove(requestID)
}

// Outstanding returns the outstanding tokens and requests of an engine.
func (p *Controller) Outstanding(engine string, now time.Time) (tokens uint64, requests int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	admitted, known := p.engines[engine]
	if !known {
		return 0, 0
	}
	admitted.expire(now)
	return admitted.tokens, len(admitted.requests)
}

// Forget removes an engine for which this node is no longer the admission point.
func (p *Controller) Forget(engine string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.engines, engine)
}

func (p *Controller) getOrCreate(engine string) *engineState {
	state, known := p.engines[engine]
	if !known {
		state = &engineState{requests: make(map[string]admittedRequest)}
		p.engines[engine] = state
	}
	return state
}

// expiry returns the end of the lifetime or the deadline, whichever is earlier.
func (p *Controller) expiry(reservation *Reservation, now time.Time) time.Time {
	end := now.Add(p.lifetime)
	if !reservation.Deadline.IsZero() && reservation.Deadline.Before(end) {
		return reservation.Deadline
	}
	return end
}

// retryAfter returns zero if the reservation fits, or else the time that the engine
// needs to process the excess tokens. Requests that were refused before go first.
func (e *engineState) retryAfter(reservation *Reservation, now time.Time) time.Duration {
	if len(e.requests) == 0 {
		return 0
	}
	excess := e.excessTokens(reservation)
	if excess == 0 {
		return 0
	}
	speed := max(e.capacity.TokensPerSecond, 1)
	delay := time.Duration(float64(excess) / speed * float64(time.Second))
	start := now
	if e.lastRetry.After(now) {
		start = e.lastRetry
		delay = time.Duration(float64(reservation.Tokens()) / speed * float64(time.Second))
	}
	e.lastRetry = start.Add(delay)
	return max(e.lastRetry.Sub(now), minRetryAfter)
}

func (e *engineState) excessTokens(reservation *Reservation) uint64 {
	var excess uint64
	wanted := e.tokens + reservation.Tokens()
	if limit := e.capacity.MaxTokens; limit > 0 && wanted > limit {
		excess = wanted - limit
	}
	if limit := e.capacity.MaxRequests; limit > 0 && len(e.requests) >= limit {
		excess = max(excess, e.tokens/uint64(len(e.requests)), 1)
	}
	return excess
}

func (e *engineState) remove(requestID string) {
	e.tokens -= e.requests[requestID].tokens
	delete(e.requests, requestID)
}

func (e *engineState) expire(now time.Time) {
	for requestID, request := range e.requests {
		if request.expires.Before(now) {
			e.remove(requestID)
		}
	}
}
