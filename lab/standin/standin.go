// Package standin has what the stand-ins of the lab share: JSON answers, delays
// and the faults that POST /control/faults sets.
package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/marblering/marblering/coordination/sleep"
)

// maxBody limits the body of a request that sets faults, in bytes.
const maxBody = 1 << 20

// Faults are what a test makes a stand-in do wrong, until the next ones are
// set. The zero value has none. It is safe for concurrent use and implements
// http.Handler.
type Faults[F any] struct {
	mutex  sync.Mutex
	faults F
}

// Set replaces the faults.
func (f *Faults[F]) Set(faults F) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.faults = faults
}

// Get returns the faults.
func (f *Faults[F]) Get() F {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.faults
}

// ServeHTTP sets the faults that the body names and answers with them.
func (f *Faults[F]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var faults F
	if err := Read(w, r, maxBody, &faults); err != nil {
		http.Error(w, "the faults can't be read: "+err.Error(), http.StatusBadRequest)
		return
	}
	f.Set(faults)
	WriteJSON(w, http.StatusOK, faults)
}

// Read decodes a body of at most limit bytes. Unknown fields are errors.
func Read(w http.ResponseWriter, r *http.Request, limit int64, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	decoder.DisallowUnknownFields()
	return decoder.Decode(into)
}

// WriteJSON answers with a status and a JSON body. Where that fails, the client
// has gone and there is nobody left to tell.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// Delay waits and reports whether the client is still there.
func Delay(r *http.Request, delay time.Duration) bool {
	return delay <= 0 || sleep.For(r.Context(), delay) == nil
}
