package engineapi

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/tmaxmax/go-sse"
)

const (
	// maxEventSize limits one event of a stream, in bytes.
	maxEventSize = 1 << 20
	// streamEnd is the data of the event that terminates a stream.
	streamEnd = "[DONE]"
)

// Request is one completion. Messages are passed on unchanged, but for white
// space between the tokens of their JSON.
type Request struct {
	// RequestID names the request at the engine; every chunk must carry it.
	RequestID string
	Model     string
	Adapter   string
	Messages  []json.RawMessage
	MaxTokens uint64
	// Hold is the program whose context the engine keeps afterwards; empty for
	// none.
	Hold string
	// Priority is served in ascending order.
	Priority uint32
}

// Usage counts the tokens of a completion.
type Usage struct {
	PromptTokens uint64
	OutputTokens uint64
	// CachedTokens is the part of the prompt that wasn't computed again.
	CachedTokens uint64
}

// Completion is an answer. It is whole where it comes without an error; with an
// error it holds what had arrived.
type Completion struct {
	ID           string
	Model        string
	Content      string
	FinishReason string
	Usage        Usage
	Created      time.Time
	// Chunks counts the chunks received, the last one included, and those that
	// a Resume left out. A Resume from this number continues where the stream
	// broke off.
	Chunks uint64
}

// Complete runs a request and passes on the text as it arrives. onText may be
// nil; an error of it ends the call, though not the run at the engine: Cancel
// does that.
func (c *Client) Complete(ctx context.Context, address string, request Request, onText func(text string) error) (Completion, error) {
	exchange := &call{address: address, method: http.MethodPost, path: "/v1/chat/completions"}
	response, err := c.send(ctx, exchange, ChatRequest{
		RequestID: request.RequestID,
		Model:     request.Model,
		Adapter:   request.Adapter,
		Messages:  request.Messages,
		Stream:    true,
		MaxTokens: request.MaxTokens,
		Hold:      request.Hold,
		Priority:  request.Priority,
	})
	if err != nil {
		return Completion{}, err
	}
	defer response.Body.Close()
	return readStream(ctx, response.Body, &stream{exchange: exchange, requestID: request.RequestID, onText: onText})
}

// Resume reads the stream of a running or recent request from the chunk with
// the number from, counted from zero. Content holds the text from there on.
func (c *Client) Resume(ctx context.Context, address, requestID string, from uint64, onText func(text string) error) (Completion, error) {
	path := "/v1/requests/" + url.PathEscape(requestID) + "?from=" + strconv.FormatUint(from, 10)
	exchange := &call{address: address, method: http.MethodGet, path: path}
	response, err := c.send(ctx, exchange, nil)
	if err != nil {
		return Completion{}, err
	}
	defer response.Body.Close()
	return readStream(ctx, response.Body, &stream{
		exchange:   exchange,
		requestID:  requestID,
		onText:     onText,
		completion: Completion{Chunks: from},
	})
}

// stream collects the chunks of one answer.
type stream struct {
	exchange   *call
	requestID  string
	onText     func(string) error
	text       strings.Builder
	completion Completion
	hasUsage   bool
}

func readStream(ctx context.Context, body io.Reader, answer *stream) (Completion, error) {
	err := answer.read(ctx, body)
	answer.completion.ID = answer.requestID
	answer.completion.Content = answer.text.String()
	return answer.completion, err
}

func (s *stream) read(ctx context.Context, body io.Reader) error {
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventSize}) {
		if err != nil {
			return s.broken(ctx, err)
		}
		if event.Data == streamEnd {
			return s.finish()
		}
		if err := s.checkPlace(event.LastEventID); err != nil {
			return err
		}
		if err := s.take([]byte(event.Data)); err != nil {
			return err
		}
	}
	return s.broken(ctx, nil)
}

// broken makes the error of a stream that ended before its terminator.
func (s *stream) broken(ctx context.Context, cause error) error {
	if ctx.Err() != nil {
		return s.exchange.fail(Abandoned, context.Cause(ctx), "the stream wasn't read to its end")
	}
	return s.exchange.fail(Truncated, cause, "the stream ended after "+strconv.FormatUint(s.completion.Chunks, 10)+" chunks")
}

// checkPlace requires that an event which has a number has the next one, so
// that a chunk that came twice, or never, is noticed.
func (s *stream) checkPlace(eventID string) error {
	want := strconv.FormatUint(s.completion.Chunks, 10)
	if eventID == "" || eventID == want {
		return nil
	}
	return s.exchange.fail(Crossed, nil, "want chunk "+want+", got chunk "+strconv.Quote(eventID))
}

// take adds one chunk.
func (s *stream) take(data []byte) error {
	var chunk ChatChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return s.exchange.fail(Failed, merry.Wrap(err), "a chunk isn't JSON")
	}
	if chunk.Error != nil {
		return s.exchange.fail(Failed, nil, chunk.Error.Message)
	}
	if chunk.ID != s.requestID {
		return s.exchange.fail(Crossed, nil, "want chunks of "+strconv.Quote(s.requestID)+", got one of "+strconv.Quote(chunk.ID))
	}
	s.completion.Chunks++
	s.completion.Model = chunk.Model
	s.completion.Created = time.Unix(chunk.Created, 0).UTC()
	if chunk.Usage != nil {
		s.hasUsage = true
		s.completion.Usage = Usage{
			PromptTokens: chunk.Usage.PromptTokens,
			OutputTokens: chunk.Usage.CompletionTokens,
			CachedTokens: chunk.Usage.PromptTokensDetails.CachedTokens,
		}
	}
	return s.takeChoices(chunk.Choices)
}

func (s *stream) takeChoices(choices []ChatChoice) error {
	for _, choice := range choices {
		if choice.Index != 0 {
			return s.exchange.fail(Failed, nil, "the answer has more than one choice")
		}
		if s.completion.FinishReason != "" {
			return s.exchange.fail(Failed, nil, "text came after the finish reason")
		}
		if choice.FinishReason != nil {
			s.completion.FinishReason = *choice.FinishReason
		}
		if choice.Delta == nil || choice.Delta.Content == "" {
			continue
		}
		s.text.WriteString(choice.Delta.Content)
		if s.onText == nil {
			continue
		}
		if err := s.onText(choice.Delta.Content); err != nil {
			return s.exchange.fail(Abandoned, err, "the text couldn't be passed on")
		}
	}
	return nil
}

// finish checks a stream that was terminated.
func (s *stream) finish() error {
	switch s.completion.FinishReason {
	case FinishStop, FinishLength:
	case FinishCancelled:
		return s.exchange.fail(Cancelled, nil, "")
	case "":
		return s.exchange.fail(Truncated, nil, "the stream has no finish reason")
	default:
		return s.exchange.fail(Failed, nil, "finish reason "+strconv.Quote(s.completion.FinishReason))
	}
	if !s.hasUsage {
		return s.exchange.fail(Truncated, nil, "the stream has no usage")
	}
	return nil
}
