package tool

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/marblering/marblering/lab/ledger"
	"github.com/marblering/marblering/lab/standin"
)

// maxBody limits the body of an invocation, in bytes.
const maxBody = 1 << 20

// Faults are what a test makes the service do wrong. The zero value is a
// service without faults.
type Faults struct {
	// Hang leaves invocations without an answer; they aren't run.
	Hang bool `json:"hang,omitempty"`
	// HangAfterEffect runs invocations and leaves them without an answer.
	HangAfterEffect bool `json:"hang_after_effect,omitempty"`
	// Fail answers 500 without running.
	Fail bool `json:"fail,omitempty"`
	// SlowMilliseconds delays every answer.
	SlowMilliseconds int `json:"slow_ms,omitempty"`
}

// Answer is the answer to an invocation.
type Answer struct {
	Tool string `json:"tool"`
	Key  string `json:"key"`
	// Effect counts the runs of the service: two answers with the same number
	// come from one run.
	Effect uint64 `json:"effect"`
	// Result is the SHA-256 of the body, in hexadecimal.
	Result string `json:"result"`
}

// invocationKey identifies one run.
type invocationKey struct {
	tool, key string
}

// Service is a tool service. It implements http.Handler.
type Service struct {
	mux    *http.ServeMux
	ledger *ledger.Ledger
	closed chan struct{}
	close  sync.Once

	faults standin.Faults[Faults]

	mutex   sync.Mutex
	answers map[invocationKey]Answer
	effects uint64
}

// New returns a service without faults.
func New() *Service {
	s := &Service{
		mux:     http.NewServeMux(),
		ledger:  ledger.New(0),
		closed:  make(chan struct{}),
		answers: make(map[invocationKey]Answer),
	}
	s.mux.HandleFunc("POST /v1/tools/{name}/invoke", s.invoke)
	s.mux.Handle("POST /control/faults", &s.faults)
	s.mux.Handle("GET /ledger", s.ledger)
	return s
}

// ServeHTTP serves the tools, the ledger and the control of faults.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Close ends the invocations that hang.
func (s *Service) Close() {
	s.close.Do(func() { close(s.closed) })
}

// Ledger returns the record of everything that reached the service.
func (s *Service) Ledger() *ledger.Ledger {
	return s.ledger
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(faults Faults) { s.faults.Set(faults) }

// invoke serves POST /v1/tools/{name}/invoke.
func (s *Service) invoke(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, "the body can't be read: "+err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	key := invocationKey{tool: r.PathValue("name"), key: r.Header.Get("Idempotency-Key")}
	sum := sha256.Sum256(body)
	entry := ledger.Entry{
		Time:      time.Now().UTC(),
		Kind:      ledger.Invocation,
		RequestID: key.key,
		Name:      key.tool,
		Digest:    hex.EncodeToString(sum[:]),
		Outcome:   ledger.Running,
	}
	faults := s.faults.Get()
	number := s.ledger.Append(entry)
	if !s.pause(r, time.Duration(faults.SlowMilliseconds)*time.Millisecond) {
		s.end(number, ledger.Cancelled, 0)
		return
	}
	switch {
	case key.key == "":
		s.refuse(w, number, http.StatusBadRequest, "want an Idempotency-Key header")
	case faults.Fail:
		s.refuse(w, number, http.StatusInternalServerError, "the tool failed")
	case faults.Hang:
		s.hang(r)
		s.end(number, ledger.Cancelled, 0)
	default:
		answered := s.run(w, key, entry.Digest, number, faults.HangAfterEffect)
		if !answered {
			s.hang(r)
		}
	}
}

// run runs an invocation, where its key is new, and answers it unless told to
// stay silent. It reports whether it answered.
func (s *Service) run(w http.ResponseWriter, key invocationKey, digest string, number uint64, silent bool) bool {
	answer, repeated := s.effect(key, digest)
	if answer.Result != digest {
		s.refuse(w, number, http.StatusUnprocessableEntity, "the key was used with another body")
		return true
	}
	outcome := ledger.Done
	if repeated {
		outcome = ledger.Repeated
	}
	s.end(number, outcome, 0)
	if silent {
		return false
	}
	standin.WriteJSON(w, http.StatusOK, answer)
	return true
}

// effect returns the answer of a key and whether it was there before.
func (s *Service) effect(key invocationKey, digest string) (answer Answer, repeated bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	answer, repeated = s.answers[key]
	if repeated {
		return answer, true
	}
	s.effects++
	answer = Answer{Tool: key.tool, Key: key.key, Effect: s.effects, Result: digest}
	s.answers[key] = answer
	return answer, false
}

func (s *Service) refuse(w http.ResponseWriter, number uint64, status int, text string) {
	outcome := ledger.Refused
	if status >= http.StatusInternalServerError {
		outcome = ledger.Failed
	}
	s.end(number, outcome, status)
	http.Error(w, text, status)
}

func (s *Service) end(number uint64, outcome ledger.Outcome, status int) {
	s.ledger.Update(number, func(entry *ledger.Entry) {
		entry.Outcome = outcome
		entry.Status = status
	})
}

// hang waits until the caller has gone or the service is closed.
func (s *Service) hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.closed:
	}
}

// pause waits and reports whether the caller is still there.
func (s *Service) pause(r *http.Request, length time.Duration) bool {
	if length <= 0 {
		return true
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
	case <-s.closed:
	}
	return false
}
