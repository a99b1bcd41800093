package execution_test

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/coordination/execution"
	"github.com/marblering/marblering/state/history"
	"github.com/marblering/marblering/state/program"
)

// memoryRecords keeps trees in a map, as one register client after another
// would.
type memoryRecords struct {
	mutex sync.Mutex
	trees map[string]*statev1.ProgramTree
	// fault is asked before each change; lost answers apply it and then fail.
	fault func(applied bool) error
	// stored runs after each change, before whoever made it hears of it.
	stored func()
}

func (m *memoryRecords) Apply(_ context.Context, root string, change execution.Change) (*statev1.ProgramTree, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if err := m.ask(false); err != nil {
		return nil, err
	}
	next, err := change(clone(m.trees[root]))
	if err != nil {
		return nil, err
	}
	m.trees[root] = next
	if err := m.ask(true); err != nil {
		return nil, err
	}
	if m.stored != nil {
		m.mutex.Unlock()
		m.stored()
		m.mutex.Lock()
	}
	return clone(next), nil
}

func (m *memoryRecords) ask(applied bool) error {
	if m.fault == nil {
		return nil
	}
	return m.fault(applied)
}

func (m *memoryRecords) Recent(root string) *statev1.ProgramTree {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return clone(m.trees[root])
}

func clone(tree *statev1.ProgramTree) *statev1.ProgramTree {
	if tree == nil {
		return nil
	}
	return proto.Clone(tree).(*statev1.ProgramTree)
}

type memoryTurns struct {
	mutex sync.Mutex
	turns map[history.Digest]*statev1.Turn
	// fault is what reading a chain fails with; nil for nothing.
	fault error
}

func (m *memoryTurns) Put(_ context.Context, turn *statev1.Turn) ([]byte, error) {
	_, digest, err := history.Encode(turn)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.turns[digest] = turn
	return digest.Bytes(), err
}

func (m *memoryTurns) Turn(_ context.Context, _ string, _ uint64, digest []byte) (*statev1.Turn, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	turn, found := m.turns[history.Digest(digest)]
	if !found {
		return nil, errors.New("no such turn")
	}
	return turn, nil
}

func (m *memoryTurns) Chain(ctx context.Context, id string, head []byte) (*history.Chain, error) {
	if m.fault != nil {
		return nil, m.fault
	}
	var turns []*statev1.Turn
	for digest := head; len(digest) > 0; {
		turn, err := m.Turn(ctx, id, 0, digest)
		if err != nil {
			return nil, err
		}
		turns = append(turns, turn)
		digest = turn.GetPrevious()
	}
	slices.Reverse(turns)
	return history.NewChain(id, head, turns)
}

// fixedRouter offers engines in order and skips the excluded ones.
type fixedRouter struct{ names []string }

func (r *fixedRouter) Choose(_ context.Context, query execution.Query) (execution.Choice, error) {
	for _, name := range r.names {
		if !slices.Contains(query.Excluded, name) {
			return execution.Choice{Engine: name, Address: name, Release: func(execution.AttemptReport) {}}, nil
		}
	}
	return execution.Choice{}, errors.New("no engine left")
}

// scriptedEngines answers "echo:" and a digest of the whole chain, and counts
// what reaches each engine.
type scriptedEngines struct {
	mutex    sync.Mutex
	requests []string
	chains   []int
	// before runs ahead of each answer; its error ends the attempt.
	before func(address string, request execution.EngineRequest, onText func(string) error) error
}

func (s *scriptedEngines) Complete(_ context.Context, address string, request execution.EngineRequest, onText func(string) error) (execution.EngineAnswer, error) {
	s.mutex.Lock()
	s.requests = append(s.requests, address+" "+request.RequestID)
	s.chains = append(s.chains, len(request.Messages))
	s.mutex.Unlock()
	if s.before != nil {
		if err := s.before(address, request, onText); err != nil {
			return execution.EngineAnswer{}, err
		}
	}
	content := answerTo(request.Messages)
	for _, piece := range []string{content[:4], content[4:]} {
		if err := onText(piece); err != nil {
			return execution.EngineAnswer{}, err
		}
	}
	return execution.EngineAnswer{
		Content: content, FinishReason: "stop", Usage: execution.Usage{PromptTokens: 10, OutputTokens: 5},
	}, nil
}

func answerTo(messages []json.RawMessage) string {
	hash := sha256.New()
	for _, message := range messages {
		hash.Write(message)
	}
	return fmt.Sprintf("echo:%x", hash.Sum(nil)[:6])
}

func (s *scriptedEngines) Cancel(context.Context, string, string) error  { return nil }
func (s *scriptedEngines) Release(context.Context, string, string) error { return nil }

func (s *scriptedEngines) seen() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.requests)
}

// openLimiter refuses nothing unless pause or noRetries is set.
type openLimiter struct {
	pause     *time.Duration
	noRetries *bool
}

func (o openLimiter) Enter(context.Context, string, string, uint64) (func(), time.Duration) {
	return func() {}, *o.pause
}
func (o openLimiter) Retry(string) bool { return !*o.noRetries }

type anyCatalog struct{}

func (anyCatalog) Model(string) (execution.Model, bool) {
	return execution.Model{ContextTokens: 100000, OutputTokens: 50}, true
}
func (anyCatalog) Adapter(string, string) bool { return true }

// fleetOfExecutors are executors over shared records and engines.
type fleetOfExecutors struct {
	records *memoryRecords
	turns   *memoryTurns
	engines *scriptedEngines
	router  *fixedRouter
	nodes   map[string]*execution.Executor
	gone    sync.Map
	// pause is what the tenant's limits answer, noRetries what its retry budget.
	pause     time.Duration
	noRetries bool
	// seenGone runs after a look that found a node gone; nil for nothing.
	seenGone func()
	// asked is told of each question about an attempt; nil for nobody.
	asked func()
}

func newFleetOfExecutors(identities ...string) *fleetOfExecutors {
	f := &fleetOfExecutors{
		records: &memoryRecords{trees: map[string]*statev1.ProgramTree{}},
		turns:   &memoryTurns{turns: map[history.Digest]*statev1.Turn{}},
		engines: &scriptedEngines{},
		router:  &fixedRouter{[]string{"engine-1", "engine-2", "engine-3"}},
		nodes:   map[string]*execution.Executor{},
	}
	for index, identity := range identities {
		limits := execution.DefaultLimits
		limits.TakeoverGrace = time.Millisecond
		limits.CallTimeout = 20 * time.Second
		f.nodes[identity] = execution.New(execution.Options{
			Identity: identity, Address: identity, Records: f.records, Turns: f.turns,
			Router: f.router, Limiter: openLimiter{&f.pause, &f.noRetries}, Engines: f.engines,
			Peers: f, Liveness: f, Catalog: anyCatalog{}, Logger: zap.NewNop(), Now: time.Now,
			Random: rand.New(rand.NewPCG(1, uint64(index))), Limits: limits,
		})
	}
	return f
}

// Gone implements execution.Liveness.
func (f *fleetOfExecutors) Gone(executor string) bool {
	_, gone := f.gone.Load(executor)
	if gone && f.seenGone != nil {
		f.seenGone()
	}
	return gone
}

// AttemptStatus implements execution.Peers.
func (f *fleetOfExecutors) AttemptStatus(_ context.Context, address, _, id string, sequence uint64, attempt uint32) execution.AttemptState {
	if f.Gone(address) {
		return execution.AttemptUnreachable
	}
	if f.asked != nil {
		f.asked()
	}
	if f.nodes[address].Running(id, sequence, attempt) {
		return execution.AttemptRunning
	}
	return execution.AttemptLost
}

func (f *fleetOfExecutors) program(t *testing.T, budget uint64) string {
	t.Helper()
	for _, executor := range f.nodes {
		created, err := executor.CreateProgram(t.Context(), execution.ProgramRequest{
			Tenant: "tenant", Key: "create", Model: "model", BudgetTokens: budget,
		})
		assert.NilError(t, err)
		return created.ID
	}
	return ""
}

func (f *fleetOfExecutors) tree(id string) *statev1.ProgramTree {
	return f.records.Recent(program.RootOf(id))
}

func callOf(id, key string) execution.CallRequest {
	return execution.CallRequest{
		Tenant: "tenant", Program: id, Key: key, Repeatable: true,
		Messages: []json.RawMessage{json.RawMessage(`{"role":"user","content":"` + key + `"}`)},
	}
}

// textSink collects what a caller receives.
type textSink struct {
	mutex  sync.Mutex
	text   strings.Builder
	starts int
}

func (s *textSink) Started(execution.Start) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.starts++
	return nil
}

func (s *textSink) Text(text string) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.text.WriteString(text)
	return nil
}

// setFault sets what is asked before each change; nil is no fault.
func (m *memoryRecords) setFault(fault func(applied bool) error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.fault = fault
}
