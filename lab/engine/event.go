package engine

import (
	"fmt"
	"time"
)

// EventKind says what happened in a core.
type EventKind int

// Kinds of events.
const (
	// Finished: a request has ended, see Outcome.
	Finished EventKind = iota
	// FirstToken: a prompt was computed and the first token exists.
	FirstToken
	// Imported: the context of Program has arrived and is held.
	Imported
	// LoadStarted: Item has to be fetched.
	LoadStarted
	// LoadFinished: Item is loaded.
	LoadFinished
)

// Outcome says how a request ended.
type Outcome int

// Outcomes of a request.
const (
	Completed Outcome = iota
	Cancelled
)

// Event is something that happened in a core.
type Event struct {
	At      time.Duration
	Kind    EventKind
	ID      uint64
	Program string
	Outcome Outcome
	Usage   Usage
	// Item is the model or adapter of a load.
	Item Loaded
}

// Usage counts the tokens of one request.
type Usage struct {
	PromptTokens int
	// CachedTokens is the part of the prompt that wasn't computed again.
	CachedTokens int
	OutputTokens int
}

// Reason says why a core refused something.
type Reason string

// Reasons of a refusal.
const (
	IsLeaving Reason = "the engine is leaving"
	IsFull    Reason = "the engine is full"
	NotLoaded Reason = "the model or adapter isn't loaded"
	InUse     Reason = "a request with this id is under way"
	TooLarge  Reason = "the request exceeds the engine's memory"
	Invalid   Reason = "the request is malformed"
	NotHeld   Reason = "no context of the program is held"
	OldFence  Reason = "the order's fence is older than the engine's"
)

// leavingRetry is how long a caller of a leaving engine is asked to wait.
const leavingRetry = time.Second

// Refusal is the error of everything a core declines. Nothing has changed then.
type Refusal struct {
	Reason Reason
	// RetryAfter is set for IsLeaving and IsFull.
	RetryAfter time.Duration
	// Fence is the engine's fence, set for OldFence.
	Fence uint64
}

func (r *Refusal) Error() string {
	if r.Reason == OldFence {
		return fmt.Sprintf("%s (%d)", r.Reason, r.Fence)
	}
	return string(r.Reason)
}
