package operator_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/marblering/marblering/protocol/operator"
	"github.com/marblering/marblering/state/result"
)

func fixedTime() time.Time { return time.Unix(0, 0) }

func serve(t *testing.T, b *backend) *httptest.Server {
	server := httptest.NewServer(operator.NewHandler(newInterpreter(b)))
	t.Cleanup(server.Close)
	return server
}

func newClient(server *httptest.Server) *operator.Client {
	return &operator.Client{
		Address:      server.URL,
		HTTP:         server.Client(),
		NewCommandID: func() string { return "client-1" },
		Attempts:     3,
		Sleep:        func(context.Context, time.Duration) error { return nil },
	}
}

func TestQueryOverHTTP(t *testing.T) {
	client := newClient(serve(t, newBackend()))
	answer, err := client.Run(context.Background(), operator.Request{Text: "programs where tenant = t1"})
	assert.NilError(t, err)
	assert.Equal(t, names(answer), "p1 p3")
	var table, json bytes.Buffer
	assert.NilError(t, operator.Render(&table, answer, operator.OutputTable))
	assert.Assert(t, cmp.Contains(table.String(), "2 rows"))
	assert.Assert(t, cmp.Contains(table.String(), "1m0s"))
	assert.NilError(t, operator.Render(&json, answer, operator.OutputJSON))
	assert.Assert(t, cmp.Contains(json.String(), `"1m0s",["e1"]`))
}

func TestSyntaxErrorOverHTTP(t *testing.T) {
	client := newClient(serve(t, newBackend()))
	_, err := client.Run(context.Background(), operator.Request{Text: "engines where zome = 1"})
	assert.Equal(t, codeOf(err), result.SyntaxError)
	assert.ErrorContains(t, err, "\nengines where zome = 1\n              ^")
}

func TestLostAnswerIsFoundOut(t *testing.T) {
	b := newBackend()
	b.loseAnswers = 1
	client := newClient(serve(t, b))
	answer, err := client.Run(context.Background(), operator.Request{Text: "drain engine e1 expect version 13", Operator: "ada"})
	assert.NilError(t, err)
	assert.Assert(t, answer.Command.Repeated)
	assert.Equal(t, answer.Command.CommandID, "client-1")
	assert.Equal(t, b.version, uint64(16), "one write")
}

// A node that dies with the answer on its way leaves the outcome open.
func TestBrokenConnectionNamesTheCommandID(t *testing.T) {
	var tries atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		tries.Add(1)
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(server.Close)
	_, err := newClient(server).Run(context.Background(), operator.Request{Text: "drain engine e1 expect version 13", Operator: "ada"})
	assert.ErrorContains(t, err, `the outcome of command "client-1" is unknown`)
	assert.Equal(t, tries.Load(), int32(3))
}

func TestNothingListens(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	_, err := newClient(server).Run(context.Background(), operator.Request{Text: "drain engine e1 expect version 13", Operator: "ada"})
	assert.Assert(t, err != nil)
	assert.Assert(t, !strings.Contains(err.Error(), "unknown"), "it wasn't sent: %v", err)
}

func TestBadRequests(t *testing.T) {
	server := serve(t, newBackend())
	cases := []struct {
		method string
		body   string
		status int
		want   string
	}{
		{http.MethodGet, "", http.StatusNotFound, "allowed: POST"},
		{http.MethodPost, "", http.StatusBadRequest, "isn't a statement"},
		{http.MethodPost, "{", http.StatusBadRequest, "isn't a statement"},
		{http.MethodPost, `{"text":3}`, http.StatusBadRequest, "text"},
		{http.MethodPost, `{"txt":"engines"}`, http.StatusBadRequest, "txt"},
		{http.MethodPost, `{"text":"engines"} x`, http.StatusBadRequest, "after the statement"},
		{http.MethodPost, `{"text":"` + strings.Repeat("x", 70_000) + `"}`, http.StatusRequestEntityTooLarge, "exceeds"},
		{http.MethodPost, `{"text":"engines"}`, http.StatusOK, `"e1"`},
		{http.MethodPost, `{"text":"drain engine e1 expect version 13 command id a","operator":"ada","command_id":"b"}`, http.StatusBadRequest, "command_id"},
	}
	for _, c := range cases {
		request, err := http.NewRequest(c.method, server.URL+operator.Path, strings.NewReader(c.body))
		assert.NilError(t, err)
		response, err := server.Client().Do(request)
		assert.NilError(t, err)
		var body bytes.Buffer
		_, err = body.ReadFrom(response.Body)
		assert.NilError(t, errors.Join(err, response.Body.Close()))
		assert.Equal(t, response.StatusCode, c.status, "%s: %s", c.body, body.String())
		assert.Assert(t, cmp.Contains(body.String(), c.want))
	}
}

func TestCommandLine(t *testing.T) {
	b := newBackend()
	server := serve(t, b)
	execute := func(input string, arguments ...string) (out, errors string, err error) {
		for _, command := range operator.Commands() {
			if command.Name() != arguments[0] {
				continue
			}
			var outBuffer, errorBuffer bytes.Buffer
			command.SetArgs(append(arguments[1:], "--address", server.URL, "--operator", "ada"))
			command.SetIn(strings.NewReader(input))
			command.SetOut(&outBuffer)
			command.SetErr(&errorBuffer)
			command.SilenceUsage = true
			err := command.ExecuteContext(context.Background())
			return outBuffer.String(), errorBuffer.String(), err
		}
		return "", "", errNoCommand
	}
	out, _, err := execute("", "query", "engines where state = drained")
	assert.NilError(t, err)
	assert.Assert(t, cmp.Contains(out, "e3"))
	out, _, err = execute("", "query", "pools", "--output", "json")
	assert.NilError(t, err)
	assert.Assert(t, cmp.Contains(out, `"old"`))
	_, _, err = execute("", "query", "pools", "--output", "xml")
	assert.ErrorContains(t, err, "allowed: table, json")
	_, _, err = execute("", "query", "enginez")
	assert.Equal(t, codeOf(err), result.SyntaxError)

	out, faults, err := execute("drain engine e1 expect version 13\n\nenginez\npools\nquit\nengines\n", "prompt")
	assert.NilError(t, err)
	assert.Assert(t, cmp.Contains(out, "drain engine/e1: done and in force; version 16"))
	assert.Assert(t, cmp.Contains(out, "command id \""))
	assert.Assert(t, cmp.Contains(out, "old"))
	assert.Assert(t, !strings.Contains(out, "drained"), "nothing runs after quit")
	assert.Assert(t, cmp.Contains(faults, "\nenginez\n^"))
}

var errNoCommand = errors.New("no such command")
