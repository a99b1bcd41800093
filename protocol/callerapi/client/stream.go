package client

import (
	"encoding/json"
	"errors"
	"net/http"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/tmaxmax/go-sse"

	"github.com/marblering/marblering/protocol/callerapi"
	"github.com/marblering/marblering/state/result"
)

// maxEventBytes bounds one event of a stream, in bytes. A node's events have at
// most 16 KiB of text.
const maxEventBytes = 1 << 20

// eventError is the type of the event that ends a stream with an error.
const eventError = "error"

// streamReader gathers a streamed answer.
type streamReader struct {
	answer  Answer
	onText  func(string) error
	content strings.Builder
	ended   bool
}

// read takes the events up to the end of the answer. Without the event that ends a
// whole answer, the answer isn't whole, however the connection ended.
func (r *streamReader) read(response *http.Response) error {
	for event, err := range sse.Read(response.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return errors.Join(ErrInterrupted, err)
		}
		if err := r.take(event); err != nil {
			return err
		}
	}
	if !r.ended {
		return merry.Prepend(ErrInterrupted, "the stream ended before the answer")
	}
	if r.answer.FinishReason == "" {
		return merry.Prepend(ErrInterrupted, "the answer has no finish reason")
	}
	r.answer.Content = r.content.String()
	return nil
}

func (r *streamReader) take(event sse.Event) error {
	if r.ended {
		return merry.Prepend(ErrInterrupted, "the stream goes on after the answer")
	}
	if event.Type == eventError {
		return readErrorEvent(event.Data)
	}
	if event.Data == callerapi.StreamEnd {
		r.ended = true
		return nil
	}
	var chunk callerapi.Chunk
	if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil {
		return errors.Join(ErrInterrupted, merry.Prepend(err, "parsing a chunk"))
	}
	return r.takeChunk(chunk)
}

func readErrorEvent(data string) error {
	var body callerapi.ErrorBody
	if err := json.Unmarshal([]byte(data), &body); err != nil || body.Error.Code == result.OK {
		return merry.Prependf(ErrInterrupted, "the stream ended with an error that can't be read: %.200s", data)
	}
	return body.Error.Err()
}

func (r *streamReader) takeChunk(chunk callerapi.Chunk) error {
	if r.answer.ID != "" && chunk.ID != r.answer.ID {
		return merry.Prependf(ErrInterrupted, "the stream of %q has a chunk of %q", r.answer.ID, chunk.ID)
	}
	r.answer.ID = chunk.ID
	r.answer.Model = chunk.Model
	if chunk.Usage != nil {
		r.answer.Usage = *chunk.Usage
	}
	for _, choice := range chunk.Choices {
		if choice.FinishReason != nil {
			r.answer.FinishReason = *choice.FinishReason
		}
		if err := r.takeText(choice.Delta.Content); err != nil {
			return err
		}
	}
	return nil
}

func (r *streamReader) takeText(text *string) error {
	if text == nil || *text == "" {
		return nil
	}
	r.content.WriteString(*text)
	if r.onText == nil {
		return nil
	}
	return r.onText(*text)
}
