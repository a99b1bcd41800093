package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/marblering/marblering/lab/ledger"
	"github.com/marblering/marblering/lab/standin"
	"github.com/marblering/marblering/protocol/engineapi"
)

// export serves POST /v1/kv/export. The answer comes once the context would
// have been copied.
func (s *Server) export(w http.ResponseWriter, r *http.Request) {
	var request engineapi.ExportRequest
	if !readBody(w, r, &request) {
		return
	}
	var exported Export
	var length time.Duration
	var err error
	s.change(func() { exported, length, err = s.core.Export(s.instant(), request.Program) })
	s.record(ledger.Export, ledger.Entry{Program: request.Program, CachedTokens: uint64(exported.Tokens)}, err)
	if err != nil {
		s.refuseCore(w, err)
		return
	}
	if s.pause(r, length) != nil {
		return
	}
	blob, err := json.Marshal(exported)
	if err != nil {
		refuse(w, http.StatusInternalServerError, typeFailed, err.Error())
		return
	}
	standin.WriteJSON(w, http.StatusOK, engineapi.Context{Program: request.Program, Blob: blob, Tokens: uint64(exported.Tokens)})
}

// importContext serves POST /v1/kv/import. The answer comes once the context is
// held.
func (s *Server) importContext(w http.ResponseWriter, r *http.Request) {
	var request engineapi.Context
	if !readBody(w, r, &request) {
		return
	}
	var exported Export
	if err := json.Unmarshal(request.Blob, &exported); err != nil || request.Program == "" {
		refuse(w, http.StatusBadRequest, typeBadRequest, "want a program and the blob of an export")
		return
	}
	arrived := make(chan struct{})
	var err error
	s.change(func() {
		s.lastID++
		err = s.core.Import(s.instant(), s.lastID, request.Program, exported)
		if err == nil {
			s.imports[s.lastID] = arrived
		}
	})
	s.record(ledger.Import, ledger.Entry{Program: request.Program, CachedTokens: uint64(exported.Tokens)}, err)
	if err != nil {
		s.refuseCore(w, err)
		return
	}
	select {
	case <-arrived:
		w.WriteHeader(http.StatusOK)
	case <-r.Context().Done():
	case <-s.context.Done():
		refuse(w, http.StatusInternalServerError, typeFailed, "the engine was stopped")
	}
}
