package engine

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/marblering/marblering/lab/ledger"
	"github.com/marblering/marblering/protocol/engineapi"
)

const (
	// maxBody limits a request body, in bytes.
	maxBody = 64 << 20
	// tokenTime is how long one output token takes.
	tokenTime = 10 * time.Millisecond
)

// complete serves POST /v1/chat/completions.
func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	var request engineapi.ChatRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&request); err != nil {
		status := http.StatusBadRequest
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			status = http.StatusRequestEntityTooLarge
		}
		refuse(w, status, "bad_request", "the body can't be read: "+err.Error())
		return
	}
	rendered, err := render(request.Messages)
	if err != nil || len(request.Messages) == 0 || request.RequestID == "" {
		refuse(w, http.StatusBadRequest, "bad_request", "want request_id and messages that are objects")
		return
	}
	entry := ledger.Entry{
		Time:         s.options.Clock().UTC(),
		Kind:         ledger.Completion,
		RequestID:    request.RequestID,
		Program:      request.Hold,
		Digest:       digestOf(rendered),
		Messages:     len(request.Messages),
		PromptTokens: tokensOf(len(rendered) + len(answerPrefix)),
		Outcome:      ledger.Running,
	}
	answer, refused := s.admit(request, rendered, &entry)
	if refused != 0 {
		refuseStatus(w, refused, request)
		return
	}
	if request.Stream {
		s.writeStream(w, r, answer, 0)
		return
	}
	s.writeWhole(w, r, answer)
}

// admit starts a request, or returns the status of its refusal.
func (s *Server) admit(request engineapi.ChatRequest, rendered []byte, entry *ledger.Entry) (*stream, int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	status := s.refusalOf(request)
	if status != 0 {
		entry.Outcome = ledger.Refused
		entry.Status = status
		s.ledger.Append(*entry)
		return nil, status
	}
	text := answerText(s.options.Seed, rendered, request.Messages)
	answer := newStream(request.RequestID, request.Model, text, entry.Time)
	answer.ledgerNumber = s.ledger.Append(*entry)
	s.requests[request.RequestID] = answer
	s.running.Add(1)
	go s.generate(answer, request, entry.PromptTokens)
	return answer, 0
}

func (s *Server) refusalOf(request engineapi.ChatRequest) int {
	switch {
	case s.requests[request.RequestID] != nil:
		return http.StatusConflict
	case s.state.Leaving || s.context.Err() != nil:
		return http.StatusServiceUnavailable
	case !slices.Contains(s.state.Models, request.Model):
		return http.StatusNotFound
	case request.Adapter != "" && !slices.Contains(s.state.Adapters, request.Adapter):
		return http.StatusNotFound
	}
	return 0
}

// generate produces the answer one token at a time.
func (s *Server) generate(answer *stream, request engineapi.ChatRequest, promptTokens uint64) {
	defer s.running.Done()
	text := limitTokens(answer.text, request.MaxTokens)
	reason := engineapi.FinishStop
	if len(text) < len(answer.text) {
		reason = engineapi.FinishLength
	}
	ticker := time.NewTicker(max(time.Microsecond, time.Duration(float64(tokenTime)/s.options.TimeScale)))
	defer ticker.Stop()
	var produced uint64
	for start := 0; start < len(text); start += bytesPerToken {
		select {
		case <-s.context.Done():
			s.end(answer, request, "", promptTokens, produced)
			return
		case <-ticker.C:
		}
		if answer.from(0).ended() {
			return
		}
		produced++
		piece := text[start:min(start+bytesPerToken, len(text))]
		answer.change(func() { answer.chunks = append(answer.chunks, piece) })
	}
	s.end(answer, request, reason, promptTokens, produced)
}

// end records the end of a request; an empty reason is the engine's own end.
func (s *Server) end(answer *stream, request engineapi.ChatRequest, reason string, promptTokens, produced uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if request.Hold != "" && reason != "" {
		s.holds[request.Hold] = promptTokens + produced
	}
	s.ended = append(s.ended, answer.id)
	if len(s.ended) > recentRequests {
		delete(s.requests, s.ended[0])
		s.ended = s.ended[1:]
	}
	s.ledger.Update(answer.ledgerNumber, func(entry *ledger.Entry) {
		entry.OutputTokens = produced
		entry.Outcome = ledger.Done
		if reason == "" {
			entry.Outcome = ledger.Failed
		}
	})
	answer.change(func() {
		if reason == "" {
			answer.failure = "the engine stopped"
			return
		}
		answer.finishReason = reason
		answer.usage = engineapi.ChatUsage{
			PromptTokens:     promptTokens,
			CompletionTokens: produced,
			TotalTokens:      promptTokens + produced,
		}
	})
}

func refuseStatus(w http.ResponseWriter, status int, request engineapi.ChatRequest) {
	switch status {
	case http.StatusConflict:
		refuse(w, status, engineapi.ErrorTypeDuplicate, "request "+strconv.Quote(request.RequestID)+" is running or was run lately")
	case http.StatusNotFound:
		refuse(w, status, "not_loaded", "model "+strconv.Quote(request.Model)+" with adapter "+strconv.Quote(request.Adapter)+" isn't loaded")
	default:
		w.Header().Set("Retry-After", "1")
		refuse(w, status, "leaving", "the engine takes no new requests")
	}
}

func refuse(w http.ResponseWriter, status int, errorType, text string) {
	writeJSON(w, status, engineapi.ErrorAnswer{Error: engineapi.ErrorBody{Type: errorType, Message: text}})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
