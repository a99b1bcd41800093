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
	// maxEventSize bounds one event of a stream, in bytes: an event carries the text of a few tokens.
	maxEventSize = 1 << 20
	// streamEnd is the data of the event that ends a whole stream.
	streamEnd = "[DONE]"
)

// Request asks for one completion.
type Request struct {
	// RequestID names the request at the engine; every chunk must carry it.
	RequestID string
	Model     string
	// Adapter is empty for the model without one.
	Adapter string
	// Messages are passed on unchanged, but for white space between the tokens
	// of their JSON.
	Messages []json.RawMessage
	// MaxTokens bounds the answer; zero leaves the bound to the engine.
	MaxTokens uint64
	// Hold is the program whose context the engine keeps afterwards; empty for
	// none.
	Hold string
	// Priority orders waiting requests: the lowest is served first.
	Priority uint32
}

// Usage counts the tokens of a completion.
type Usage struct {
	PromptTokens uint64
	OutputTokens uint64
	// CachedTokens is the part of the prompt that the engine had in its cache
	// and didn't compute again.
	CachedTokens uint64
}

// Completion is an answer. Without an error it is whole; with an error it holds
// what had arrived.
type Completion struct {
	ID           string
	Model        string
	Content      string
	FinishReason string
	Usage        Usage
	Created      time.Time
	// Chunks counts the chunks of the answer so far, those before a Resume
	// included. A Resume from this number continues where the stream broke off.
	Chunks uint64
}

// Complete runs a request and passes on the text as it arrives; onText may be
// nil. An error of onText ends Complete but not the run at the engine, which
// Cancel ends.
func (c *Client) Complete(ctx context.Context, address string, request Request, onText func(text string) error) (Completion, error) {
	ex := &exchange{address: address, method: http.MethodPost, path: "/v1/chat/completions"}
	response, err := c.send(ctx, ex, ChatRequest{
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
	return readStream(ctx, response.Body, &stream{exchange: ex, requestID: request.RequestID, onText: onText})
}

// Resume reads the stream of a running or recent request on from where it broke off. Of the part
// that had arrived it needs the ID and the number of chunks; it keeps the finish reason and the
// usage. Content holds the text of the chunks read here.
func (c *Client) Resume(ctx context.Context, address string, partial Completion, onText func(text string) error) (Completion, error) {
	path := "/v1/requests/" + url.PathEscape(partial.ID) + "?from=" + strconv.FormatUint(partial.Chunks, 10)
	ex := &exchange{address: address, method: http.MethodGet, path: path}
	response, err := c.send(ctx, ex, nil)
	if err != nil {
		return Completion{}, err
	}
	defer response.Body.Close()
	return readStream(ctx, response.Body, &stream{
		exchange:   ex,
		requestID:  partial.ID,
		onText:     onText,
		completion: partial,
		hasUsage:   partial.Usage != Usage{},
		isResumed:  partial.Chunks > 0,
	})
}

// stream collects the chunks of one answer.
type stream struct {
	exchange   *exchange
	requestID  string
	onText     func(string) error
	text       strings.Builder
	completion Completion
	hasUsage   bool
	// isResumed is set if the stream goes on after chunks that have been read.
	isResumed bool
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

// broken makes the error of a stream that ended before streamEnd.
func (s *stream) broken(ctx context.Context, cause error) error {
	if ctx.Err() != nil {
		return s.exchange.fail(Abandoned, context.Cause(ctx), "the stream wasn't read to its end")
	}
	return s.exchange.fail(Truncated, cause, "the stream ended after "+strconv.FormatUint(s.completion.Chunks, 10)+" chunks")
}

// checkPlace refuses an event whose number isn't the next one, so that a chunk
// that came twice, or never, is noticed. An event without a number passes in a
// stream that is read from its start: an engine that ignores the place to go on
// from sends the chunks before it again.
func (s *stream) checkPlace(eventID string) error {
	want := strconv.FormatUint(s.completion.Chunks, 10)
	if eventID == want || eventID == "" && !s.isResumed {
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

// finish checks that a stream which reached streamEnd has all that a whole
// answer needs.
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
