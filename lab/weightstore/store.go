// Package weightstore is a stand-in for the store of model weights. All its
// readers together get a limited number of bytes per second.
//
//   - GET /weights/{name}/{version} answers with the weights: bytes that depend
//     on name and version alone.
//   - POST /control/faults sets what goes wrong (Faults), until the next one.
package weightstore

import (
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/marblering/marblering/lab/standin"
)

// chunkSize is how much is sent at a time, in bytes.
const chunkSize = 64 << 10

// Options describe a store.
type Options struct {
	// Size is the size of every version, in bytes.
	Size int64
	// Rate is what all readers get together, in bytes per second; zero is no
	// limit.
	Rate float64
}

// Faults are what a test makes the store do wrong.
type Faults struct {
	// Unavailable answers 503.
	Unavailable bool `json:"unavailable,omitempty"`
	// DropAfterBytes breaks the connection after so many bytes.
	DropAfterBytes int64 `json:"drop_after_bytes,omitempty"`
	// Missing is a name that isn't in the store.
	Missing string `json:"missing,omitempty"`
}

// Store is a weight store. It implements http.Handler.
type Store struct {
	size    int64
	limiter *rate.Limiter
	mux     *http.ServeMux
	faults  standin.Faults[Faults]
}

// New returns a store.
func New(options Options) *Store {
	limit := rate.Inf
	if options.Rate > 0 {
		limit = rate.Limit(options.Rate)
	}
	s := &Store{
		size:    options.Size,
		limiter: rate.NewLimiter(limit, chunkSize),
		mux:     http.NewServeMux(),
	}
	s.mux.HandleFunc("GET /weights/{name}/{version}", s.read)
	s.mux.Handle("POST /control/faults", &s.faults)
	return s
}

// ServeHTTP serves the weights and the control of faults.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(faults Faults) { s.faults.Set(faults) }

// read serves GET /weights/{name}/{version}.
func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	faults := s.faults.Get()
	switch {
	case faults.Unavailable:
		w.Header().Set("Retry-After", "1")
		http.Error(w, "the store is unavailable", http.StatusServiceUnavailable)
		return
	case faults.Missing == name:
		http.Error(w, "no weights of "+strconv.Quote(name), http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(s.size, 10))
	s.send(w, r, chunkOf(name, r.PathValue("version")), faults.DropAfterBytes)
}

// send writes the weights chunk by chunk, each when the limit allows it.
func (s *Store) send(w http.ResponseWriter, r *http.Request, chunk []byte, dropAfter int64) {
	for sent := int64(0); sent < s.size; {
		if dropAfter > 0 && sent >= dropAfter {
			panic(http.ErrAbortHandler)
		}
		next := int(min(int64(len(chunk)), s.size-sent))
		if s.limiter.WaitN(r.Context(), next) != nil {
			return
		}
		if _, err := w.Write(chunk[:next]); err != nil {
			return
		}
		sent += int64(next)
	}
}

// chunkOf returns the bytes that the weights of a version repeat.
func chunkOf(name, version string) []byte {
	state := xxhash.Sum64String(name + "\x00" + version)
	chunk := make([]byte, chunkSize)
	for index := range chunk {
		// One step of a 64-bit linear congruential generator (Knuth, The Art of
		// Computer Programming, volume 2, section 3.3.4).
		state = state*6364136223846793005 + 1442695040888963407
		chunk[index] = byte(state >> 56)
	}
	return chunk
}
