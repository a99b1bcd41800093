package engine

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/marblering/marblering/lab/ledger"
	"github.com/marblering/marblering/lab/standin"
	"github.com/marblering/marblering/protocol/engineapi"
)

// maxBody limits a request body, in bytes.
const maxBody = 64 << 20

// complete serves POST /v1/chat/completions.
func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	var request engineapi.ChatRequest
	if !readBody(w, r, &request) {
		return
	}
	rendered, err := render(request.Messages)
	if err != nil || len(request.Messages) == 0 || request.RequestID == "" {
		refuse(w, http.StatusBadRequest, typeBadRequest, "want a request_id and messages that are objects")
		return
	}
	answer, err := s.admit(request, rendered)
	if err != nil {
		s.refuseCore(w, err)
		return
	}
	connection := &reader{server: s, answer: answer, writer: w, request: r, faults: answer.faults}
	if request.Stream {
		connection.follow()
		return
	}
	connection.sendWhole()
}

// readBody decodes a JSON body, or answers why it can't.
func readBody(w http.ResponseWriter, r *http.Request, body any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(body)
	if err == nil {
		return true
	}
	status := http.StatusBadRequest
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		status = http.StatusRequestEntityTooLarge
	}
	refuse(w, status, typeBadRequest, "the body can't be read: "+err.Error())
	return false
}

// admit gives a request to the core.
func (s *Server) admit(request engineapi.ChatRequest, rendered []byte) (*stream, error) {
	whole := answerText(s.options.Seed, rendered, request.Messages)
	answer := &stream{
		id:      request.RequestID,
		model:   request.Model,
		hold:    request.Hold,
		created: time.Now().UTC(),
		text:    limitTokens(whole, request.MaxTokens),
		changed: make(chan struct{}),
	}
	answer.cut = len(answer.text) < len(whole)
	entry := ledger.Entry{
		Time:         answer.created,
		Kind:         ledger.Completion,
		RequestID:    request.RequestID,
		Program:      request.Hold,
		Digest:       digestOf(rendered),
		Messages:     len(request.Messages),
		PromptTokens: PromptTokens(request.Messages),
		Outcome:      ledger.Running,
	}
	var err error
	s.change(func() { err = s.submit(request, answer, entry) })
	return answer, err
}

func (s *Server) submit(request engineapi.ChatRequest, answer *stream, entry ledger.Entry) error {
	err := s.submitCore(request, answer)
	if err != nil {
		entry.Outcome = ledger.Refused
		entry.Status = statusOf(err)
		s.ledger.Append(entry)
		return err
	}
	answer.faults = s.faultsFor()
	answer.ledgerNumber = s.ledger.Append(entry)
	s.requests[request.RequestID] = answer
	s.live[s.lastID] = answer
	return nil
}

func (s *Server) submitCore(request engineapi.ChatRequest, answer *stream) error {
	if s.requests[request.RequestID] != nil {
		return &Refusal{Reason: InUse}
	}
	if s.context.Err() != nil {
		return &Refusal{Reason: IsLeaving, RetryAfter: leavingRetry}
	}
	output := segmentOf([]byte(answer.text))
	s.lastID++
	return s.core.Submit(s.instant(), Request{
		ID:           s.lastID,
		Program:      request.Hold,
		Model:        request.Model,
		Adapter:      request.Adapter,
		Path:         segments(request.Messages),
		OutputID:     output.ID,
		OutputTokens: output.Tokens,
		Priority:     request.Priority,
		Hold:         request.Hold != "",
	})
}

// refuseCore answers with the refusal of the core.
func (s *Server) refuseCore(w http.ResponseWriter, err error) {
	refusal, ok := err.(*Refusal)
	if !ok {
		refuse(w, http.StatusInternalServerError, typeFailed, err.Error())
		return
	}
	if refusal.RetryAfter > 0 {
		seconds := math.Ceil(refusal.RetryAfter.Seconds() / s.options.TimeScale)
		w.Header().Set("Retry-After", strconv.Itoa(max(1, int(seconds))))
	}
	standin.WriteJSON(w, statusOf(err), engineapi.ErrorAnswer{
		Error: engineapi.ErrorBody{Type: errorTypes[refusal.Reason], Message: refusal.Error()},
		Fence: refusal.Fence,
	})
}

var errorTypes = map[Reason]string{
	IsLeaving: typeLeaving,
	IsFull:    typeFull,
	NotLoaded: typeNotLoaded,
	InUse:     engineapi.ErrorTypeDuplicate,
	TooLarge:  typeTooLarge,
	Invalid:   typeBadRequest,
	NotHeld:   typeNotHeld,
	OldFence:  engineapi.ErrorTypeStale,
}

func statusOf(err error) int {
	refusal, ok := err.(*Refusal)
	if !ok {
		return http.StatusInternalServerError
	}
	switch refusal.Reason {
	case IsLeaving:
		return http.StatusServiceUnavailable
	case IsFull:
		return http.StatusTooManyRequests
	case NotLoaded, NotHeld:
		return http.StatusNotFound
	case InUse, OldFence:
		return http.StatusConflict
	}
	return http.StatusBadRequest
}

// record adds a ledger entry for a request that has ended already.
func (s *Server) record(kind ledger.Kind, entry ledger.Entry, err error) {
	entry.Time = time.Now().UTC()
	entry.Kind = kind
	entry.Outcome = ledger.Done
	if err != nil {
		entry.Outcome = ledger.Refused
		entry.Status = statusOf(err)
	}
	s.ledger.Append(entry)
}

// pause waits for a time of the engine's, or until the reader has gone.
func (s *Server) pause(r *http.Request, length time.Duration) error {
	timer := time.NewTimer(time.Duration(float64(length) / s.options.TimeScale))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-r.Context().Done():
		return r.Context().Err()
	case <-s.context.Done():
		return s.context.Err()
	}
}
