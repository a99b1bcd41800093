package admission

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

// minRetryAfter is the shortest pause of a refusal. It keeps refused requests
// from coming back in a tight loop. Chosen, not measured.
const minRetryAfter = 20 * time.Millisecond

// Point counts exactly what engines have outstanding. One node is the
// admission point of an engine at a time, by rendezvous hash among live nodes.
// That is a hint: two nodes that both act as the point admit at most twice the
// capacity, and the engine's own queue absorbs it.
//
// A reservation ends with Release or, where its node died, after the lifetime.
type Point struct {
	lifetime time.Duration

	mutex   sync.Mutex
	engines map[string]*admittedEngine
}

type admittedEngine struct {
	capacity Capacity
	tokens   uint64
	requests map[string]admittedRequest
	// refusedUntil is the latest time at which a refused request was told to
	// come back.
	refusedUntil time.Time
}

type admittedRequest struct {
	tokens  uint64
	expires time.Time
}

// NewPoint makes an admission point whose reservations lapse after the
// lifetime.
func NewPoint(lifetime time.Duration) *Point {
	return &Point{lifetime: lifetime, engines: make(map[string]*admittedEngine)}
}

// SetCapacity sets what an engine may have outstanding.
func (p *Point) SetCapacity(engine string, capacity Capacity) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.open(engine).capacity = capacity
}

// Reserve takes room for a request or refuses it. A repeat of a request that
// was admitted is admitted again and takes no more room. An engine that has
// nothing outstanding admits any one request.
func (p *Point) Reserve(reservation Reservation, now time.Time) Verdict {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	engine := p.open(reservation.Engine)
	engine.expire(now)
	if _, repeated := engine.requests[reservation.RequestID]; repeated {
		return Verdict{Admitted: true, OutstandingTokens: engine.tokens}
	}
	if wait := engine.wait(&reservation, now); wait > 0 {
		return Verdict{RetryAfter: wait, OutstandingTokens: engine.tokens}
	}
	engine.tokens += reservation.Tokens()
	engine.requests[reservation.RequestID] = admittedRequest{
		tokens:  reservation.Tokens(),
		expires: p.expiry(&reservation, now),
	}
	return Verdict{Admitted: true, OutstandingTokens: engine.tokens}
}

// Release gives the room of a request back. Releasing twice changes nothing.
func (p *Point) Release(engine, requestID string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	admitted, known := p.engines[engine]
	if !known {
		return
	}
	admitted.drop(requestID)
}

// Outstanding returns the tokens and requests an engine has outstanding.
func (p *Point) Outstanding(engine string, now time.Time) (tokens uint64, requests int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	admitted, known := p.engines[engine]
	if !known {
		return 0, 0
	}
	admitted.expire(now)
	return admitted.tokens, len(admitted.requests)
}

// Forget drops an engine that this node is no longer the admission point of.
func (p *Point) Forget(engine string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.engines, engine)
}

func (p *Point) open(engine string) *admittedEngine {
	opened, known := p.engines[engine]
	if !known {
		opened = &admittedEngine{requests: make(map[string]admittedRequest)}
		p.engines[engine] = opened
	}
	return opened
}

// expiry is the end of the lifetime, or of the deadline where that is sooner.
func (p *Point) expiry(reservation *Reservation, now time.Time) time.Time {
	end := now.Add(p.lifetime)
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
