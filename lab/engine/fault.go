package engine

import (
	"math"
	"net/http"

	"github.com/marblering/marblering/lab/standin"
	"github.com/marblering/marblering/protocol/engineapi"
)

// Faults are what a test makes an engine do wrong, from POST /control/faults on
// until the next one. The zero value is an engine without faults. Those of an
// answer hit the connection that asked for it; resuming it has none.
type Faults struct {
	// HangAfterChunks stops an answer after so many chunks and leaves its
	// connection open.
	HangAfterChunks *int `json:"hang_after_chunks,omitempty"`
	// DropAfterChunks breaks the connection after so many chunks.
	DropAfterChunks *int `json:"drop_after_chunks,omitempty"`
	// EndAfterChunks ends the answer in order after so many chunks, without a
	// finish reason.
	EndAfterChunks *int `json:"end_after_chunks,omitempty"`
	// RepeatChunk sends each chunk from this number on twice.
	RepeatChunk *int `json:"repeat_chunk,omitempty"`
	// CrossIDs sends an answer's chunks under the id of another request.
	CrossIDs bool `json:"cross_ids,omitempty"`
	// Answers is how many completions the faults above hit; zero is all.
	Answers int `json:"answers,omitempty"`
	// SlowFactor divides the engine's speed.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// RefuseReleases makes every release fail.
	RefuseReleases bool `json:"refuse_releases,omitempty"`
}

// faultsFor returns the faults that hit the next answer.
func (s *Server) faultsFor() Faults {
	hit := s.faults
	if s.faults.Answers == 0 {
		return hit
	}
	s.faults.Answers--
	if s.faults.Answers == 0 {
		s.faults = Faults{SlowFactor: hit.SlowFactor, RefuseReleases: hit.RefuseReleases}
	}
	return hit
}

// setFaults serves POST /control/faults.
func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := standin.Read(w, r, maxBody, &faults); err != nil {
		refuse(w, http.StatusBadRequest, typeBadRequest, "the faults can't be read: "+err.Error())
		return
	}
	s.SetFaults(faults)
	standin.WriteJSON(w, http.StatusOK, faults)
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.change(func() {
		s.faults = faults
		s.core.SetSlowdown(s.instant(), faults.SlowFactor)
	})
}

// crossedID returns the id of the oldest other request under way, or one that
// no request has.
func (s *Server) crossedID(answer *stream) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	crossed := answer.id + "-crossed"
	oldest := uint64(math.MaxUint64)
	for id, other := range s.live {
		if other != answer && id < oldest {
			crossed, oldest = other.id, id
		}
	}
	return crossed
}

// atFault says whether a fault ends the answer after so many chunks.
func (c *reader) atFault(chunks int) bool {
	return reached(c.faults.DropAfterChunks, chunks) ||
		reached(c.faults.EndAfterChunks, chunks) ||
		reached(c.faults.HangAfterChunks, chunks)
}

// misbehave carries out the fault that is due after so many chunks.
func (c *reader) misbehave(chunks int) {
	switch {
	case reached(c.faults.DropAfterChunks, chunks):
		panic(http.ErrAbortHandler)
	case reached(c.faults.EndAfterChunks, chunks):
	case reached(c.faults.HangAfterChunks, chunks):
		select {
		case <-c.request.Context().Done():
		case <-c.server.context.Done():
		}
	}
}

func reached(limit *int, chunks int) bool {
	return limit != nil && chunks >= *limit
}

// typeBadRequest and the others are error types of the dialect that need no
// status of their own.
const (
	typeBadRequest     = "bad_request"
	typeUnknownRequest = "unknown_request"
	typeNotLoaded      = "not_loaded"
	typeNotHeld        = "not_held"
	typeLeaving        = "leaving"
	typeFull           = "full"
	typeTooLarge       = "context_too_long"
	typeFailed         = "failed"
)

func refuse(w http.ResponseWriter, status int, errorType, text string) {
	standin.WriteJSON(w, status, engineapi.ErrorAnswer{Error: engineapi.ErrorBody{Type: errorType, Message: text}})
}
