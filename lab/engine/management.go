package engine

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/marblering/marblering/lab/ledger"
	"github.com/marblering/marblering/protocol/engineapi"
)

func (s *Server) find(id string) *stream {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.requests[id]
}

// record adds a ledger entry for a request that has ended already.
func (s *Server) record(kind ledger.Kind, requestID, program string, outcome ledger.Outcome) {
	s.ledger.Append(ledger.Entry{
		Time:      s.options.Clock().UTC(),
		Kind:      kind,
		RequestID: requestID,
		Program:   program,
		Outcome:   outcome,
	})
}

// resume serves GET /v1/requests/{id}?from=N.
func (s *Server) resume(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 31)
	if err != nil {
		refuse(w, http.StatusBadRequest, "bad_request", "from: want the number of a chunk")
		return
	}
	answer := s.find(id)
	if answer == nil {
		s.record(ledger.Resume, id, "", ledger.Refused)
		refuse(w, http.StatusNotFound, "unknown_request", "no request "+strconv.Quote(id))
		return
	}
	s.record(ledger.Resume, id, "", ledger.Done)
	s.writeStream(w, r, answer, int(from))
}

// cancelRequest serves POST /v1/requests/{id}/cancel.
func (s *Server) cancelRequest(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	answer := s.find(id)
	if answer == nil {
		s.record(ledger.Cancel, id, "", ledger.Refused)
		refuse(w, http.StatusNotFound, "unknown_request", "no request "+strconv.Quote(id))
		return
	}
	s.record(ledger.Cancel, id, "", ledger.Done)
	answer.change(func() {
		if answer.finishReason != "" || answer.failure != "" {
			return
		}
		answer.finishReason = engineapi.FinishCancelled
		s.ledger.Update(answer.ledgerNumber, func(entry *ledger.Entry) {
			entry.OutputTokens = uint64(len(answer.chunks))
			entry.Outcome = ledger.Cancelled
		})
	})
	w.WriteHeader(http.StatusOK)
}

// listHolds serves GET /v1/holds.
func (s *Server) listHolds(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	list := engineapi.HoldList{Holds: make([]engineapi.Hold, 0, len(s.holds))}
	for program, tokens := range s.holds {
		list.Holds = append(list.Holds, engineapi.Hold{Program: program, Tokens: tokens})
	}
	s.mutex.Unlock()
	slices.SortFunc(list.Holds, func(a, b engineapi.Hold) int { return strings.Compare(a.Program, b.Program) })
	writeJSON(w, http.StatusOK, list)
}

// release serves DELETE /v1/holds/{program}.
func (s *Server) release(w http.ResponseWriter, r *http.Request) {
	program := r.PathValue("program")
	s.mutex.Lock()
	delete(s.holds, program)
	s.mutex.Unlock()
	s.record(ledger.Release, "", program, ledger.Done)
	w.WriteHeader(http.StatusOK)
}

// readState serves GET /v1/state.
func (s *Server) readState(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	state := s.state
	state.Models = slices.Clone(state.Models)
	state.Adapters = slices.Clone(state.Adapters)
	s.mutex.Unlock()
	writeJSON(w, http.StatusOK, state)
}

// metrics serves GET /metrics.
func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	running := len(s.requests) - len(s.ended)
	var held uint64
	for _, tokens := range s.holds {
		held += tokens
	}
	s.mutex.Unlock()
	fmt.Fprintf(w, "# TYPE engine_running_requests gauge\nengine_running_requests %d\n", running)
	fmt.Fprintf(w, "# TYPE engine_cache_used_tokens gauge\nengine_cache_used_tokens %d\n", held)
}
