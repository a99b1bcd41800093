package engine

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/marblering/marblering/lab/ledger"
	"github.com/marblering/marblering/lab/standin"
	"github.com/marblering/marblering/protocol/engineapi"
)

// listHolds serves GET /v1/holds.
func (s *Server) listHolds(w http.ResponseWriter, _ *http.Request) {
	list := engineapi.HoldList{Holds: []engineapi.Hold{}}
	s.change(func() {
		for _, held := range s.core.Holds(s.instant()) {
			list.Holds = append(list.Holds, engineapi.Hold{Program: held.Program, Tokens: uint64(held.Tokens)})
		}
	})
	standin.WriteJSON(w, http.StatusOK, list)
}

// release serves DELETE /v1/holds/{program}.
func (s *Server) release(w http.ResponseWriter, r *http.Request) {
	program := r.PathValue("program")
	refused := false
	s.change(func() {
		refused = s.faults.RefuseReleases
		if !refused {
			s.core.Release(s.instant(), program)
		}
	})
	entry := ledger.Entry{Program: program}
	if refused {
		s.record(ledger.Release, entry, &Refusal{Reason: Invalid})
		refuse(w, http.StatusInternalServerError, typeFailed, "the release failed")
		return
	}
	s.record(ledger.Release, entry, nil)
	w.WriteHeader(http.StatusOK)
}

// cacheEvents serves GET /v1/cache/events?after=N.
func (s *Server) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after := uint64(0)
	if text := r.URL.Query().Get("after"); text != "" {
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			refuse(w, http.StatusBadRequest, typeBadRequest, "after: want the number of an event")
			return
		}
		after = number
	}
	var events []CacheEvent
	s.change(func() { events = s.core.CacheEvents(s.instant(), after) })
	w.Header().Set("Content-Type", "application/x-ndjson")
	encoder := json.NewEncoder(w)
	for _, event := range events {
		kind := engineapi.CacheStored
		if event.Kind == CacheEvicted {
			kind = engineapi.CacheEvicted
		}
		_ = encoder.Encode(engineapi.CacheEvent{
			Number:  event.Number,
			Kind:    kind,
			Program: event.Program,
			Tokens:  uint64(event.Tokens),
		})
	}
}

// readState serves GET /v1/state.
func (s *Server) readState(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, s.state())
}

func (s *Server) state() engineapi.State {
	var status Status
	s.change(func() { status = s.core.Status(s.instant()) })
	state := engineapi.State{
		Engine:     s.options.Name,
		Generation: s.core.options.Generation.Name,
		Zone:       s.options.Zone,
		Role:       string(status.Role),
		Models:     names(status.Models),
		Adapters:   names(status.Adapters),
		Versions:   versions(status.Models, status.Adapters),
		Loading:    versions(status.Loading),
		Fence:      status.Fence,
		Leaving:    status.Leaving,
	}
	return state
}

func names(list []Loaded) []string {
	names := make([]string, 0, len(list))
	for _, item := range list {
		names = append(names, item.Name)
	}
	return names
}

func versions(lists ...[]Loaded) []engineapi.Version {
	versions := []engineapi.Version{}
	for _, list := range lists {
		for _, item := range list {
			versions = append(versions, engineapi.Version{Name: item.Name, Version: item.Version})
		}
	}
	return versions
}

var orderActions = map[engineapi.Action]OrderAction{
	engineapi.LoadModel:     LoadModel,
	engineapi.UnloadModel:   UnloadModel,
	engineapi.LoadAdapter:   LoadAdapter,
	engineapi.UnloadAdapter: UnloadAdapter,
	engineapi.SetRole:       SetRole,
	engineapi.Drain:         Drain,
	engineapi.Undrain:       Undrain,
}

// order serves POST /v1/orders.
func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var wanted engineapi.Order
	if !readBody(w, r, &wanted) {
		return
	}
	action, known := orderActions[wanted.Action]
	if !known {
		refuse(w, http.StatusBadRequest, typeBadRequest, "unknown action "+strconv.Quote(string(wanted.Action)))
		return
	}
	if wanted.Version == "" {
		wanted.Version = defaultVersion
	}
	order := Order{Fence: wanted.Fence, Action: action, Item: Loaded{Name: wanted.Name, Version: wanted.Version}}
	if action == SetRole {
		order.Role = Role(wanted.Name)
	}
	var err error
	s.change(func() { err = s.core.Order(s.instant(), order) })
	s.record(ledger.Order, ledger.Entry{Name: string(wanted.Action) + " " + wanted.Name}, err)
	if err != nil {
		s.refuseCore(w, err)
		return
	}
	standin.WriteJSON(w, http.StatusOK, s.state())
}
