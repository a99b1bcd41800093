package client_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/execution"
	"github.com/marblering/marblering/protocol/callerapi"
	"github.com/marblering/marblering/protocol/callerapi/client"
	"github.com/marblering/marblering/state/result"
)

// echoService answers a call with the text of its only message, or fails.
type echoService struct {
	execution.Service
	failure error
	calls   []execution.CallRequest
}

func (s *echoService) TenantOf(key string) (string, bool) { return "tenant-of-" + key, true }

func (s *echoService) CreateProgram(_ context.Context, r execution.ProgramRequest) (execution.ProgramView, error) {
	return execution.ProgramView{ID: "program/1", Tenant: r.Tenant, Model: r.Model, Adapter: r.Adapter, BudgetTokens: r.BudgetTokens, Priority: r.Priority, EndReason: r.Key + r.IdleLimit.String()}, nil
}

func (s *echoService) CreateChild(_ context.Context, r execution.ChildRequest) (execution.ProgramView, error) {
	return execution.ProgramView{ID: r.Parent + ".1", Parent: r.Parent, EndReason: r.Key}, nil
}

func (s *echoService) ReadProgram(_ context.Context, tenant, id string) (execution.ProgramView, error) {
	return execution.ProgramView{}, result.Errorf(result.UnknownProgram, "no program %q", id)
}

func (s *echoService) EndProgram(_ context.Context, tenant, id, reason string) (execution.ProgramView, error) {
	return execution.ProgramView{ID: id, Ended: true, EndReason: reason}, nil
}

func (s *echoService) Call(_ context.Context, r execution.CallRequest, sink execution.Sink) (execution.Answer, error) {
	s.calls = append(s.calls, r)
	answer := execution.Answer{
		Start:        execution.Start{Program: r.Program, Sequence: 4, Attempt: 2, Engine: "engine-a", Model: "m", Reason: "least\nload", Replayed: true},
		Content:      string(r.Messages[0]),
		FinishReason: "stop",
		Usage:        execution.Usage{PromptTokens: 5, OutputTokens: 2},
	}
	_ = sink.Started(answer.Start)
	_ = sink.Text(answer.Content[:10])
	return answer, s.failure
}

func start(t *testing.T, service *echoService) *client.Client {
	server := httptest.NewServer(callerapi.New(callerapi.Options{Service: service, Tenants: service}))
	t.Cleanup(server.Close)
	return client.New(server.URL, "key", server.Client())
}

func TestProgram(t *testing.T) {
	ctx := context.Background()
	c := start(t, &echoService{})
	program, err := c.CreateProgram(ctx, client.ProgramSpec{Model: "m", Adapter: "a", BudgetTokens: 9, Priority: 3, IdleLimit: time.Minute}, "k")
	assert.NilError(t, err)
	assert.DeepEqual(t, program, callerapi.Program{
		ID: "program/1", Object: "program", Tenant: "tenant-of-key", Model: "m", Adapter: "a", BudgetTokens: 9, Priority: 3, EndReason: "k1m0s",
	})
	child, err := c.CreateChild(ctx, program.ID, "k2")
	assert.NilError(t, err)
	assert.Equal(t, child.Parent+child.EndReason, "program/1k2")
	ended, err := c.EndProgram(ctx, program.ID, "all done")
	assert.NilError(t, err)
	assert.Equal(t, ended.ID+ended.EndReason, "program/1all done")

	_, err = c.ReadProgram(ctx, program.ID)
	var failure *result.Error
	assert.Assert(t, errors.As(err, &failure))
	assert.DeepEqual(t, failure, result.Errorf(result.UnknownProgram, "no program %q", program.ID))
}

func TestCallWholeAndStreamed(t *testing.T) {
	service := &echoService{}
	c := start(t, service)
	text := strings.Repeat("long text é ", 20_000)
	call := client.Call{
		Program: "program/1", Key: "k", Sequence: 4, NotRepeatable: true, Deadline: time.Hour, MaxTokens: 7,
		Messages: []callerapi.Message{{Role: "user", Content: text}},
	}
	whole, err := c.Call(context.Background(), call)
	assert.NilError(t, err)
	var pieces strings.Builder
	streamed, err := c.Stream(context.Background(), call, func(piece string) error {
		assert.Check(t, len(piece) <= 16<<10)
		pieces.WriteString(piece)
		return nil
	})
	assert.NilError(t, err)
	assert.DeepEqual(t, streamed, whole)
	assert.Equal(t, pieces.String(), whole.Content)
	assert.Assert(t, strings.Contains(whole.Content, text))
	whole.Content = ""
	assert.DeepEqual(t, whole, client.Answer{
		ID: "chatcmpl-program/1-4", Model: "m", FinishReason: "stop", Key: "k", Sequence: 4, Attempt: 2, Engine: "engine-a",
		Reason: "least?load", Replayed: true, Usage: callerapi.Usage{PromptTokens: 5, CompletionTokens: 2, TotalTokens: 7},
	})
	for _, request := range service.calls {
		assert.Assert(t, !request.Repeatable && !request.Deadline.IsZero())
		assert.Equal(t, request.Sequence, uint64(4))
		assert.Equal(t, request.MaxTokens, uint64(7))
	}
}

func TestFailureMidStream(t *testing.T) {
	service := &echoService{failure: result.Errorf(result.OutcomeUnresolved, "no answer").WithRetryAfter(3 * time.Second)}
	c := start(t, service)
	call := client.Call{Program: "program-1", Messages: []callerapi.Message{{Role: "user", Content: "long enough"}}}
	_, streamErr := c.Stream(context.Background(), call, nil)
	_, wholeErr := c.Call(context.Background(), call)
	for _, err := range []error{streamErr, wholeErr} {
		var failure *result.Error
		assert.Assert(t, errors.As(err, &failure), "%v", err)
		assert.DeepEqual(t, failure, service.failure)
	}
}

// TestBrokenAnswersAreNeverWhole: whatever stands between may cut or spoil an
// answer.
func TestBrokenAnswersAreNeverWhole(t *testing.T) {
	const (
		text = `data: {"id":"a","choices":[{"delta":{"content":"Medi"},"finish_reason":null}]}` + "\n\n"
		last = `data: {"id":"a","choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\n"
		done = "data: [DONE]\n\n"
	)
	for _, test := range []struct {
		name, body string
		status     int
		whole      bool
	}{
		{"control", text + last + done, 200, true},
		{"empty", "", 200, false},
		{"cut before the last chunk", text, 200, false},
		{"cut before the end mark", text + last, 200, false},
		{"cut within the end mark", text + last + "data: [DONE]\n", 200, false},
		{"last chunk missing", text + done, 200, false},
		{"crossed", text + strings.Replace(last, `"a"`, `"b"`, 1) + done, 200, false},
		{"more after the end", text + last + done + text, 200, false},
		{"broken chunk", text + "data: {\n\n" + last + done, 200, false},
		{"error without code", text + "event: error\ndata: {}\n\n", 200, false},
		{"other form of error", "<html>", 503, false},
		{"error without result", `{"error":{}}`, 502, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				writer.WriteHeader(test.status)
				_, _ = writer.Write([]byte(test.body))
			}))
			defer server.Close()
			answer, err := client.New(server.URL, "key", server.Client()).Stream(context.Background(), client.Call{Program: "p"}, nil)
			if test.whole {
				assert.NilError(t, err)
				assert.Equal(t, answer.Content, "Medi")
				return
			}
			assert.ErrorIs(t, err, client.ErrInterrupted)
			assert.Equal(t, answer, client.Answer{})
		})
	}
}
