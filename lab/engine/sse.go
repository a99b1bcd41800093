package engine

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/marblering/marblering/protocol/engineapi"
)

// writeStream sends the chunks from a number on as server-sent events, until
// the answer has ended or the reader has gone.
func (s *Server) writeStream(w http.ResponseWriter, r *http.Request, answer *stream, next int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	for controller.Flush() == nil {
		status, changed := answer.now()
		if !s.writeChunks(w, r, answer, &next, status.chunks) {
			return
		}
		if status.ended() {
			s.writeEnd(w, answer, status)
			return
		}
		_ = controller.Flush()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// writeChunks sends the chunks up to a number, and reports false where a fault
// ends the answer.
func (s *Server) writeChunks(w http.ResponseWriter, r *http.Request, answer *stream, next *int, end int) bool {
	for {
		if atFault(answer.faults, *next) {
			_ = http.NewResponseController(w).Flush()
			return !s.misbehave(r, answer.faults, *next)
		}
		if *next >= end {
			return true
		}
		delta := engineapi.ChatMessage{Role: "assistant", Content: answer.chunkText(*next)}
		writeEvent(w, s.chunk(answer, engineapi.ChatChoice{Delta: &delta}))
		*next++
	}
}

func atFault(faults Faults, chunks int) bool {
	return reached(faults.DropAfterChunks, chunks) || reached(faults.EndAfterChunks, chunks) ||
		reached(faults.HangAfterChunks, chunks)
}

// writeEnd sends the last chunk and the terminator, or the failure.
func (s *Server) writeEnd(w http.ResponseWriter, answer *stream, status progress) {
	if status.failure != "" {
		failure := engineapi.ErrorBody{Type: typeFailed, Message: status.failure}
		writeEvent(w, engineapi.ChatChunk{ID: answer.id, Error: &failure})
		return
	}
	last := s.chunk(answer, engineapi.ChatChoice{Delta: &engineapi.ChatMessage{}, FinishReason: &status.finishReason})
	last.Usage = &status.usage
	writeEvent(w, last)
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func (s *Server) chunk(answer *stream, choice engineapi.ChatChoice) engineapi.ChatChunk {
	return engineapi.ChatChunk{
		ID:      s.crossedID(answer),
		Object:  "chat.completion.chunk",
		Created: answer.created.Unix(),
		Model:   answer.model,
		Choices: []engineapi.ChatChoice{choice},
	}
}

func writeEvent(w http.ResponseWriter, chunk engineapi.ChatChunk) {
	encoded, err := json.Marshal(chunk)
	if err != nil {
		return
	}
	fmt.Fprintf(w, "data: %s\n\n", encoded)
}

// writeWhole waits for the end of an answer and sends it in one piece.
func (s *Server) writeWhole(w http.ResponseWriter, r *http.Request, answer *stream) {
	status, changed := answer.now()
	for !status.ended() {
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
		status, changed = answer.now()
	}
	if atFault(answer.faults, status.chunks) {
		s.misbehave(r, answer.faults, status.chunks)
		return
	}
	if status.failure != "" {
		refuse(w, http.StatusInternalServerError, typeFailed, status.failure)
		return
	}
	message := engineapi.ChatMessage{Role: "assistant", Content: answer.text[:min(len(answer.text), status.chunks*bytesPerToken)]}
	whole := s.chunk(answer, engineapi.ChatChoice{Message: &message, FinishReason: &status.finishReason})
	whole.Object = "chat.completion"
	whole.Usage = &status.usage
	writeJSON(w, http.StatusOK, whole)
}
