package callerapi_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/marblering/marblering/coordination/execution"
	"github.com/marblering/marblering/protocol/callerapi"
	"github.com/marblering/marblering/state/result"
)

// TestNoFaultPassesAsWhole has the service fail in every way after it has
// passed on text, and checks what the caller is left with.
func TestNoFaultPassesAsWhole(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*execution.Answer) error
		code   result.Code
	}{
		{"error", func(*execution.Answer) error { return result.Errorf(result.EngineFailed, "lost") }, result.EngineFailed},
		{"unexpected error", func(*execution.Answer) error { return http.ErrServerClosed }, result.Internal},
		{"cancelled", func(*execution.Answer) error { return context.Canceled }, result.OutcomeUnresolved},
		{"panic", func(*execution.Answer) error { panic("fault") }, result.Internal},
		{"other program", func(a *execution.Answer) error { a.Program = "program-2"; return nil }, result.Internal},
		{"other call", func(a *execution.Answer) error { a.Sequence = 8; return nil }, result.Internal},
		{"other text", func(a *execution.Answer) error { a.Content = "Coarse."; return nil }, result.Internal},
		{"shorter text", func(a *execution.Answer) error { a.Content = "Med"; return nil }, result.Internal},
	} {
		t.Run(test.name, func(t *testing.T) {
			service := &fakeService{answer: func(_ context.Context, request execution.CallRequest, sink execution.Sink) (execution.Answer, error) {
				answer := startedAnswer(request)
				answer.Content = "Medium."
				_ = sink.Started(answer.Start)
				_ = sink.Text("Medium")
				return answer, test.change(&answer)
			}}
			_, server := startServer(t, service, nil)
			response, content := send(t, http.MethodPost, server.URL+callPath, streamBody, "Marblering-Sequence: 7")
			assert.Check(t, !strings.Contains(content, doneMark))
			assert.Check(t, !strings.Contains(content, `"finish_reason":"`))
			assert.Equal(t, response.Trailer.Get(callerapi.HeaderResult), numberOf(test.code))
			_, last, found := strings.Cut(content, "event: error\ndata: ")
			assert.Assert(t, found, content)
			var body callerapi.ErrorBody
			assert.NilError(t, json.Unmarshal([]byte(last), &body))
			assert.Equal(t, body.Error.Code, test.code)

			if strings.HasSuffix(test.name, "text") {
				return // a whole answer passes no text on before its end
			}
			response, content = send(t, http.MethodPost, server.URL+callPath, goodBody, "Marblering-Sequence: 7")
			checkError(t, response, content, test.code, "")
		})
	}
}

func numberOf(code result.Code) string {
	number, _ := json.Marshal(code)
	return string(number)
}

func TestLateTextIsRefused(t *testing.T) {
	for _, failure := range []error{nil, result.Errorf(result.NoEngine, "none")} {
		var late execution.Sink
		service := &fakeService{answer: func(_ context.Context, request execution.CallRequest, sink execution.Sink) (execution.Answer, error) {
			late = sink
			answer := startedAnswer(request)
			return answer, errors.Join(sink.Started(answer.Start), failure)
		}}
		_, server := startServer(t, service, nil)
		_, content := send(t, http.MethodPost, server.URL+callPath, streamBody)
		assert.Equal(t, strings.Contains(content, doneMark), failure == nil)
		assert.ErrorContains(t, late.Text("more"), "call is over")
		assert.ErrorContains(t, late.Started(execution.Start{}), "call is over")
	}
}

func TestCancelledCallMayBeAskedAfter(t *testing.T) {
	service := &fakeService{answer: func(context.Context, execution.CallRequest, execution.Sink) (execution.Answer, error) {
		return execution.Answer{}, context.Canceled
	}}
	_, server := startServer(t, service, nil)
	response, content := send(t, http.MethodPost, server.URL+callPath, goodBody, "Idempotency-Key: k")
	checkError(t, response, content, result.OutcomeUnresolved, "stopped waiting")
	assert.Equal(t, response.Header.Get("X-Should-Retry"), "true")
}

func TestRetryAfterIsRoundedUp(t *testing.T) {
	service := &fakeService{answer: func(context.Context, execution.CallRequest, execution.Sink) (execution.Answer, error) {
		return execution.Answer{}, result.Errorf(result.Overloaded, "full").WithRetryAfter(1200 * time.Millisecond)
	}}
	_, server := startServer(t, service, nil)
	response, content := send(t, http.MethodPost, server.URL+callPath, streamBody)
	checkError(t, response, content, result.Overloaded, "full")
	assert.Equal(t, response.Header.Get("Retry-After"), "2")
}

func TestHeadersReachTheService(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	service := &fakeService{answer: answerPieces("ok")}
	_, server := startServer(t, service, func(options *callerapi.Options) {
		options.Now = func() time.Time { return now }
		options.Random = bytes.NewReader(make([]byte, 16))
	})
	send(t, http.MethodPost, server.URL+callPath, goodBody,
		"Idempotency-Key: bag-17", "Marblering-Sequence: 3", "Marblering-Repeatable: false", "Marblering-Deadline-Ms: 2500")
	send(t, http.MethodPost, server.URL+callPath, goodBody)
	calls := service.recordedCalls()
	message := []json.RawMessage{[]byte(`{"role":"user","content":"Which grind?"}`)}
	assert.DeepEqual(t, calls, []execution.CallRequest{
		{Tenant: testTenant, Program: testProgram, Key: "bag-17", Sequence: 3, Deadline: now.Add(2500 * time.Millisecond), Messages: message},
		{Tenant: testTenant, Program: testProgram, Key: "made-00000000000000000000000000000000", Repeatable: true, Messages: message},
	})
}

func TestProgramsAsResource(t *testing.T) {
	service := &fakeService{}
	_, server := startServer(t, service, nil)
	for _, test := range []struct {
		method, path, body string
		status             int
		answer             string
	}{
		{"POST", "", `{"model":"m","adapter":"a","budget_tokens":9,"priority":2,"idle_limit_ms":1500,"turn_limit":4}`, 201, `"id":"program-1","object":"program","tenant":"roaster"`},
		{"POST", "/program-1/children", "", 201, `"parent":"program-1"`},
		{"GET", "/program-1", "", 200, `"model":"roast-7b"`},
		{"GET", "/program-2", "", 404, `"code":1004`},
		{"DELETE", "/program-1?reason=done", "", 200, `"ended":true,"end_reason":"done"`},
	} {
		response, content := send(t, test.method, server.URL+programsPath+test.path, test.body, "Idempotency-Key: k")
		assert.Equal(t, response.StatusCode, test.status, content)
		assert.Check(t, cmp.Contains(content, test.answer))
	}
	assert.DeepEqual(t, service.programs, []execution.ProgramRequest{{
		Tenant: testTenant, Key: "k", Model: "m", Adapter: "a", BudgetTokens: 9, Priority: 2, IdleLimit: 1500 * time.Millisecond, TurnLimit: 4,
	}})
	assert.DeepEqual(t, service.children, []execution.ChildRequest{{Tenant: testTenant, Parent: testProgram, Key: "k"}})
}

func TestLogAndMetricsOfRequests(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	registry := prometheus.NewRegistry()
	service := &fakeService{answer: answerPieces("ok")}
	handler, server := startServer(t, service, func(options *callerapi.Options) {
		options.Logger = zap.New(core)
		options.Observer = callerapi.NewMetrics(registry)
	})
	send(t, http.MethodPost, server.URL+callPath, streamBody)
	send(t, http.MethodPost, server.URL+callPath, "{")
	drain(t, handler)
	assert.Equal(t, logs.Len(), 2)
	assert.Equal(t, logs.FilterField(zap.Uint32("code", 0)).FilterField(zap.String("engine", "engine-a")).Len(), 1)
	assert.Equal(t, logs.FilterField(zap.Uint32("code", 1001)).FilterField(zap.String("tenant", testTenant)).Len(), 1)
	assert.NilError(t, testutil.GatherAndCompare(registry, strings.NewReader(`
# HELP marblering_caller_requests_total Requests of callers by operation and result code.
# TYPE marblering_caller_requests_total counter
marblering_caller_requests_total{code="bad_request",operation="call"} 1
marblering_caller_requests_total{code="ok",operation="call"} 1
`), "marblering_caller_requests_total"))
	count, err := testutil.GatherAndCount(registry, "marblering_caller_first_token_seconds", "marblering_caller_request_duration_seconds")
	assert.NilError(t, err)
	assert.Equal(t, count, 2)
}
