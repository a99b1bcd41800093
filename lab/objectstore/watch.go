package objectstore

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/marblering/marblering/lab/standin"
)

// handleWatch streams the changes after ?from=R until the client leaves, the
// API goes down or the log no longer reaches back to where the watcher is.
func (s *Server) handleWatch(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "from must be a revision")
		return
	}
	next := s.store.since(from)
	if next.gone {
		writeError(w, http.StatusGone, "the revision is too old: list everything again")
		return
	}
	defer s.counters.beginWatch()()
	w.Header().Set("Content-Type", "application/x-ndjson")
	stream := watchStream{
		encoder:    json.NewEncoder(w),
		controller: http.NewResponseController(w),
	}
	s.follow(r, stream, next)
}

// watchStream writes events and flushes them at once.
type watchStream struct {
	encoder    *json.Encoder
	controller *http.ResponseController
}

// send writes the events, or a bookmark where there are none.
func (s watchStream) send(next changes) error {
	for _, event := range next.events {
		if err := s.encoder.Encode(event); err != nil {
			return err
		}
	}
	if len(next.events) == 0 {
		if err := s.encoder.Encode(Event{Revision: next.revision}); err != nil {
			return err
		}
	}
	return s.controller.Flush()
}

func (s *Server) follow(r *http.Request, stream watchStream, next changes) {
	bookmark := time.NewTicker(s.options.BookmarkInterval)
	defer bookmark.Stop()
	for !next.gone {
		if err := stream.send(next); err != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-bookmark.C:
		case <-next.more:
		}
		if !standin.Delay(r, s.switches.delay()) {
			return
		}
		if s.switches.isDown() {
			panic(http.ErrAbortHandler)
		}
		next = s.store.since(next.revision)
	}
}
