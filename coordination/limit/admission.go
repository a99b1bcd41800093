package limit

import (
	"sync"
	"time"
)

// Capacity is what one engine may have outstanding.
type Capacity struct {
	// MaxTokens bounds prompt and output tokens together; zero sets no bound.
	MaxTokens uint64
	// MaxRequests bounds the number of requests; zero sets no bound.
	MaxRequests int
	// TokensPerSecond is the engine's throughput, from which the pause given
	// with a refusal is worked out.
	TokensPerSecond float64
}

// Reservation asks for room at an engine.
type Reservation struct {
	Engine       string
	RequestID    string
	PromptTokens uint64
	OutputTokens uint64
	// Deadline is when the request loses its use; zero for never.
	Deadline time.Time
}

// Tokens is the room the reservation takes.
func (r *Reservation) Tokens() uint64 { return r.PromptTokens + r.OutputTokens }

// Verdict answers a reservation.
type Verdict struct {
	Admitted bool
	// RetryAfter is when another try makes sense; zero if admitted.
	RetryAfter time.Duration
	// OutstandingTokens of the engine after the verdict.
	OutstandingTokens uint64
}

// minRetryAfter keeps refused requests from coming back in a tight loop.
const minRetryAfter = 20 * time.Millisecond

// Admission counts exactly what engines have outstanding. One node is the
// admission point of an engine at a time, by rendezvous hash among live nodes.
// That is a hint: two nodes that both act as the point admit at most twice the
// capacity, and the engine's own queue absorbs it.
//
// A reservation ends with Release or, where its node died, after the lifetime.
type Admission struct {
	lifetime time.Duration

	mutex   sync.Mutex
	engines map[string]*admittedEngine
}

type admittedEngine struct {
	capacity Capacity
	tokens   uint64
	requests map[string]admitted
	// refusedTokens were told to come back at or before refusedUntil.
	refusedUntil time.Time
}

type admitted struct {
	tokens  uint64
	expires time.Time
}

// NewAdmission makes an admission point whose reservations lapse after the
// lifetime.
func NewAdmission(lifetime time.Duration) *Admission {
	return &Admission{lifetime: lifetime, engines: make(map[string]*admittedEngine)}
}

// SetCapacity sets what an engine may have outstanding.
func (a *Admission) SetCapacity(engine string, capacity Capacity) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.open(engine).capacity = capacity
}

// Reserve takes room for a request or refuses it. A repeat of a request that
// was admitted is admitted again and takes no more room. An engine that has
// nothing outstanding admits any one request.
func (a *Admission) Reserve(reservation Reservation, now time.Time) Verdict {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	engine := a.open(reservation.Engine)
	engine.expire(now)
	if _, repeated := engine.requests[reservation.RequestID]; repeated {
		return Verdict{Admitted: true, OutstandingTokens: engine.tokens}
	}
	if wait := engine.wait(&reservation, now); wait > 0 {
		return Verdict{RetryAfter: wait, OutstandingTokens: engine.tokens}
	}
	engine.tokens += reservation.Tokens()
	engine.requests[reservation.RequestID] = admitted{
		tokens:  reservation.Tokens(),
		expires: a.expiry(&reservation, now),
	}
	return Verdict{Admitted: true, OutstandingTokens: engine.tokens}
}

// Release gives the room of a request back. Releasing twice changes nothing.
func (a *Admission) Release(engine, requestID string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	point, known := a.engines[engine]
	if !known {
		return
	}
	point.drop(requestID)
}

// Outstanding returns the tokens and requests an engine has outstanding.
func (a *Admission) Outstanding(engine string, now time.Time) (tokens uint64, requests int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	point, known := a.engines[engine]
	if !known {
		return 0, 0
	}
	point.expire(now)
	return point.tokens, len(point.requests)
}

// Forget drops an engine that this node is no longer the admission point of.
func (a *Admission) Forget(engine string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	delete(a.engines, engine)
}

func (a *Admission) open(engine string) *admittedEngine {
	point, known := a.engines[engine]
	if !known {
		point = &admittedEngine{requests: make(map[string]admitted)}
		a.engines[engine] = point
	}
	return point
}

// expiry is the end of the lifetime, or of the deadline where that is sooner.
func (a *Admission) expiry(reservation *Reservation, now time.Time) time.Time {
	end := now.Add(a.lifetime)
	if !reservation.Deadline.IsZero() && reservation.Deadline.Before(end) {
		return reservation.Deadline
	}
	return end
}

// wait is zero where the reservation fits. Else it is the time after which the
// engine has computed the excess, after those who were refused before.
func (e *admittedEngine) wait(reservation *Reservation, now time.Time) time.Duration {
	if len(e.requests) == 0 {
		return 0
	}
	excess := e.excess(reservation)
	if excess == 0 {
		return 0
	}
	speed := max(e.capacity.TokensPerSecond, 1)
	pause := time.Duration(float64(excess) / speed * float64(time.Second))
	start := now
	if e.refusedUntil.After(now) {
		start = e.refusedUntil
		pause = time.Duration(float64(reservation.Tokens()) / speed * float64(time.Second))
	}
	e.refusedUntil = start.Add(pause)
	return max(e.refusedUntil.Sub(now), minRetryAfter)
}

func (e *admittedEngine) excess(reservation *Reservation) uint64 {
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

func (e *admittedEngine) drop(requestID string) {
	e.tokens -= e.requests[requestID].tokens
	delete(e.requests, requestID)
}

func (e *admittedEngine) expire(now time.Time) {
	for requestID, request := range e.requests {
		if request.expires.Before(now) {
			e.drop(requestID)
		}
	}
}
