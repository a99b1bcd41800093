package operator_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/marblering/marblering/coordination/configuration"
	"github.com/marblering/marblering/protocol/operator"
	"github.com/marblering/marblering/state/result"
)

func run(interpreter *operator.Interpreter, text string) (operator.Answer, error) {
	return interpreter.Run(context.Background(), operator.Request{Text: text, Operator: "ada"})
}

// names gives the first cell of each row.
func names(answer operator.Answer) string {
	var texts []string
	for _, row := range answer.Table.Rows {
		texts = append(texts, row[0].String())
	}
	return strings.Join(texts, " ")
}

func codeOf(err error) result.Code {
	var failure *result.Error
	if errors.As(err, &failure) {
		return failure.Code
	}
	return result.OK
}

func TestQueries(t *testing.T) {
	cases := []struct {
		text string
		want string
	}{
		{"programs", "p1 p2 p3"},
		{"PROGRAMS WHERE tenant = t1", "p1 p3"},
		{"programs where tenant != 't1'", "p2"},
		{"programs where turns > 2 and turns <= 9", "p1 p2"},
		{"programs where turns < 4 or state = running", "p2 p3"},
		{"programs where not (turns < 4 or state = running)", "p1"},
		{"programs where not not turns < 4", "p3"},
		{"programs where tenant = t1 or turns = 9 and state = ended", "p1 p3"},
		{"programs where idle >= 1m order by idle desc", "p3 p1"},
		{"programs where holds = e1", "p1"},
		{"programs where holds != e1", "p2 p3"},
		{"programs where id like 'p_'", "p1 p2 p3"},
		{"programs where id like '%2'", "p2"},
		{"programs where id like 'P%'", ""},
		{"programs order by tenant desc, turns desc limit 2;", "p2 p1"},
		{"programs limit 0", ""},
		{"engines where models like 'lar%'", "e2 e3"},
		{"engines where state = drained", "e3"},
		{"calls where id = p1/2", "p1/2"},
		{"pools", "old"},
		{"nodes where data_folder = false", "n1"},
		{"shards where epoch = 2", "3"},
		{"configuration where kind = \"model\"", "model"},
	}
	interpreter := newInterpreter(newBackend())
	for _, c := range cases {
		answer, err := run(interpreter, c.text)
		assert.NilError(t, err, c.text)
		assert.Equal(t, names(answer), c.want, c.text)
	}
}

func TestErrorsPointAtTheColumn(t *testing.T) {
	cases := []struct {
		text    string
		column  int
		problem string
	}{
		{"", 1, "empty"},
		{"enginez", 1, "allowed: programs, calls, engines"},
		{"engines limt 3", 9, `"limt"`},
		{"engines where", 14, "too early"},
		{"engines where zone ~ hall-a", 20, `"~"`},
		{"engines where zone = 'hall-a", 22, "quote"},
		{"engines where zome = 1", 15, "no column \"zome\""},
		{"engines where running = many", 25, "whole number"},
		{"engines where load_age > 3", 26, "duration"},
		{"nodes where data_folder = yes", 27, "true or false"},
		{"engines where models < x", 15, "is a list"},
		{"engines order by nope", 18, "no column"},
		{"engines limit -1", 15, "whole number"},
		{"engines where zone = 'café' and zome = 1", 33, "no column"},
		{"engines\n where zome = 1", 16, "no column"},
		{"explain engine e1", 9, `"engine"`},
		{"explain call p1", 14, "PROGRAM/SEQUENCE"},
		{"drain", 6, "too early"},
		{"drain pool old expect version 3", 7, "allowed: engine, node"},
		{"drain engine e1", 16, "expected version is missing"},
		{"drain engine e1 ", 16, "expected version is missing"},
		{"drain engine e1 expect version x", 32, "isn't a version"},
		{"drain engine e1 expect vrsion 3", 24, "vrsion"},
		{"drain engine e1 expect version 0", 33, "from 1"},
		{"drain engine e1 expect version 1 expect version 2", 49, "second expected version"},
		{"drain engine e1 expect version 1 command id ''", 45, "empty"},
		{"add engine e9 colour red", 15, "takes no field \"colour\""},
		{"add engine e9 zone hall-a, hall-b", 28, "takes one value"},
		{"add engine e9 zone hall-a zone hall-b", 27, "stands twice"},
		{"add engine e9 expect version 3", 31, "version 0"},
		{"add model m context_tokens many", 28, "whole number"},
		{"add model m context_tokens -3", 28, "below 0"},
		{"set weights expect version 3", 29, "changes nothing"},
		{"set limits default_deadline 30 expect version 3", 29, "duration"},
		{"stop program p1 expect version 3", 32, "no version"},
		{"stop program p1 because x", 17, "allowed: reason"},
		{strings.Repeat("x", 20_000), 1, "allowed: 16384"},
	}
	interpreter := newInterpreter(newBackend())
	for _, c := range cases {
		_, err := run(interpreter, c.text)
		var fault *operator.SyntaxError
		assert.Assert(t, errors.As(err, &fault), "%s: %v", c.text, err)
		assert.Equal(t, fault.Column, c.column, "%s: %s", c.text, fault.Problem)
		assert.Assert(t, cmp.Contains(fault.Problem, c.problem), c.text)
		assert.Equal(t, codeOf(err), result.SyntaxError)
		lines := strings.Split(fault.Caret(), "\n")
		assert.Equal(t, lines[1], strings.Repeat(" ", c.column-1)+"^")
	}
}

func TestCommandsChangeBodies(t *testing.T) {
	cases := []struct {
		text string
		kind string
		name string
		want []string
	}{
		{"add model big context_tokens 1_000 default_max_tokens 5", "model", "big", []string{`"context_tokens":1000`}},
		{"add engine e9 address http://127.0.0.1:9 zone hall-a generation g1 pool old models small, big adapters none role prefill",
			"engine", "e9", []string{`"models":["small","big"]`, `"adapters":[]`, `"role":"prefill"`}},
		{"add tenant t9 weight 1.5 tokens_per_minute 100", "tenant", "t9", []string{`"weight":1.5`, `"limits":{"tokens_per_minute":100}`}},
		{"drain engine e1 expect version 13", "engine", "e1", []string{`"draining":true`, `"models":["small"]`}},
		{"undrain engine e1 expect version 13", "engine", "e1", []string{`"draining":false`}},
		{"drain node n1 expect version 0", "node", "n1", []string{`"draining":true`}},
		{"stop engine e1 expect version 13", "engine", "e1", []string{`"stopped":true`}},
		{"start engine e1 expect version 13", "engine", "e1", []string{`"stopped":false`}},
		{"reshape engine e2 role mixed models small expect version 14", "engine", "e2", []string{`"role":"mixed"`, `"models":["small"]`, `"zone":"hall-b"`}},
		{"reshape pool old roles prefill, decode minimum_engines 2 expect version 11", "pool", "old", []string{`"roles":["prefill","decode"]`, `"minimum_engines":2`}},
		{"set tenant t1 max_concurrent_calls 9 expect version 15", "tenant", "t1", []string{`"max_concurrent_calls":9`, `"tokens_per_minute":7`}},
		{"set weights latency 1 wasted_cache 0.25 expect version 0", "weights", "default", []string{`"wasted_cache":0.25`}},
		{"set limits default_deadline 30s expect version 0", "limits", "default", []string{`"default_deadline":"30s"`}},
	}
	for _, c := range cases {
		b := newBackend()
		answer, err := run(newInterpreter(b), c.text)
		assert.NilError(t, err, c.text)
		assert.Equal(t, answer.Command.Subject, c.kind+"/"+c.name)
		assert.Equal(t, answer.Command.CommandID, "made-1")
		body := b.body(configuration.Kind(c.kind), c.name)
		for _, want := range append(c.want, `"operator":"ada"`, `"command_id":"made-1"`) {
			assert.Assert(t, cmp.Contains(body, want), c.text)
		}
	}
}

func TestRemove(t *testing.T) {
	b := newBackend()
	_, err := run(newInterpreter(b), "remove engine e1 expect version 13")
	assert.NilError(t, err)
	assert.Equal(t, b.body("engine", "e1"), "")
}

func TestRefusals(t *testing.T) {
	cases := []struct {
		text string
		code result.Code
		want string
	}{
		{"drain engine e1 expect version 12", result.VersionConflict, "at version 13, not 12"},
		{"drain engine e7 expect version 12", result.UnknownObject, "engine/e7"},
		{"drain node n7 expect version 0", result.UnknownObject, "node/n7"},
		{"add engine e1 zone x", result.VersionConflict, "at version 13, not 0"},
		{"add model m9 context_tokens 5", result.InvalidConfiguration, "default_max_tokens"},
		{"explain program p9", result.UnknownObject, "p9"},
		{"explain call p1/9", result.UnknownObject, "p1/9"},
	}
	for _, c := range cases {
		b := newBackend()
		_, err := run(newInterpreter(b), c.text)
		assert.Equal(t, codeOf(err), c.code, "%s: %v", c.text, err)
		assert.ErrorContains(t, err, c.want)
		assert.Equal(t, b.version, uint64(15), "nothing was written")
	}
	_, err := newInterpreter(newBackend()).Run(context.Background(), operator.Request{Text: "drain engine e1 expect version 13"})
	assert.Equal(t, codeOf(err), result.BadRequest)
	assert.ErrorContains(t, err, "operator")
}

func TestRepeatIsHarmless(t *testing.T) {
	b := newBackend()
	interpreter := newInterpreter(b)
	const text = `drain engine e1 expect version 13 command id "c-1"`
	first, err := run(interpreter, text)
	assert.NilError(t, err)
	assert.Assert(t, !first.Command.Repeated)
	_, err = run(interpreter, "set engine e1 generation g9 expect version 16")
	assert.NilError(t, err)
	again, err := run(interpreter, text)
	assert.NilError(t, err)
	assert.Assert(t, again.Command.Repeated)
	assert.Assert(t, cmp.Contains(b.body("engine", "e1"), `"generation":"g9"`))
}

func TestOfTwoRacingCommandsOneWins(t *testing.T) {
	b := newBackend()
	interpreter := newInterpreter(b)
	const racers = 8
	var failures [racers]error
	var group sync.WaitGroup
	for racer := range racers {
		group.Go(func() {
			text := fmt.Sprintf(`set engine e1 generation g%d expect version 13 command id "c-%d"`, racer, racer)
			_, failures[racer] = run(interpreter, text)
		})
	}
	group.Wait()
	won := 0
	for _, err := range failures {
		if err == nil {
			won++
			continue
		}
		assert.Equal(t, codeOf(err), result.VersionConflict)
		assert.ErrorContains(t, err, "written by command")
	}
	assert.Equal(t, won, 1)
}

func TestOutage(t *testing.T) {
	b := newBackend()
	b.down = true
	interpreter := newInterpreter(b)
	_, err := run(interpreter, "drain engine e1 expect version 13")
	assert.Equal(t, codeOf(err), result.PlatformUnavailable)
	_, err = run(interpreter, `drain engine e1 expect version 13 command id "c-1"`)
	assert.Equal(t, codeOf(err), result.CommandUnresolved, "an earlier try may have been done")
	first := false
	_, err = interpreter.Run(context.Background(), operator.Request{
		Text: `drain engine e1 expect version 13 command id "c-1"`, Operator: "ada", Again: &first,
	})
	assert.Equal(t, codeOf(err), result.PlatformUnavailable)
	_, err = run(interpreter, "engines")
	assert.NilError(t, err, "queries go on")
}

func TestStopProgram(t *testing.T) {
	b := newBackend()
	answer, err := run(newInterpreter(b), `stop program p1 reason "loops without end" command id c-1`)
	assert.NilError(t, err)
	assert.Equal(t, answer.Command.Subject, "program/p1")
	assert.DeepEqual(t, b.ended, []string{"p1: stopped by operator ada, command c-1: loops without end"})
}

func TestExplain(t *testing.T) {
	b := newBackend()
	interpreter := newInterpreter(b)
	answer, err := run(interpreter, "explain program p1")
	assert.NilError(t, err)
	assert.Equal(t, len(answer.Explanation.Program.Rows), 1)
	assert.Equal(t, len(answer.Explanation.Calls.Rows), 2)
	assert.Equal(t, len(answer.Explanation.Decisions), 3)
	answer, err = run(interpreter, "explain call p1/2")
	assert.NilError(t, err)
	assert.Equal(t, len(answer.Explanation.Decisions), 1)
	var text strings.Builder
	assert.NilError(t, operator.Render(&text, answer, operator.OutputTable))
	for _, want := range []string{"shorter queue", "1.500", "leaving"} {
		assert.Assert(t, cmp.Contains(text.String(), want))
	}
	assert.Assert(t, cmp.Contains(answer.Explanation.Incomplete, "1 choices"))
	b.incomplete = "shard 3: no quorum"
	_, err = run(interpreter, "explain program p9")
	assert.Equal(t, codeOf(err), result.NoQuorum, "it may exist where nobody could look")
}

func TestCommandsAreLogged(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	interpreter := operator.NewInterpreter(operator.Options{
		Backend: newBackend(), Logger: zap.New(core), NewCommandID: func() string { return "made" }, Now: fixedTime,
	})
	_, err := run(interpreter, "drain engine e1 expect version 1")
	assert.Equal(t, codeOf(err), result.VersionConflict)
	assert.Equal(t, logs.Len(), 1)
	fields := logs.All()[0].ContextMap()
	assert.Equal(t, fields["operator"], "ada")
	assert.Equal(t, fields["command_id"], "made")
	assert.Equal(t, fields["result_name"], "version_conflict")
	assert.Equal(t, fields["text"], "drain engine e1 expect version 1")
}
