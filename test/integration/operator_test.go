package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/lab/engine"
	"github.com/marblering/marblering/lab/objectstore"
	"github.com/marblering/marblering/protocol/operator"
	"github.com/marblering/marblering/state/result"
	"github.com/marblering/marblering/test/harness"
	"github.com/marblering/marblering/test/integration/partition"
)

const (
	operatorName = "operator"
	// frozen is a slow factor at which an engine answers nothing in a test's
	// time.
	frozen = 1e6
	// patientAttempts outlast every wait of a test.
	patientAttempts = 1000
)

// operate runs a statement at a node. A command whose outcome is unknown is
// sent again with its id, as the command line does.
func (s *system) operate(t *testing.T, node int, statement string) (operator.Answer, error) {
	t.Helper()
	client := operator.Client{
		Address: s.nodes[node].operators, HTTP: callerClient(), NewCommandID: uuid.NewString, Attempts: patientAttempts,
		Sleep: func(ctx context.Context, _ time.Duration) error {
			time.Sleep(repeatPause)
			return ctx.Err()
		},
	}
	return client.Run(patient(t), operator.Request{Text: statement, Operator: operatorName})
}

// command runs a command that must succeed.
func (s *system) command(t *testing.T, node int, format string, arguments ...any) operator.CommandAnswer {
	t.Helper()
	answer, err := s.operate(t, node, fmt.Sprintf(format, arguments...))
	assert.NilError(t, err)
	return *answer.Command
}

// refused runs a command that must be refused with the code, and returns why.
func (s *system) refused(t *testing.T, node int, code result.Code, statement string) operator.ErrorDetail {
	t.Helper()
	_, err := s.operate(t, node, statement)
	failure := remote(err)
	assert.Assert(t, failure != nil && failure.Code == code, "%v", err)
	return *failure
}

// remote returns what a node answered in place of success.
func remote(err error) *operator.ErrorDetail {
	for ; err != nil; err = unwrap(err) {
		if failure, ok := err.(*operator.RemoteError); ok {
			return &failure.Detail
		}
	}
	return nil
}

func unwrap(err error) error {
	if wrapped, ok := err.(interface{ Unwrap() error }); ok {
		return wrapped.Unwrap()
	}
	return nil
}

// cell returns the value of a column where the query has one row.
func (s *system) cell(t *testing.T, node int, column, query string) string {
	t.Helper()
	answer, err := s.operate(t, node, query)
	assert.NilError(t, err)
	assert.Equal(t, len(answer.Table.Rows), 1, "%s", query)
	for index, known := range answer.Table.Columns {
		if known.Name == column {
			return answer.Table.Rows[0][index].String()
		}
	}
	t.Fatalf("%s has no column %s", query, column)
	return ""
}

// versionOf returns the version of an object as the node has it in force.
func (s *system) versionOf(t *testing.T, node int, kind, name string) string {
	t.Helper()
	return s.cell(t, node, "version", fmt.Sprintf("configuration where kind = %s and name = %s", kind, name))
}

func (s *system) engineState(t *testing.T, node int, name string) string {
	t.Helper()
	return s.cell(t, node, "state", "engines where name = "+name)
}

// waitForState waits until the node shows the engine in the state.
func (s *system) waitForState(t *testing.T, node int, name, state string) {
	t.Helper()
	harness.Eventually(t, func() (bool, string) {
		got := s.engineState(t, node, name)
		return got == state, fmt.Sprintf("%s shows %s as %s, not %s", s.nodes[node].name, name, got, state)
	})
}

// slowDown divides the speed of every engine.
func (s *system) slowDown(t *testing.T, factor float64) {
	t.Helper()
	for _, stand := range s.engines {
		stand.setFaults(t, engine.Faults{SlowFactor: factor})
	}
}

// TestDrainOfAnEngine drains an engine by the command line while it streams.
func TestDrainOfAnEngine(t *testing.T) {
	t.Parallel()
	s := newSystem(t, layout{zones: 3, engines: 2})
	s.slowDown(t, frozen)
	told := newConversation(s.createProgram(t, 0, 100000))
	streamed := request{program: told.program, key: "streamed", text: "a long answer"}
	stream := s.begin(t, 0, streamed)
	harness.Eventually(t, func() (bool, string) {
		return len(s.attempts(t, told.program)) == 1, "no engine took the call on"
	})
	drained := s.engines[s.attempts(t, told.program)[0].engine]
	other := s.engines[1-s.attempts(t, told.program)[0].engine]
	other.setFaults(t, engine.Faults{SlowFactor: 1})

	query := exec.CommandContext(patient(t), filepath.Join(binaries, "marblering"), "query", "--output", "json",
		"--operator", operatorName, "--address", s.nodes[1].operators,
		fmt.Sprintf("drain engine %s expect version %s", drained.name, s.versionOf(t, 1, "engine", drained.name)))
	printed, err := query.Output()
	assert.NilError(t, err)
	var answer operator.Answer
	assert.NilError(t, json.Unmarshal(bytes.TrimSpace(printed), &answer), "%s", printed)
	assert.Equal(t, answer.Command.Subject, "engine/"+drained.name)
	assert.Equal(t, answer.Command.Operator, operatorName)

	taken := len(drained.ledger(t))
	for node := range s.nodes {
		for round := range 4 {
			id := s.createProgram(t, node, 100000)
			known := s.answered(t, node, request{program: id, key: fmt.Sprintf("new-%d", round), text: "hello"})
			assert.Equal(t, known.engine, other.name)
		}
		s.waitForState(t, node, drained.name, operator.StateDraining)
	}
	assert.Equal(t, len(drained.ledger(t)), taken)
	assert.Equal(t, len(stream), 0)

	drained.setFaults(t, engine.Faults{SlowFactor: 1})
	told.answer(t, s, streamed, <-stream)
	for node := range s.nodes {
		s.waitForState(t, node, drained.name, operator.StateDrained)
	}
	assert.Equal(t, s.cell(t, 2, "operator", "configuration where name = "+drained.name), operatorName)
}

// TestDrainOfANode orders a node to drain while it streams, and takes the order
// back.
func TestDrainOfANode(t *testing.T) {
	t.Parallel()
	s := newSystem(t, layout{zones: 3, engines: 1})
	const draining = 0
	s.slowDown(t, frozen)
	told := newConversation(s.createProgram(t, draining, 100000))
	streamed := request{program: told.program, key: "streamed", text: "a long answer"}
	stream := s.begin(t, draining, streamed)
	harness.Eventually(t, func() (bool, string) {
		return len(s.attempts(t, told.program)) == 1, "no engine took the call on"
	})
	name := s.nodes[draining].name
	drained := s.command(t, 1, "drain node %s expect version 0", name)
	waitForState := func(state string, nodes ...int) {
		for _, node := range nodes {
			harness.Eventually(t, func() (bool, string) {
				got := s.cell(t, node, "state", "nodes where name = "+name)
				return got == state, fmt.Sprintf("%s shows %s as %s, not %s", s.nodes[node].name, name, got, state)
			})
		}
	}
	waitForState(operator.StateDraining, 0, 1, 2)
	refused := call(patient(t), s.nodes[draining].callers, request{program: told.program, text: "hello"})
	assert.Equal(t, refused.code(), result.Draining, "%s", refused)
	// With a key of the caller's own an earlier copy may have run elsewhere.
	keyed := call(patient(t), s.nodes[draining].callers, request{program: told.program, key: "other", text: "hello"})
	assert.Equal(t, keyed.code(), result.OutcomeUnresolved, "%s", keyed)
	assert.Equal(t, len(stream), 0)

	s.slowDown(t, 1)
	told.answer(t, s, streamed, <-stream)
	waitForState(operator.StateDrained, draining)
	s.command(t, 1, "undrain node %s expect version %d", name, drained.Version)
	waitForState(operator.StateServing, 0, 1, 2)
	s.nodes[draining].WaitHTTP(t, s.nodes[draining].operators+"/readyz")
	told.say(t, s, draining, request{key: "after", text: "hello"})
}

// TestPausedNodeSendsNothingToADrainedEngine stops a node's process, drains an
// engine elsewhere, and has the node find calls at once when it goes on. Neither
// the platform nor a peer can tell it of the drain unless it asks.
func TestPausedNodeSendsNothingToADrainedEngine(t *testing.T) {
	t.Parallel()
	s := newSystem(t, layout{zones: 3, engines: 2})
	const paused = 2
	var told []*conversation
	for range 12 {
		told = append(told, newConversation(s.createProgram(t, paused, 100000)))
	}
	s.nodes[paused].Pause(t)
	s.nodes[paused].platform.SetFault(harness.Fault{Mode: harness.Cut})
	assert.NilError(t, s.nodes[paused].links.Set(partition.Fault{Kind: partition.Cut}))
	drained := s.engines[0]
	s.command(t, 0, "drain engine %s expect version %s", drained.name, s.versionOf(t, 0, "engine", drained.name))
	taken := len(drained.ledger(t))
	var waiting []<-chan outcome
	for _, one := range told {
		waiting = append(waiting, s.begin(t, paused, request{program: one.program, key: "first", text: "hello"}))
	}
	s.nodes[paused].Resume()
	for index, one := range told {
		first := <-waiting[index]
		r := request{program: one.program, key: "first", text: "hello"}
		if !first.whole {
			first = s.answered(t, paused, r)
		}
		assert.Equal(t, first.engine, s.engines[1].name)
		one.answer(t, s, r, first)
	}
	assert.Equal(t, len(drained.ledger(t)), taken)
}

// TestRacingCommandsHaveOneWinner gives two commands for the same version at two
// nodes.
func TestRacingCommandsHaveOneWinner(t *testing.T) {
	t.Parallel()
	s := newSystem(t, layout{zones: 3, engines: 1})
	for round := range 5 {
		version := s.versionOf(t, 0, "tenant", "other")
		harness.Eventually(t, func() (bool, string) {
			return s.versionOf(t, 1, "tenant", "other") == version, "the second node hasn't the version yet"
		})
		ids := []string{fmt.Sprintf("left-%d", round), fmt.Sprintf("right-%d", round)}
		type end struct {
			answer operator.Answer
			err    error
		}
		ends := make([]end, len(ids))
		done := make(chan struct{})
		for index, id := range ids {
			go func() {
				statement := fmt.Sprintf("set tenant other weight %d expect version %s command id %q", 10*round+index+2, version, id)
				answer, err := s.operate(t, index, statement)
				ends[index] = end{answer, err}
				done <- struct{}{}
			}()
		}
		for range ids {
			<-done
		}
		winner := 0
		if ends[0].err != nil {
			winner = 1
		}
		assert.NilError(t, ends[winner].err)
		lost := remote(ends[1-winner].err)
		assert.Assert(t, lost != nil && lost.Code == result.VersionConflict, "%v", ends[1-winner].err)
		assert.Assert(t, strings.Contains(lost.Message, ids[winner]), lost.Message)
		assert.Equal(t, s.cell(t, winner, "command", "configuration where kind = tenant and name = other"), ids[winner])
	}
}

// TestRepeatAfterLostAnswers loses the answers to the writes of a command, and
// then repeats it.
func TestRepeatAfterLostAnswers(t *testing.T) {
	t.Parallel()
	s := newSystem(t, layout{zones: 3, engines: 1})
	statement := fmt.Sprintf("set tenant other weight 2 expect version %s command id %q", s.versionOf(t, 0, "tenant", "other"), "lost")
	lost := 3
	s.setPlatformFaults(t, objectstore.Faults{LoseAnswers: &lost})
	first := s.command(t, 0, "%s", statement)
	for node := range s.nodes {
		again := s.command(t, node, "%s", statement)
		assert.Assert(t, again.Repeated)
		assert.Equal(t, again.Version, first.Version)
	}
	stored, err := s.objects().Get(t.Context(), "tenant", "other")
	assert.NilError(t, err)
	assert.Equal(t, stored.Version, first.Version)
}

// TestOutageInTheMiddleOfACommand takes the platform down after a command's
// write reached it and before the answer came.
func TestOutageInTheMiddleOfACommand(t *testing.T) {
	t.Parallel()
	s := newSystem(t, layout{zones: 3, engines: 1})
	version := s.versionOf(t, 0, "tenant", "other")
	writes := func(r *http.Request) bool {
		return r.Method == http.MethodPut && strings.HasSuffix(r.URL.Path, "/tenant/other")
	}
	s.nodes[0].platform.SetFault(harness.Fault{Mode: harness.DropAnswer, Match: writes})
	statement := "set tenant other weight 2 expect version " + version
	type end struct {
		answer operator.Answer
		err    error
	}
	ended := make(chan end, 1)
	go func() {
		answer, err := s.operate(t, 0, statement)
		ended <- end{answer, err}
	}()
	harness.Eventually(t, func() (bool, string) { return s.nodes[0].platform.Hits() > 0, "the write didn't come" })
	down, up := true, false
	s.setPlatformFaults(t, objectstore.Faults{Down: &down})
	s.nodes[0].platform.Heal()

	// What needs the platform is refused as not done; serving goes on.
	failure := s.refused(t, 1, result.PlatformUnavailable, "set tenant tenant weight 3 expect version "+s.versionOf(t, 1, "tenant", "tenant"))
	assert.Equal(t, failure.Execution, result.PlatformUnavailable.Info().Execution)
	told := newConversation(s.createProgram(t, 1, 100000))
	told.say(t, s, 1, request{key: "call", text: "hello"})

	s.setPlatformFaults(t, objectstore.Faults{Down: &up})
	got := <-ended
	assert.NilError(t, got.err)
	stored, err := s.objects().Get(t.Context(), "tenant", "other")
	assert.NilError(t, err)
	assert.Equal(t, stored.Version, got.answer.Command.Version)
	assert.Assert(t, strings.Contains(string(stored.Body), got.answer.Command.CommandID), "%s", stored.Body)
	s.refused(t, 1, result.VersionConflict, statement)
}

// TestCutNodeRefusesTheOldConfiguration accepts a drain while one node is cut
// off from its peers and the platform, but not from the engines. Afterwards only
// its peers can give it the new configuration.
func TestCutNodeRefusesTheOldConfiguration(t *testing.T) {
	t.Parallel()
	s := newSystem(t, layout{zones: 3, engines: 2})
	const cut = 2
	id := s.createProgram(t, cut, 100000)
	s.answered(t, cut, request{program: id, key: "before", text: "hello"})
	before := s.configurationAt(t, cut)
	s.cutOff(t, cut)

	drained := s.engines[0]
	accepted := s.command(t, 0, "drain engine %s expect version %s", drained.name, s.versionOf(t, 0, "engine", drained.name))
	taken := len(drained.ledger(t))
	for round := range 3 {
		got := call(patient(t), s.nodes[cut].callers, request{program: id, key: fmt.Sprintf("cut-%d", round), text: "hello"})
		assert.Assert(t, !got.whole, "%s", got)
	}
	assert.Equal(t, len(drained.ledger(t)), taken)
	assert.Equal(t, s.configurationAt(t, cut), before)

	s.healPeers(t)
	harness.Eventually(t, func() (bool, string) {
		got := s.configurationAt(t, cut)
		assert.Assert(t, got >= before, "version %d reverted to %d", before, got)
		before = got
		return got >= accepted.ConfigurationVersion, fmt.Sprintf("version %d of %d", got, accepted.ConfigurationVersion)
	})
	for round := range 4 {
		next := s.createProgram(t, cut, 100000)
		known := s.answered(t, cut, request{program: next, key: fmt.Sprintf("after-%d", round), text: "hello"})
		assert.Equal(t, known.engine, s.engines[1].name)
		assert.Assert(t, s.configurationAt(t, cut) >= before)
	}
	assert.Equal(t, len(drained.ledger(t)), taken)
}
