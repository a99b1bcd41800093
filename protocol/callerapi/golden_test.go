package callerapi_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/marblering/marblering/coordination/execution"
	"github.com/marblering/marblering/protocol/callerapi"
	"github.com/marblering/marblering/state/result"
)

// fullView is a program with a value in every field.
var fullView = execution.ProgramView{
	ID: "program-1.1", Parent: "program-1", Tenant: testTenant, Model: "roast-7b", Adapter: "dark", Priority: 2,
	BudgetTokens: 900, ReservedTokens: 40, SpentTokens: 300, NextSequence: 5, Turns: 4, HistoryTokens: 260,
	Ended: true, EndReason: "done",
}

// goldenService answers every request with all that the API can carry, or with
// its failure: before the first text, or after it.
type goldenService struct {
	before, after error
	view          execution.ProgramView

	// asked is a line for each thing that the service was asked.
	asked []string
}

func (s *goldenService) CreateProgram(_ context.Context, request execution.ProgramRequest) (execution.ProgramView, error) {
	s.note("create program", request)
	return s.view, s.before
}

func (s *goldenService) CreateChild(_ context.Context, request execution.ChildRequest) (execution.ProgramView, error) {
	s.note("create child", request)
	return s.view, s.before
}

func (s *goldenService) ReadProgram(_ context.Context, tenant, id string) (execution.ProgramView, error) {
	s.note("read program", tenant, id)
	return s.view, s.before
}

func (s *goldenService) EndProgram(_ context.Context, tenant, id, reason string) (execution.ProgramView, error) {
	s.note("end program", tenant, id, reason)
	return s.view, s.before
}

func (s *goldenService) Call(_ context.Context, request execution.CallRequest, sink execution.Sink) (execution.Answer, error) {
	s.note("call", request.Tenant, request.Program, request.Key, request.Sequence, request.Repeatable, request.Deadline,
		request.MaxTokens, request.Stream)
	for _, message := range request.Messages {
		s.note("message", string(message))
	}
	if s.before != nil {
		return execution.Answer{}, s.before
	}
	answer := startedAnswer(request)
	answer.Reason, answer.Replayed = "shortest queue", true
	answer.Content = "Medium <&> fine."
	_ = sink.Started(answer.Start)
	_ = sink.Text("Medium ")
	return answer, s.after
}

func (s *goldenService) note(what string, values ...any) {
	s.asked = append(s.asked, what+": "+strings.TrimSuffix(fmt.Sprintln(values...), "\n"))
}

// exchangeCase is one request with what the service does.
type exchangeCase struct {
	name          string
	request       string // method and path
	headers       []string
	body          string
	before, after error
	view          execution.ProgramView
	change        func(*callerapi.Handler)
}

const everyField = `{"messages":[{"role":"user","content":"Which grind?"}, {"role":"tool","tool_call_id":"t1","content":[{"type":"text","text":"a"}]}],` +
	`"model":"m","max_completion_tokens":20,"max_tokens":20,"n":1,"temperature":0.5,"stop":["x"],"unknown":1`

func exchangeCases() []exchangeCase {
	call := "POST " + callPath
	callHeaders := []string{"Idempotency-Key: bag-17", "Marblering-Sequence: 3", "Marblering-Repeatable: false", "Marblering-Deadline-Ms: 2500"}
	overloaded := result.Errorf(result.Overloaded, "full").WithRetryAfter(1200 * time.Millisecond)
	return []exchangeCase{
		{name: "create a program", request: "POST /v1/programs", headers: []string{"Idempotency-Key: k"}, view: fullView,
			body: `{"model":"roast-7b","adapter":"dark","budget_tokens":900,"priority":2,"idle_limit_ms":1500,"turn_limit":4}`},
		{name: "create a program with what is required", request: "POST /v1/programs", body: `{"model":"roast-7b","budget_tokens":900}`,
			view: execution.ProgramView{ID: "a/b", Tenant: testTenant, Model: "roast-7b", BudgetTokens: 900, NextSequence: 1}},
		{name: "create a program with an unknown field", request: "POST /v1/programs", body: `{"colour":"red"}`},
		{name: "create a child", request: "POST /v1/programs/program-1/children", headers: []string{"Idempotency-Key: k"}, view: fullView},
		{name: "read a program", request: "GET /v1/programs/program-1.1", view: fullView},
		{name: "read an unknown program", request: "GET /v1/programs/p", before: result.Errorf(result.UnknownProgram, "no program \"p\"")},
		{name: "read without a quorum", request: "GET /v1/programs/p", before: result.Errorf(result.NoQuorum, "1 of 3 replicas answers")},
		{name: "end a program", request: "DELETE /v1/programs/program-1.1?reason=done", view: fullView},
		{name: "end a program without a reason", request: "DELETE /v1/programs/program-1.1", view: fullView},
		{name: "call", request: call, headers: callHeaders, body: everyField + "}"},
		{name: "call without a key", request: call, body: goodBody},
		{name: "stream", request: call, headers: callHeaders, body: everyField + `,"stream":true}`},
		{name: "stream with usage", request: call, body: `{"stream":true,"stream_options":{"include_usage":true},` + goodBody[1:]},
		{name: "stream that breaks off", request: call, body: streamBody, after: result.Errorf(result.EngineFailed, "lost <at> e1")},
		{name: "stream that breaks off with advice to ask again", request: call, body: streamBody, after: context.Canceled},
		{name: "stream refused before its first text", request: call, body: streamBody, before: overloaded},
		{name: "call refused with a pause", request: call, headers: callHeaders, body: goodBody, before: overloaded},
		{name: "call refused without a pause", request: call, body: goodBody, before: result.Errorf(result.TenantLimit, "40 calls are running")},
		{name: "call refused for good", request: call, headers: callHeaders, body: goodBody, before: result.Errorf(result.BudgetExhausted, "3 tokens are left")},
		{name: "call without a quorum, with a key", request: call, headers: callHeaders, body: goodBody, before: result.Errorf(result.NoQuorum, "1 of 3").WithRetryAfter(time.Second)},
		{name: "call whose outcome is unresolved, without a key", request: call, body: goodBody, before: context.DeadlineExceeded},
		{name: "call with a fault of the program", request: call, headers: callHeaders, body: goodBody, before: http.ErrServerClosed},
		{name: "call with a bad field", request: call, body: `{"messages":[{"role":"owner"}]}`},
		{name: "call with a bad header", request: call, headers: []string{"Marblering-Sequence: x"}, body: goodBody},
		{name: "call with too large a body", request: call, body: strings.Repeat(" ", testLimit) + goodBody},
		{name: "no key of a tenant", request: call, headers: []string{"Authorization: "}, body: goodBody},
		{name: "wrong key of a tenant", request: call, headers: []string{"Authorization: Bearer other"}, body: goodBody},
		{name: "unknown path", request: "GET /v1/models"},
		{name: "draining, without a key", request: call, body: goodBody, change: (*callerapi.Handler).Drain},
		{name: "draining, with a key", request: call, headers: callHeaders, body: goodBody, change: (*callerapi.Handler).Drain},
	}
}

// TestExchangesStayAsTheyAre holds what the service is asked and what the
// caller is answered to testdata/exchanges.golden; go test
// ./protocol/callerapi -update writes it.
func TestExchangesStayAsTheyAre(t *testing.T) {
	var page strings.Builder
	for _, test := range exchangeCases() {
		service := &goldenService{before: test.before, after: test.after, view: test.view}
		handler := callerapi.New(callerapi.Options{
			Service:   service,
			Tenants:   fixedTenants{},
			Now:       func() time.Time { return time.Unix(1_700_000_000, 0).UTC() },
			Random:    bytes.NewReader(make([]byte, 16)),
			BodyLimit: testLimit,
		})
		if test.change != nil {
			test.change(handler)
		}
		method, path, _ := strings.Cut(test.request, " ")
		request := httptest.NewRequest(method, path, strings.NewReader(test.body))
		request.Header.Set("Authorization", "Bearer "+testKey)
		for _, header := range test.headers {
			name, value, _ := strings.Cut(header, ": ")
			request.Header.Set(name, value)
		}
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		fmt.Fprintf(&page, "## %s: %s\n\n", test.name, test.request)
		for _, asked := range service.asked {
			page.WriteString("asked " + asked + "\n")
		}
		page.WriteString(transcript(t, recorder.Result()) + "\n")
	}
	golden.Assert(t, page.String(), "exchanges.golden")
}

// transcript writes an answer with its header sorted, and its trailer.
func transcript(t *testing.T, response *http.Response) string {
	t.Helper()
	var text strings.Builder
	fmt.Fprintf(&text, "%d\n", response.StatusCode)
	assert.NilError(t, response.Header.Write(&text))
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	fmt.Fprintf(&text, "\n%s\n", body)
	if len(response.Trailer) > 0 {
		text.WriteString("trailer:\n")
		assert.NilError(t, response.Trailer.Write(&text))
	}
	return strings.ReplaceAll(text.String(), "\r\n", "\n")
}

// TestHeaderNamesStayAsTheyAre holds the names that callers and this program
// write in headers, and the mark that ends a stream.
func TestHeaderNamesStayAsTheyAre(t *testing.T) {
	names := []string{
		callerapi.HeaderKey, callerapi.HeaderSequence, callerapi.HeaderRepeatable, callerapi.HeaderDeadline,
		callerapi.HeaderEngine, callerapi.HeaderAttempt, callerapi.HeaderReason, callerapi.HeaderResult,
		callerapi.HeaderReplayed, callerapi.StreamEnd,
	}
	golden.Assert(t, strings.Join(names, "\n")+"\n", "headers.golden")
}
