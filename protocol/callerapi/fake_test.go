package callerapi_test

import (
	"context"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/marblering/marblering/coordination/execution"
	"github.com/marblering/marblering/protocol/callerapi"
	"github.com/marblering/marblering/state/result"
)

const (
	testKey     = "key-of-roaster"
	testTenant  = "roaster"
	testProgram = "program-1"
)

type fixedTenants struct{}

func (fixedTenants) TenantOf(key string) (string, bool) { return testTenant, key == testKey }

// fakeService answers calls by its function and keeps what it was asked.
type fakeService struct {
	execution.Service
	answer func(ctx context.Context, request execution.CallRequest, sink execution.Sink) (execution.Answer, error)

	mu       sync.Mutex
	calls    []execution.CallRequest
	programs []execution.ProgramRequest
	children []execution.ChildRequest
	ended    []string
}

func (s *fakeService) CreateProgram(_ context.Context, request execution.ProgramRequest) (execution.ProgramView, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.programs = append(s.programs, request)
	return execution.ProgramView{ID: testProgram, Tenant: request.Tenant, Model: request.Model, BudgetTokens: request.BudgetTokens, NextSequence: 1}, nil
}

func (s *fakeService) CreateChild(_ context.Context, request execution.ChildRequest) (execution.ProgramView, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.children = append(s.children, request)
	return execution.ProgramView{ID: request.Parent + ".1", Parent: request.Parent, Tenant: request.Tenant}, nil
}

func (s *fakeService) ReadProgram(_ context.Context, tenant, id string) (execution.ProgramView, error) {
	if id != testProgram {
		return execution.ProgramView{}, result.Errorf(result.UnknownProgram, "no program %q", id)
	}
	return execution.ProgramView{ID: id, Tenant: tenant, Model: "roast-7b", BudgetTokens: 1000}, nil
}

func (s *fakeService) EndProgram(_ context.Context, tenant, id, reason string) (execution.ProgramView, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = append(s.ended, reason)
	return execution.ProgramView{ID: id, Tenant: tenant, Ended: true, EndReason: reason}, nil
}

func (s *fakeService) Call(ctx context.Context, request execution.CallRequest, sink execution.Sink) (execution.Answer, error) {
	s.mu.Lock()
	s.calls = append(s.calls, request)
	s.mu.Unlock()
	return s.answer(ctx, request, sink)
}

func (s *fakeService) recordedCalls() []execution.CallRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]execution.CallRequest(nil), s.calls...)
}

// answerPieces answers every call with the pieces of text.
func answerPieces(pieces ...string) func(context.Context, execution.CallRequest, execution.Sink) (execution.Answer, error) {
	return func(_ context.Context, request execution.CallRequest, sink execution.Sink) (execution.Answer, error) {
		answer := startedAnswer(request)
		_ = sink.Started(answer.Start)
		for _, piece := range pieces {
			_ = sink.Text(piece)
			answer.Content += piece
		}
		return answer, nil
	}
}

// startedAnswer is an answer without text.
func startedAnswer(request execution.CallRequest) execution.Answer {
	return execution.Answer{
		Start:        execution.Start{Program: request.Program, Sequence: max(request.Sequence, 1), Attempt: 1, Engine: "engine-a", Model: "roast-7b"},
		FinishReason: "stop",
		Usage:        execution.Usage{PromptTokens: 12, OutputTokens: 3, CachedTokens: 8},
		Created:      time.Unix(1_700_000_000, 0),
	}
}

// startServer serves the service over loopback until the test ends.
func startServer(t *testing.T, service *fakeService, change func(*callerapi.Options)) (*callerapi.Handler, *httptest.Server) {
	t.Helper()
	options := callerapi.Options{Service: service, Tenants: fixedTenants{}}
	if change != nil {
		change(&options)
	}
	handler := callerapi.New(options)
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return handler, server
}
