package engine

import (
	"net/http"
	"strconv"

	"github.com/marblering/marblering/lab/ledger"
)

func (s *Server) find(id string) *stream {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.requests[id]
}

// known finds the request that a path names, or answers that there is none.
func (s *Server) known(w http.ResponseWriter, r *http.Request, kind ledger.Kind) *stream {
	id := r.PathValue("id")
	answer := s.find(id)
	if answer != nil {
		s.record(kind, ledger.Entry{RequestID: id, Program: answer.hold}, nil)
		return answer
	}
	s.record(kind, ledger.Entry{RequestID: id}, &Refusal{Reason: NotHeld})
	refuse(w, http.StatusNotFound, typeUnknownRequest, "no request "+strconv.Quote(id))
	return nil
}

// resume serves GET /v1/requests/{id}?from=N.
func (s *Server) resume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 31)
	if err != nil {
		refuse(w, http.StatusBadRequest, typeBadRequest, "from: want the number of a chunk")
		return
	}
	if answer := s.known(w, r, ledger.Resume); answer != nil {
		connection := &reader{server: s, answer: answer, writer: w, request: r, next: int(from)}
		connection.follow()
	}
}

// cancelRequest serves POST /v1/requests/{id}/cancel.
func (s *Server) cancelRequest(w http.ResponseWriter, r *http.Request) {
	answer := s.known(w, r, ledger.Cancel)
	if answer == nil {
		return
	}
	s.change(func() {
		for id, other := range s.live {
			if other == answer {
				s.core.Cancel(s.instant(), id)
			}
		}
	})
	w.WriteHeader(http.StatusOK)
}
