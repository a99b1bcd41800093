package execution

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"time"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/state/program"
	"github.com/marblering/marblering/state/result"
)

// call is one request under way.
type call struct {
	request  CallRequest
	digest   [32]byte
	deadline time.Time
	sink     *guardedSink
	// newTokens bounds the tokens of the new messages from above.
	newTokens uint64
	excluded  []string
	// ran is set once an attempt of the call, here or at a lost executor, may
	// have reached an engine.
	ran bool
	// leave gives back the room that the tenant's limits granted; nil before.
	leave func()
}

func (c *call) key() flightKey { return flightKey{program: c.request.Program, key: c.request.Key} }

// Call runs the call or finds out what became of it.
func (e *Executor) Call(ctx context.Context, request CallRequest, sink Sink) (Answer, error) {
	digest := requestDigest(request)
	key := flightKey{program: request.Program, key: request.Key}
	joined, leads := e.flights.join(key, digest)
	if !leads {
		return e.follow(ctx, joined, request, digest, sink)
	}
	current := &call{
		request:   request,
		digest:    digest,
		deadline:  e.deadlineOf(request),
		sink:      newGuardedSink(sink),
		newTokens: mostTokens(request.Messages),
	}
	callContext, cancel := context.WithDeadline(ctx, current.deadline)
	defer cancel()
	answer, err := e.run(callContext, current)
	if current.leave != nil {
		current.leave()
	}
	e.flights.land(key, joined, answer, err)
	return answer, err
}

func (e *Executor) deadlineOf(request CallRequest) time.Time {
	latest := e.Now().Add(e.Limits.CallTimeout)
	if request.Deadline.IsZero() || request.Deadline.After(latest) {
		return latest
	}
	return request.Deadline
}

// follow waits for the flight that leads and repeats its outcome.
func (e *Executor) follow(ctx context.Context, joined *flight, request CallRequest, digest [32]byte, sink Sink) (Answer, error) {
	if joined.digest != digest {
		return Answer{}, result.Errorf(result.KeyConflict, "key %q is in use for another request", request.Key)
	}
	followContext, cancel := context.WithDeadline(ctx, e.deadlineOf(request))
	defer cancel()
	select {
	case <-joined.done:
	case <-followContext.Done():
		return Answer{}, unresolved("the call with key %q is still running", request.Key)
	}
	if joined.err != nil {
		return Answer{}, joined.err
	}
	answer := joined.answer
	answer.Replayed = true
	if err := newGuardedSink(sink).complete(answer.Start, answer.Content); err != nil {
		return Answer{}, err
	}
	return answer, nil
}

// run admits the call, waiting for earlier ones, and performs it.
func (e *Executor) run(ctx context.Context, current *call) (Answer, error) {
	for {
		found, err := e.enter(ctx, current)
		if err != nil {
			return Answer{}, err
		}
		if found.outcome.Kind != program.Admitted {
			release(found.choice, current, errNotAdmitted)
		}
		answer, settled, err := e.act(ctx, current, found)
		if settled {
			return answer, err
		}
	}
}

// act does what the record's state of the call asks for; settled is false where
// the record must be looked at again.
func (e *Executor) act(ctx context.Context, current *call, found entry) (answer Answer, settled bool, err error) {
	outcome := found.outcome
	switch outcome.Kind {
	case program.Admitted:
		return e.performAdmitted(ctx, current, found)
	case program.Finished:
		answer, err = e.replay(ctx, current, outcome.Call)
		return answer, true, err
	case program.Final:
		return Answer{}, true, outcome.Refusal
	case program.Dropped:
		answer, err = e.replayOld(ctx, current, found.tree)
		return answer, true, err
	case program.InProgress:
		return e.awaitSame(ctx, current, outcome.Call)
	default:
		return e.awaitEarlier(ctx, current, outcome.Call)
	}
}

var errNotAdmitted = errors.New("the call was not admitted")

// entry is what the record holds of a call after it was asked to admit it.
type entry struct {
	outcome program.AdmitOutcome
	choice  Choice
	tree    *statev1.ProgramTree
	// begun is set where the attempt is this executor's and wasn't begun before.
	begun bool
}

// enter chooses an engine and asks the record to admit the call to it. Where no
// engine can be had the refusal is recorded before it is told.
func (e *Executor) enter(ctx context.Context, current *call) (entry, error) {
	tree, err := e.look(ctx, current.request)
	if err != nil {
		return entry{}, err
	}
	choice, refusal := e.place(ctx, current, tree)
	request := e.admitRequest(current, tree, choice)
	defer e.attempts.announce(current.key())()
	found := entry{choice: choice}
	found.tree, err = e.applyExisting(ctx, current.request.Program, func(tree *statev1.ProgramTree) (*statev1.ProgramTree, error) {
		request.NowUnixMS = e.nowUnixMS()
		var err error
		if refusal != nil {
			found.outcome, err = program.Refuse(tree, request, refusal)
		} else {
			found.outcome, err = program.Admit(tree, request)
		}
		return tree, err
	})
	if err != nil {
		release(choice, current, err)
		return entry{}, err
	}
	if found.outcome.Kind == program.Admitted {
		found.begun = e.attempts.begin(keyOf(request.Program, found.outcome.Call), e.Now())
	}
	return found, nil
}

// place asks the tenant's limits for room, once a call, then chooses an engine.
func (e *Executor) place(ctx context.Context, current *call, tree *statev1.ProgramTree) (Choice, *result.Error) {
	if current.leave == nil {
		name := current.request.Program + "/" + current.request.Key
		leave, pause := e.Limiter.Enter(ctx, current.request.Tenant, name, current.newTokens+e.outputTokens(current, tree))
		if pause > 0 {
			return Choice{}, result.Errorf(result.TenantLimit, "tenant %q has reached its limit", current.request.Tenant).WithRetryAfter(pause)
		}
		current.leave = leave
	}
	choice, err := e.choose(ctx, current, tree)
	var refusal *result.Error
	if err != nil && !errors.As(err, &refusal) {
		refusal = result.Errorf(result.NoEngine, "choosing an engine: %v", err).WithRetryAfter(noQuorumRetry)
	}
	return choice, refusal
}

func release(choice Choice, current *call, err error) {
	if choice.Release != nil {
		choice.Release(AttemptReport{Program: current.request.Program, Err: err})
	}
}

// look returns the tree as last seen here, or reads it.
func (e *Executor) look(ctx context.Context, request CallRequest) (*statev1.ProgramTree, error) {
	tree := e.Records.Recent(program.RootOf(request.Program))
	if tree != nil {
		if _, err := program.Access(tree, request.Tenant, request.Program); err == nil {
			return tree, nil
		}
	}
	return e.applyExisting(ctx, request.Program, func(tree *statev1.ProgramTree) (*statev1.ProgramTree, error) {
		_, err := program.Access(tree, request.Tenant, request.Program)
		return tree, err
	})
}

func (e *Executor) choose(ctx context.Context, current *call, tree *statev1.ProgramTree) (Choice, error) {
	target := program.Find(tree, current.request.Program)
	var heldBy []string
	for _, hold := range tree.GetHolds() {
		if hold.GetProgram() == current.request.Program {
			heldBy = append(heldBy, hold.GetEngine())
		}
	}
	return e.Router.Choose(ctx, Query{
		Program:        current.request.Program,
		Tenant:         current.request.Tenant,
		Model:          tree.GetModel(),
		Adapter:        tree.GetAdapter(),
		HistoryTokens:  target.GetHistoryTokens(),
		NewTokens:      current.newTokens,
		OutputTokens:   e.outputTokens(current, tree),
		AttainedTokens: tree.GetAttainedTokens(),
		Priority:       tree.GetPriority(),
		Deadline:       current.deadline,
		Excluded:       current.excluded,
		HeldBy:         heldBy,
	})
}

func (e *Executor) outputTokens(current *call, tree *statev1.ProgramTree) uint64 {
	if current.request.MaxTokens != 0 {
		return current.request.MaxTokens
	}
	model, _ := e.Catalog.Model(tree.GetModel())
	return model.OutputTokens
}

func (e *Executor) admitRequest(current *call, tree *statev1.ProgramTree, choice Choice) program.AdmitRequest {
	model, _ := e.Catalog.Model(tree.GetModel())
	return program.AdmitRequest{
		Program:         current.request.Program,
		Tenant:          current.request.Tenant,
		Key:             current.request.Key,
		RequestDigest:   current.digest[:],
		Sequence:        current.request.Sequence,
		Repeatable:      current.request.Repeatable,
		NewTokens:       current.newTokens,
		OutputTokens:    e.outputTokens(current, tree),
		ContextTokens:   model.ContextTokens,
		Executor:        e.Identity,
		ExecutorAddress: e.Address,
		Engine:          choice.Engine,
		EngineAddress:   choice.Address,
		DeadlineUnixMS:  current.deadline.UnixMilli(),
	}
}

// templateTokens bounds what an engine's chat template adds around a message.
const templateTokens = 8

// mostTokens bounds the tokens of the messages from above, whatever the
// engine's vocabulary: a token of a byte-pair vocabulary covers at least one
// byte.
func mostTokens(messages []json.RawMessage) uint64 {
	var total uint64
	for _, message := range messages {
		total += uint64(len(message)) + templateTokens
	}
	return total
}

// requestDigest covers everything of a request that a repeat must share.
func requestDigest(request CallRequest) [32]byte {
	hash := sha256.New()
	writeField(hash.Write, []byte(request.Program))
	for _, message := range request.Messages {
		writeField(hash.Write, compact(message))
	}
	var numbers [17]byte
	binary.BigEndian.PutUint64(numbers[0:], request.Sequence)
	binary.BigEndian.PutUint64(numbers[8:], request.MaxTokens)
	if request.Repeatable {
		numbers[16] = 1
	}
	writeField(hash.Write, numbers[:])
	return [32]byte(hash.Sum(nil))
}

// writeField writes the length before the bytes, so that no two lists of fields
// give the same input.
func writeField(write func([]byte) (int, error), field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	// A hash's Write never fails.
	_, _ = write(length[:])
	_, _ = write(field)
}

// compact drops insignificant white space, so that a client that formats a
// repeat differently is still recognised.
func compact(message json.RawMessage) []byte {
	var value any
	if json.Unmarshal(message, &value) != nil {
		return message
	}
	normal, err := json.Marshal(value)
	if err != nil {
		return message
	}
	return normal
}
