// Package ledger records what reached a stand-in service, so that a test can
// check afterwards what was run, how often and with which content.
package ledger

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Kind says what sort of request an entry records.
type Kind string

// Kinds of entries.
const (
	Completion Kind = "completion"
	Cancel     Kind = "cancel"
	Resume     Kind = "resume"
	Release    Kind = "release"
	Export     Kind = "export"
	Import     Kind = "import"
	Order      Kind = "order"
	Invocation Kind = "invocation"
)

// Outcome says how a request ended.
type Outcome string

// Outcomes of a request. Running stands until the request has ended.
const (
	Running   Outcome = "running"
	Done      Outcome = "done"
	Cancelled Outcome = "cancelled"
	Failed    Outcome = "failed"
	Refused   Outcome = "refused"
	// Repeated marks a request whose stored outcome was given again.
	Repeated Outcome = "repeated"
)

// DefaultLimit is the number of entries a Ledger keeps unless told otherwise.
const DefaultLimit = 1 << 20

// Entry is one request that reached the service.
type Entry struct {
	// Number counts from 1 in order of arrival.
	Number uint64    `json:"number"`
	Time   time.Time `json:"time"`
	Kind   Kind      `json:"kind"`
	// RequestID is the request id or, at the tool service, the idempotency key.
	RequestID string `json:"request_id,omitempty"`
	// Name is the tool's name or the order's action.
	Name string `json:"name,omitempty"`
	// Program is the program whose context is held, released or moved.
	Program string `json:"program,omitempty"`
	// Digest is the SHA-256 of the whole message chain or body, in hexadecimal.
	Digest       string  `json:"digest,omitempty"`
	Messages     int     `json:"messages,omitempty"`
	PromptTokens uint64  `json:"prompt_tokens,omitempty"`
	OutputTokens uint64  `json:"output_tokens,omitempty"`
	CachedTokens uint64  `json:"cached_tokens,omitempty"`
	Outcome      Outcome `json:"outcome"`
	// Status is the HTTP status of a refusal.
	Status int `json:"status,omitempty"`
}

// Ledger is a list of entries that is safe for concurrent use.
type Ledger struct {
	limit   int
	mutex   sync.Mutex
	entries []Entry
	// first is the number of entries[0].
	first uint64
}

// New returns an empty ledger that keeps the newest limit entries, or
// DefaultLimit where limit isn't positive.
func New(limit int) *Ledger {
	if limit <= 0 {
		limit = DefaultLimit
	}
	return &Ledger{limit: limit, first: 1}
}

// Append adds an entry and returns its number.
func (l *Ledger) Append(entry Entry) uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	entry.Number = l.first + uint64(len(l.entries))
	l.entries = append(l.entries, entry)
	if len(l.entries) > l.limit {
		l.entries = l.entries[1:]
		l.first++
	}
	return entry.Number
}

// Update changes the entry with this number, if it is still kept.
func (l *Ledger) Update(number uint64, change func(*Entry)) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if number < l.first || number >= l.first+uint64(len(l.entries)) {
		return
	}
	change(&l.entries[number-l.first])
}

// After returns a copy of the entries whose number is greater than after.
func (l *Ledger) After(after uint64) []Entry {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	start := 0
	if after >= l.first {
		start = min(int(after-l.first+1), len(l.entries))
	}
	return append([]Entry(nil), l.entries[start:]...)
}

// ServeHTTP answers with the entries after the number in the query parameter
// "after" as newline-delimited JSON.
func (l *Ledger) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var after uint64
	if text := r.URL.Query().Get("after"); text != "" {
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			http.Error(w, "after: want a whole number, got "+strconv.Quote(text), http.StatusBadRequest)
			return
		}
		after = number
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	encoder := json.NewEncoder(w)
	for _, entry := range l.After(after) {
		if encoder.Encode(entry) != nil {
			return
		}
	}
}
