package operator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/configuration"
	"github.com/marblering/marblering/protocol/operator"
	"github.com/marblering/marblering/state/result"
)

// backend is a node with a store of its own.
type backend struct {
	mutex    sync.Mutex
	version  uint64
	objects  map[configuration.Key]configuration.Object
	programs []operator.ProgramRow
	calls    []operator.CallRow
	ended    []string
	// down makes every access to the store fail; loseAnswers makes the next
	// writes lose theirs.
	down        bool
	loseAnswers int
	incomplete  string
}

func newBackend() *backend {
	b := &backend{objects: map[configuration.Key]configuration.Object{}, version: 10}
	b.put("pool", "old", `{"zones":["hall-a"],"models":["small"],"roles":["mixed"],"minimum_engines":0}`)
	b.put("model", "small", `{"context_tokens":1000,"default_max_tokens":10}`)
	b.put("engine", "e1", `{"address":"http://127.0.0.1:1","zone":"hall-a","generation":"g1","pool":"old","models":["small"],"role":"mixed"}`)
	b.put("engine", "e2", `{"address":"http://127.0.0.1:2","zone":"hall-b","generation":"g2","pool":"old","models":["small","large"],"role":"decode"}`)
	b.put("tenant", "t1", `{"api_key_sha256":[],"weight":2,"limits":{"max_concurrent_calls":5,"tokens_per_minute":7}}`)
	b.programs = []operator.ProgramRow{
		{ID: "p1", Tenant: "t1", State: "idle", Turns: 4, Idle: time.Minute, Holds: []string{"e1"}},
		{ID: "p2", Tenant: "t2", State: "running", Turns: 9, Idle: time.Second},
		{ID: "p3", Tenant: "t1", State: "ended", Turns: 2, Idle: time.Hour},
	}
	b.calls = []operator.CallRow{
		{Program: "p1", Sequence: 1, State: "finished", Engine: "e1"},
		{Program: "p1", Sequence: 2, State: "finished", Engine: "e2"},
	}
	return b
}

func (b *backend) put(kind configuration.Kind, name, body string) uint64 {
	b.version++
	key := configuration.Key{Kind: kind, Name: name}
	b.objects[key] = configuration.Object{Key: key, Version: b.version, Body: json.RawMessage(body)}
	return b.version
}

func (b *backend) body(kind configuration.Kind, name string) string {
	return string(b.objects[configuration.Key{Kind: kind, Name: name}].Body)
}

func (b *backend) Programs(_ context.Context, hint operator.Hint) (operator.Listing[operator.ProgramRow], error) {
	rows := slices.DeleteFunc(slices.Clone(b.programs), func(r operator.ProgramRow) bool {
		return hint.Program != "" && r.ID != hint.Program || hint.Tenant != "" && r.Tenant != hint.Tenant
	})
	return operator.Listing[operator.ProgramRow]{Rows: rows, Incomplete: b.incomplete}, nil
}

func (b *backend) Calls(_ context.Context, hint operator.Hint) (operator.Listing[operator.CallRow], error) {
	rows := slices.DeleteFunc(slices.Clone(b.calls), func(r operator.CallRow) bool {
		return hint.Program != "" && r.Program != hint.Program
	})
	return operator.Listing[operator.CallRow]{Rows: rows, Incomplete: b.incomplete}, nil
}

func (b *backend) Engines(context.Context) (operator.Listing[operator.EngineRow], error) {
	return operator.Listing[operator.EngineRow]{Rows: []operator.EngineRow{
		{Name: "e1", Zone: "hall-a", State: "draining", Models: []string{"small"}, Running: 2},
		{Name: "e2", Zone: "hall-b", State: "serving", Models: []string{"small", "large"}, Running: 7},
		{Name: "e3", Zone: "hall-b", State: "drained", Models: []string{"large"}},
	}}, nil
}

func (b *backend) Pools(context.Context) (operator.Listing[operator.PoolRow], error) {
	return operator.Listing[operator.PoolRow]{Rows: []operator.PoolRow{{Name: "old", Engines: 3, ServingEngines: 1}}}, nil
}

func (b *backend) Nodes(context.Context) (operator.Listing[operator.NodeRow], error) {
	return operator.Listing[operator.NodeRow]{Rows: []operator.NodeRow{{Name: "n1", State: "serving"}}}, nil
}

func (b *backend) Shards(context.Context) (operator.Listing[operator.ShardRow], error) {
	return operator.Listing[operator.ShardRow]{Rows: []operator.ShardRow{{Shard: 3, Epoch: 2, Replicas: []string{"n1"}}}}, nil
}

func (b *backend) Configuration(context.Context) (operator.Listing[operator.ConfigurationRow], error) {
	return operator.Listing[operator.ConfigurationRow]{Rows: []operator.ConfigurationRow{{Kind: "model", Name: "small", Version: 12}}}, nil
}

func (b *backend) Decisions(context.Context, string) (operator.Listing[operator.Decision], error) {
	return operator.Listing[operator.Decision]{Rows: []operator.Decision{
		{Node: "n1", Sequence: 1, Attempt: 1, Engine: "e1", Reason: "cached"},
		{Node: "n2", Engine: "e1", Reason: "of an unknown call"},
		{Node: "n1", Sequence: 2, Attempt: 1, Engine: "e2", Reason: "shorter queue", Candidates: []operator.Candidate{
			{Engine: "e2", Cost: 1.5, Queue: 0.5}, {Engine: "e1", Rejected: "leaving"},
		}},
	}}, nil
}

func (b *backend) Get(_ context.Context, key configuration.Key) (configuration.Object, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.down {
		return configuration.Object{}, configuration.ErrUnavailable
	}
	object, found := b.objects[key]
	if !found {
		return configuration.Object{Key: key, Deleted: true}, nil
	}
	return object, nil
}

// Accept does what coordination/configuration does, for one node.
func (b *backend) Accept(_ context.Context, change configuration.Change) (configuration.Accepted, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.down {
		return configuration.Accepted{}, result.Errorf(result.PlatformUnavailable, "no answer")
	}
	object := b.objects[change.Key]
	mark := configuration.Writer(object.Body)
	if mark.Includes(change.CommandID) {
		return configuration.Accepted{Version: object.Version, ConfigurationVersion: b.version, Repeated: true}, nil
	}
	if object.Version != change.Expected {
		return configuration.Accepted{}, result.Errorf(result.VersionConflict, "%s is at version %d, written by command %s", change.Key, object.Version, mark.CommandID)
	}
	if change.Remove {
		delete(b.objects, change.Key)
		return configuration.Accepted{ConfigurationVersion: b.version}, nil
	}
	body := stamp(change, mark)
	if _, err := configuration.Decode(configuration.Object{Key: change.Key, Version: 1, Body: body}); err != nil {
		return configuration.Accepted{}, result.Errorf(result.InvalidConfiguration, "%v", err)
	}
	version := b.put(change.Kind, change.Name, string(body))
	if b.loseAnswers > 0 {
		b.loseAnswers--
		return configuration.Accepted{}, result.Errorf(result.CommandUnresolved, "the answer was lost")
	}
	return configuration.Accepted{Version: version, ConfigurationVersion: version}, nil
}

func (b *backend) EndProgram(_ context.Context, program, reason string) error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ended = append(b.ended, program+": "+reason)
	return nil
}

// stamp adds the mark of the command that writes after the one before.
func stamp(change configuration.Change, before configuration.WrittenBy) json.RawMessage {
	fields := map[string]any{}
	if err := json.Unmarshal(change.Body, &fields); err != nil {
		panic(err)
	}
	mark := configuration.WrittenBy{CommandID: change.CommandID, Operator: change.Operator}
	if before.CommandID != "" {
		mark.Previous = append([]string{before.CommandID}, before.Previous...)
	}
	fields["written_by"] = mark
	body, err := json.Marshal(fields)
	if err != nil {
		panic(err)
	}
	return body
}

func newInterpreter(b operator.Backend) *operator.Interpreter {
	next := 0
	return operator.NewInterpreter(operator.Options{
		Backend: b,
		Logger:  zap.NewNop(),
		NewCommandID: func() string {
			next++
			return fmt.Sprintf("made-%d", next)
		},
		Now: time.Now,
	})
}
