package engine

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/marblering/marblering/lab/standin"
	"github.com/marblering/marblering/protocol/engineapi"
)

// reader is one connection that follows an answer.
type reader struct {
	server  *Server
	answer  *stream
	writer  http.ResponseWriter
	request *http.Request
	// faults hit this connection. A connection that resumes an answer has none.
	faults Faults
	// next is the number of the chunk to send next.
	next int
}

// follow sends the chunks from next on as server-sent events, until the answer
// has ended or the reader has gone.
func (c *reader) follow() {
	c.writer.Header().Set("Content-Type", "text/event-stream")
	c.writer.Header().Set("Cache-Control", "no-cache")
	c.writer.WriteHeader(http.StatusOK)
	for c.flush() == nil {
		status, changed := c.answer.now()
		if !c.writeChunks(status.chunks) {
			return
		}
		if status.ended() {
			c.writeEnd(status)
			return
		}
		_ = c.flush()
		select {
		case <-changed:
		case <-c.request.Context().Done():
			return
		}
	}
}

func (c *reader) flush() error {
	return http.NewResponseController(c.writer).Flush()
}

// writeChunks sends the chunks up to a number, and reports false where a fault
// ends the answer.
func (c *reader) writeChunks(end int) bool {
	for {
		if c.atFault(c.next) {
			_ = c.flush()
			c.misbehave(c.next)
			return false
		}
		if c.next >= end {
			return true
		}
		c.writeChunk(c.next)
		if reached(c.faults.RepeatChunk, c.next) {
			c.writeChunk(c.next)
		}
		c.next++
	}
}

// writeChunk sends one token.
func (c *reader) writeChunk(number int) {
	delta := engineapi.ChatMessage{Role: "assistant", Content: c.answer.chunkText(number)}
	c.writeEvent(number, c.chunk(engineapi.ChatChoice{Delta: &delta}))
}

// writeEnd sends the last chunk and the terminator, or the failure.
func (c *reader) writeEnd(status progress) {
	if status.failure != "" {
		failure := engineapi.ErrorBody{Type: typeFailed, Message: status.failure}
		c.writeEvent(status.chunks, engineapi.ChatChunk{ID: c.answer.id, Error: &failure})
		return
	}
	last := c.chunk(engineapi.ChatChoice{Delta: &engineapi.ChatMessage{}, FinishReason: &status.finishReason})
	last.Usage = &status.usage
	c.writeEvent(status.chunks, last)
	fmt.Fprint(c.writer, "data: [DONE]\n\n")
}

func (c *reader) chunk(choice engineapi.ChatChoice) engineapi.ChatChunk {
	id := c.answer.id
	if c.faults.CrossIDs {
		id = c.server.crossedID(c.answer)
	}
	return engineapi.ChatChunk{
		ID:      id,
		Object:  "chat.completion.chunk",
		Created: c.answer.created.Unix(),
		Model:   c.answer.model,
		Choices: []engineapi.ChatChoice{choice},
	}
}

// writeEvent sends a chunk as an event whose id is the chunk's number.
func (c *reader) writeEvent(number int, chunk engineapi.ChatChunk) {
	encoded, err := json.Marshal(chunk)
	if err != nil {
		return
	}
	fmt.Fprintf(c.writer, "id: %d\ndata: %s\n\n", number, encoded)
}

// sendWhole waits for the end of the answer and sends it in one piece.
func (c *reader) sendWhole() {
	status, changed := c.answer.now()
	for !status.ended() {
		select {
		case <-changed:
		case <-c.request.Context().Done():
			return
		}
		status, changed = c.answer.now()
	}
	if c.atFault(status.chunks) {
		c.misbehave(status.chunks)
		return
	}
	if status.failure != "" {
		refuse(c.writer, http.StatusInternalServerError, typeFailed, status.failure)
		return
	}
	size := min(len(c.answer.text), status.chunks*bytesPerToken)
	message := engineapi.ChatMessage{Role: "assistant", Content: c.answer.text[:size]}
	whole := c.chunk(engineapi.ChatChoice{Message: &message, FinishReason: &status.finishReason})
	whole.Object = "chat.completion"
	whole.Usage = &status.usage
	standin.WriteJSON(c.writer, http.StatusOK, whole)
}
