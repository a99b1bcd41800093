package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/marblering/marblering/protocol/engineapi"
)

// writeStream sends the chunks from a number on as server-sent events, until
// the answer has ended or the reader has gone.
func (s *Server) writeStream(w http.ResponseWriter, r *http.Request, answer *stream, next int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	controller := http.NewResponseController(w)
	w.WriteHeader(http.StatusOK)
	_ = controller.Flush()
	for {
		seen := answer.from(next)
		for _, text := range seen.chunks {
			writeEvent(w, answer.textChunk(text))
			next++
		}
		if seen.ended() {
			answer.writeEnd(w, seen)
			return
		}
		if controller.Flush() != nil {
			return
		}
		select {
		case <-seen.changed:
		case <-r.Context().Done():
			return
		}
	}
}

// writeEnd sends the last chunk and the terminator, or the failure.
func (s *stream) writeEnd(w http.ResponseWriter, seen view) {
	if seen.failure != "" {
		writeEvent(w, engineapi.ChatChunk{
			ID:    s.id,
			Error: &engineapi.ErrorBody{Type: "failed", Message: seen.failure},
		})
		return
	}
	last := s.chunk(engineapi.ChatChoice{Delta: &engineapi.ChatMessage{}, FinishReason: &seen.finishReason})
	last.Usage = &seen.usage
	writeEvent(w, last)
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func (s *stream) textChunk(text string) engineapi.ChatChunk {
	return s.chunk(engineapi.ChatChoice{Delta: &engineapi.ChatMessage{Role: "assistant", Content: text}})
}

func (s *stream) chunk(choice engineapi.ChatChoice) engineapi.ChatChunk {
	return engineapi.ChatChunk{
		ID:      s.id,
		Object:  "chat.completion.chunk",
		Created: s.created.Unix(),
		Model:   s.model,
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
	seen := answer.from(0)
	for !seen.ended() {
		select {
		case <-seen.changed:
		case <-r.Context().Done():
			return
		}
		seen = answer.from(0)
	}
	if seen.failure != "" {
		refuse(w, http.StatusInternalServerError, "failed", seen.failure)
		return
	}
	whole := answer.chunk(engineapi.ChatChoice{
		Message:      &engineapi.ChatMessage{Role: "assistant", Content: strings.Join(seen.chunks, "")},
		FinishReason: &seen.finishReason,
	})
	whole.Object = "chat.completion"
	whole.Usage = &seen.usage
	writeJSON(w, http.StatusOK, whole)
}
