package integration

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/protocol/callerapi"
	"github.com/marblering/marblering/state/result"
	"github.com/marblering/marblering/test/harness"
)

// request is one call of a program.
type request struct {
	program string
	key     string
	text    string
	// sequence is zero where the caller gives none.
	sequence uint64
	// once marks a call that must not be repeated.
	once      bool
	maxTokens uint64
	deadline  time.Duration
	// unstreamed asks for one JSON body in place of a stream.
	unstreamed bool
	// onText is told of each piece of a stream; nil for nobody.
	onText func(string)
}

// outcome is what a caller knows after one request. Without a whole answer and
// without a failure the connection broke.
type outcome struct {
	// text is the answer as far as it came.
	text  string
	whole bool
	// failure is the error that was answered, also within a stream.
	failure  *callerapi.ErrorDetail
	sequence uint64
	attempt  uint64
	engine   string
	replayed bool
}

// String describes the outcome in a failed test.
func (o outcome) String() string {
	if o.failure != nil {
		return fmt.Sprintf("%s (%s): %s", o.failure.Type, o.failure.Execution, o.failure.Message)
	}
	return fmt.Sprintf("whole=%t sequence=%d attempt=%d engine=%s text=%q", o.whole, o.sequence, o.attempt, o.engine, o.text)
}

// code is the result code, or zero.
func (o outcome) code() result.Code {
	if o.failure == nil {
		return result.OK
	}
	return o.failure.Code
}

// settled reports whether asking again with the same key can't tell more.
func (o outcome) settled() bool {
	return o.whole || o.failure != nil && o.failure.Repeat != result.RepeatSameKey
}

// callerClient opens a connection for each request, so that no library repeats a
// request by itself.
func callerClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

func (r request) http(ctx context.Context, base string) (*http.Request, error) {
	body, err := json.Marshal(struct {
		Model     string    `json:"model"`
		Stream    bool      `json:"stream"`
		MaxTokens uint64    `json:"max_tokens,omitempty"`
		Messages  []message `json:"messages"`
	}{modelName, !r.unstreamed, r.maxTokens, []message{userMessage(r.text)}})
	if err != nil {
		return nil, err
	}
	made, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/programs/"+r.program+"/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	made.Header.Set("Authorization", "Bearer "+apiKey)
	setHeader(made, callerapi.HeaderKey, r.key, r.key != "")
	setHeader(made, callerapi.HeaderSequence, strconv.FormatUint(r.sequence, 10), r.sequence != 0)
	setHeader(made, callerapi.HeaderRepeatable, "false", r.once)
	setHeader(made, callerapi.HeaderDeadline, strconv.FormatInt(r.deadline.Milliseconds(), 10), r.deadline != 0)
	return made, nil
}

func setHeader(made *http.Request, name, value string, wanted bool) {
	if wanted {
		made.Header.Set(name, value)
	}
}

// call sends the request to the base URL of a node once.
func call(ctx context.Context, base string, r request) outcome {
	made, err := r.http(ctx, base)
	if err != nil {
		return outcome{}
	}
	response, err := callerClient().Do(made)
	if err != nil {
		return outcome{}
	}
	defer response.Body.Close()
	known := outcome{
		engine:   response.Header.Get(callerapi.HeaderEngine),
		replayed: response.Header.Get(callerapi.HeaderReplayed) == "true",
	}
	known.sequence, _ = strconv.ParseUint(response.Header.Get(callerapi.HeaderSequence), 10, 64)
	known.attempt, _ = strconv.ParseUint(response.Header.Get(callerapi.HeaderAttempt), 10, 64)
	switch {
	case response.StatusCode != http.StatusOK:
		known.failure = readFailure(response.Body)
	case r.unstreamed:
		known.readWhole(response.Body)
	default:
		known.readStream(response.Body, r.onText)
	}
	return known
}

func readFailure(body io.Reader) *callerapi.ErrorDetail {
	var failure callerapi.ErrorBody
	if json.NewDecoder(body).Decode(&failure) != nil {
		return nil
	}
	return &failure.Error
}

func (o *outcome) readWhole(body io.Reader) {
	var answer struct{ Choices []struct{ Message message } }
	if json.NewDecoder(body).Decode(&answer) != nil || len(answer.Choices) != 1 {
		return
	}
	o.text = answer.Choices[0].Message.Content
	o.whole = true
}

// readStream reads server-sent events up to the mark of a whole answer.
func (o *outcome) readStream(body io.Reader, onText func(string)) {
	for lines := bufio.NewScanner(body); lines.Scan(); {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !found:
		case data == "[DONE]":
			// The body must end in order too.
			_, err := io.Copy(io.Discard, body)
			o.whole = err == nil
			return
		case strings.HasPrefix(data, `{"error"`):
			o.failure = readFailure(strings.NewReader(data))
			return
		default:
			o.take(data, onText)
		}
	}
}

func (o *outcome) take(data string, onText func(string)) {
	var chunk struct{ Choices []struct{ Delta message } }
	if json.Unmarshal([]byte(data), &chunk) != nil {
		return
	}
	for _, choice := range chunk.Choices {
		o.text += choice.Delta.Content
		if onText != nil && choice.Delta.Content != "" {
			onText(choice.Delta.Content)
		}
	}
}

// repeatPause is a caller's pause before it asks again.
const repeatPause = 50 * time.Millisecond

// settle asks with the same key, at one node after the other, until the outcome
// is settled.
func (s *system) settle(ctx context.Context, first int, r request) outcome {
	for turn := first; ; turn++ {
		last := call(ctx, s.nodes[turn%len(s.nodes)].callers, r)
		if last.settled() || ctx.Err() != nil {
			return last
		}
		time.Sleep(repeatPause)
	}
}

// settleAt asks with the same key at one node until the outcome is settled.
func settleAt(ctx context.Context, base string, r request) outcome {
	for {
		last := call(ctx, base, r)
		if last.settled() || ctx.Err() != nil {
			return last
		}
		time.Sleep(repeatPause)
	}
}

// insist asks as a careful client would, by the advice of docs/RESULT-CODES.md:
// with the same key until the outcome is settled, and under a new key where the
// request was not run and may be sent again.
func (s *system) insist(ctx context.Context, first int, r request) outcome {
	key := r.key
	for try := 2; ; try++ {
		last := s.settle(ctx, first, r)
		if ctx.Err() != nil || last.failure == nil || last.failure.Repeat != result.RepeatNewKey {
			return last
		}
		r.key = fmt.Sprintf("%s-%d", key, try)
		time.Sleep(repeatPause)
	}
}

// patient returns a context with the generous limit.
func patient(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), harness.Generous)
	t.Cleanup(cancel)
	return ctx
}

// answered makes sure that the request is answered whole.
func (s *system) answered(t *testing.T, first int, r request) outcome {
	t.Helper()
	known := s.insist(patient(t), first, r)
	assert.Assert(t, known.whole, "call %q: %s", r.key, known)
	return known
}

// begin sends a request to a node in the background.
func (s *system) begin(t *testing.T, node int, r request) <-chan outcome {
	t.Helper()
	ctx := patient(t)
	known := make(chan outcome, 1)
	base := s.nodes[node].callers
	go func() { known <- call(ctx, base, r) }()
	return known
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func userMessage(text string) message { return message{Role: "user", Content: text} }

// createProgram creates a program at the node and returns its id.
func (s *system) createProgram(t *testing.T, node int, budget uint64) string {
	t.Helper()
	return s.create(t, node, "/v1/programs", map[string]any{"model": modelName, "budget_tokens": budget})
}

// createChild creates a sub-program.
func (s *system) createChild(t *testing.T, node int, parent string) string {
	t.Helper()
	return s.create(t, node, "/v1/programs/"+parent+"/children", map[string]any{})
}

// create sends a request that makes a program, under a key of its own, until it
// is answered.
func (s *system) create(t *testing.T, node int, path string, body any) string {
	t.Helper()
	var created struct{ ID string }
	key := fmt.Sprintf("create-%d", s.created.Add(1))
	assert.NilError(t, json.Unmarshal(s.askWithKey(t, node, http.MethodPost, path, key, body), &created))
	return created.ID
}

// ask sends an operation on a program until it is answered, and returns the body
// of its answer.
func (s *system) ask(t *testing.T, node int, method, path string, body any) []byte {
	t.Helper()
	return s.askWithKey(t, node, method, path, "", body)
}

func (s *system) askWithKey(t *testing.T, node int, method, path, key string, body any) []byte {
	t.Helper()
	var content []byte
	harness.Eventually(t, func() (bool, string) {
		status, found, err := s.try(t, node, method, path, key, body)
		content = found
		return err == nil && status/100 == 2, fmt.Sprintf("%s %s: %d %s %v", method, path, status, found, err)
	})
	return content
}

// try sends an operation on a program, which may fail.
func (s *system) try(t *testing.T, node int, method, path, key string, body any) (status int, content []byte, err error) {
	t.Helper()
	made, err := http.NewRequestWithContext(patient(t), method, s.nodes[node].callers+path, bytes.NewReader(encode(t, body)))
	assert.NilError(t, err)
	made.Header.Set("Authorization", "Bearer "+apiKey)
	setHeader(made, callerapi.HeaderKey, key, key != "")
	response, err := callerClient().Do(made)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	content, err = io.ReadAll(response.Body)
	return response.StatusCode, content, err
}

// reads reports whether the node can read the program's record.
func (s *system) reads(t *testing.T, node int, program string) bool {
	t.Helper()
	status, _, err := s.try(t, node, http.MethodGet, "/v1/programs/"+program, "", nil)
	return err == nil && status == http.StatusOK
}

// end ends a program.
func (s *system) end(t *testing.T, node int, program string) {
	t.Helper()
	s.ask(t, node, http.MethodDelete, "/v1/programs/"+program, nil)
}

// nextSequence reads the program at the node.
func (s *system) nextSequence(t *testing.T, node int, program string) uint64 {
	t.Helper()
	var read callerapi.Program
	assert.NilError(t, json.Unmarshal(s.ask(t, node, http.MethodGet, "/v1/programs/"+program, nil), &read))
	return read.NextSequence
}
