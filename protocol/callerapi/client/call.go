package client

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/marblering/marblering/protocol/callerapi"
)

// Call is one call of a program. It has only the messages that are new since the
// call before.
type Call struct {
	// Program is the id of the program.
	Program string
	// Key is the idempotency key. Where it is empty the node makes one, and the
	// outcome of a call whose answer is lost can't be found out.
	Key string
	// Sequence is the number of the call; zero takes the next one.
	Sequence uint64
	// NotRepeatable marks a call that must run at most once; it needs a key.
	NotRepeatable bool
	// Deadline is how long the call may take; zero is the deployment's limit.
	// It is rounded up to milliseconds.
	Deadline time.Duration
	Messages []callerapi.Message
	// MaxTokens bounds the answer; zero takes the model's default.
	MaxTokens uint64
}

// Answer is the whole answer to a call.
type Answer struct {
	ID           string
	Model        string
	Content      string
	FinishReason string
	Usage        callerapi.Usage
	// Key is the call's idempotency key, which the node may have made.
	Key string
	// Sequence is the number of the call within its program.
	Sequence uint64
	// Attempt is the number of the try that gave the answer.
	Attempt uint32
	// Engine is the name of the engine that gave the answer.
	Engine string
	// Reason says in one line why the engine was chosen.
	Reason string
	// Replayed is set where the node repeated a stored answer.
	Replayed bool
}

// callBody is the JSON form of a Call.
type callBody struct {
	Messages  []callerapi.Message `json:"messages"`
	MaxTokens uint64              `json:"max_tokens,omitempty"`
	Stream    bool                `json:"stream,omitempty"`
}

// Call runs the call and returns the whole answer.
func (c *Client) Call(ctx context.Context, call Call) (Answer, error) {
	response, err := c.sendCall(ctx, call, false)
	if err != nil {
		return Answer{}, err
	}
	defer response.Body.Close()
	var completion callerapi.Completion
	if err := decode(response, &completion); err != nil {
		return Answer{}, err
	}
	if len(completion.Choices) != 1 {
		return Answer{}, interrupted(merry.Errorf("answer has %d choices", len(completion.Choices)), http.MethodPost, callPath(call))
	}
	answer := newAnswer(response.Header)
	answer.ID = completion.ID
	answer.Model = completion.Model
	answer.Content = completion.Choices[0].Message.Content
	answer.FinishReason = completion.Choices[0].FinishReason
	answer.Usage = completion.Usage
	return answer, nil
}

// Stream runs the call and passes its text on as it arrives; onText may be nil.
// Only after Stream returns without an error is the answer whole. An error of
// onText ends the stream; the call runs on.
func (c *Client) Stream(ctx context.Context, call Call, onText func(text string) error) (Answer, error) {
	response, err := c.sendCall(ctx, call, true)
	if err != nil {
		return Answer{}, err
	}
	defer response.Body.Close()
	reader := &streamReader{answer: newAnswer(response.Header), onText: onText}
	if err := reader.read(response); err != nil {
		return Answer{}, merry.Prependf(err, "stream of program %q", call.Program)
	}
	return reader.answer, nil
}

func callPath(call Call) string { return programPath(call.Program) + "/chat/completions" }

func (c *Client) sendCall(ctx context.Context, call Call, stream bool) (*http.Response, error) {
	header := make(http.Header)
	if call.Key != "" {
		header.Set(callerapi.HeaderKey, call.Key)
	}
	if call.Sequence != 0 {
		header.Set(callerapi.HeaderSequence, strconv.FormatUint(call.Sequence, 10))
	}
	if call.NotRepeatable {
		header.Set(callerapi.HeaderRepeatable, "false")
	}
	if call.Deadline > 0 {
		milliseconds := (call.Deadline + time.Millisecond - 1) / time.Millisecond
		header.Set(callerapi.HeaderDeadline, strconv.FormatInt(int64(milliseconds), 10))
	}
	body := callBody{Messages: call.Messages, MaxTokens: call.MaxTokens, Stream: stream}
	return c.send(ctx, http.MethodPost, callPath(call), header, body)
}

// newAnswer reads what the header says of an answer.
func newAnswer(header http.Header) Answer {
	// A node writes these numbers. One that can't be read stays zero.
	sequence, _ := strconv.ParseUint(header.Get(callerapi.HeaderSequence), 10, 64)
	attempt, _ := strconv.ParseUint(header.Get(callerapi.HeaderAttempt), 10, 32)
	return Answer{
		Key:      header.Get(callerapi.HeaderKey),
		Sequence: sequence,
		Attempt:  uint32(attempt),
		Engine:   header.Get(callerapi.HeaderEngine),
		Reason:   header.Get(callerapi.HeaderReason),
		Replayed: header.Get(callerapi.HeaderReplayed) == "true",
	}
}
