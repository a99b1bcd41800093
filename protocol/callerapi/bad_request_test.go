package callerapi_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/marblering/marblering/protocol/callerapi"
	"github.com/marblering/marblering/state/result"
)

const (
	programsPath = "/v1/programs"
	callPath     = programsPath + "/" + testProgram + "/chat/completions"
	goodBody     = `{"messages":[{"role":"user","content":"Which grind?"}]}`
	testLimit    = 2000
)

// send makes a request with the test's key. Headers are given as "Name: value".
func send(t *testing.T, method, url, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+testKey)
	for _, header := range headers {
		name, value, _ := strings.Cut(header, ": ")
		if name == "Authorization" {
			request.Header.Del(name)
		}
		request.Header.Add(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response, string(content)
}

// checkError checks the whole form of an error against the table of codes.
func checkError(t *testing.T, response *http.Response, content string, code result.Code, message string) {
	t.Helper()
	var body callerapi.ErrorBody
	assert.NilError(t, json.Unmarshal([]byte(content), &body), content)
	assert.Equal(t, body.Error.Code, code, content)
	assert.Equal(t, body.Error.Type, code.Info().Name)
	assert.Equal(t, body.Error.Execution, code.Info().Execution)
	assert.Equal(t, body.Error.Repeat, code.Info().Repeat)
	assert.Check(t, cmp.Contains(body.Error.Message, message))
	assert.Equal(t, response.StatusCode, code.Info().HTTP)
	assert.Equal(t, response.Header.Get("Retry-After") != "", code.Info().Repeat != result.RepeatNever)
}

func TestBadRequestsNeverReachTheService(t *testing.T) {
	service := &fakeService{}
	_, server := startServer(t, service, func(options *callerapi.Options) { options.BodyLimit = testLimit })
	for _, test := range []struct {
		name    string
		request string // method and path; a call by default
		body    string // goodBody by default
		headers []string
		code    result.Code
		message string
	}{
		{name: "no key", headers: []string{"Authorization: "}, code: result.Unauthenticated, message: "Bearer"},
		{name: "other scheme", headers: []string{"Authorization: Basic abc"}, code: result.Unauthenticated},
		{name: "wrong key", headers: []string{"Authorization: Bearer other"}, code: result.Unauthenticated, message: "no tenant"},
		{name: "unknown path", request: "POST /v1/chat/completions", code: result.UnknownPath},
		{name: "unknown method", request: "PATCH /v1/programs", code: result.UnknownPath, message: "PATCH"},
		{name: "oversize", body: strings.Repeat(" ", testLimit) + goodBody, code: result.TooLarge, message: "2000"},
		{name: "blank body", body: " ", code: result.BadRequest, message: "empty"},
		{name: "broken JSON", body: `{"messages":[}`, code: result.BadRequest, message: "byte 14: invalid character"},
		{name: "cut JSON", body: `{"messages":[{"role":"user"`, code: result.BadRequest, message: "unexpected end of JSON"},
		{name: "not an object", body: `[]`, code: result.BadRequest, message: "body: an object is wanted, found an array"},
		{name: "trailing data", body: goodBody + `{}`, code: result.BadRequest, message: "byte 56: invalid character '{' after top-level value"},
		{name: "not UTF-8", body: "{\"messages\":\"\xff\"}", code: result.BadRequest, message: "UTF-8"},
		{name: "field twice", body: `{"stream":true,"stream":false}`, code: result.BadRequest, message: "stream: given twice"},
		{name: "no messages", body: `{}`, code: result.BadRequest, message: "messages"},
		{name: "empty messages", body: `{"messages":[]}`, code: result.BadRequest, message: "messages: at least one"},
		{name: "other case", body: `{"Messages":[{"role":"user","content":"a"}]}`, code: result.BadRequest, message: "messages"},
		{name: "messages of wrong type", body: `{"messages":"hello"}`, code: result.BadRequest, message: "messages: an array is wanted, found a string"},
		{name: "message of wrong type", body: `{"messages":["hello"]}`, code: result.BadRequest, message: "messages[0]: an object"},
		{name: "no role", body: `{"messages":[{"content":"a"}]}`, code: result.BadRequest, message: "messages[0].role: is missing"},
		{name: "unknown role", body: `{"messages":[{"role":"owner","content":"a"}]}`, code: result.BadRequest, message: "messages[0].role"},
		{name: "no content", body: `{"messages":[{"role":"user","content":null}]}`, code: result.BadRequest, message: "messages[0].content: is missing"},
		{name: "content of wrong type", body: `{"messages":[{"role":"user","content":7}]}`, code: result.BadRequest, message: "messages[0].content: a string or an array"},
		{name: "part without type", body: `{"messages":[{"role":"user","content":[{"text":"a"}]}]}`, code: result.BadRequest, message: "messages[0].content[0].type"},
		{name: "tool answer without call", body: `{"messages":[{"role":"tool","content":"a"}]}`, code: result.BadRequest, message: "tool_call_id"},
		{name: "several answers", body: `{"n":2,` + goodBody[1:], code: result.BadRequest, message: "n: a whole number from 1 to 1"},
		{name: "stream of wrong type", body: `{"stream":"yes",` + goodBody[1:], code: result.BadRequest, message: "stream: a boolean"},
		{name: "stream options of wrong type", body: `{"stream_options":{"include_usage":1},` + goodBody[1:], code: result.BadRequest, message: "stream_options.include_usage"},
		{name: "no output", body: `{"max_tokens":0,` + goodBody[1:], code: result.BadRequest, message: "max_tokens"},
		{name: "fraction of a token", body: `{"max_completion_tokens":1.5,` + goodBody[1:], code: result.BadRequest, message: "max_completion_tokens"},
		{name: "contradictory limits", body: `{"max_tokens":1,"max_completion_tokens":2,` + goodBody[1:], code: result.BadRequest, message: "contradicts"},
		{name: "ignored field of wrong type", body: `{"temperature":"hot",` + goodBody[1:], code: result.BadRequest, message: "temperature: a number"},
		{name: "blank key", headers: []string{"Idempotency-Key: "}, code: result.BadRequest, message: "Idempotency-Key"},
		{name: "long key", headers: []string{"Idempotency-Key: " + strings.Repeat("k", 256)}, code: result.BadRequest, message: "255"},
		{name: "two keys", headers: []string{"Idempotency-Key: a", "Idempotency-Key: b"}, code: result.BadRequest, message: "2 times"},
		{name: "sequence zero", headers: []string{"Marblering-Sequence: 0"}, code: result.BadRequest, message: "Marblering-Sequence"},
		{name: "deadline with unit", headers: []string{"Marblering-Deadline-Ms: 5s"}, code: result.BadRequest, message: "Marblering-Deadline-Ms"},
		{name: "unclear repeatable", headers: []string{"Marblering-Repeatable: no"}, code: result.BadRequest, message: "Marblering-Repeatable"},
		{name: "not repeatable without key", headers: []string{"Marblering-Repeatable: false"}, code: result.BadRequest, message: "Idempotency-Key"},
		{name: "program without budget", request: "POST /v1/programs", body: `{"model":"m"}`, code: result.BadRequest, message: "budget_tokens: is missing"},
		{name: "program with empty model", request: "POST /v1/programs", body: `{"model":"","budget_tokens":1}`, code: result.BadRequest, message: "model"},
		{name: "negative budget", request: "POST /v1/programs", body: `{"model":"m","budget_tokens":-1}`, code: result.BadRequest, message: "budget_tokens"},
		{name: "unknown program field", request: "POST /v1/programs", body: `{"model":"m","budget_tokens":1,"budget":1}`, code: result.BadRequest, message: "budget: no such field"},
		{name: "child with fields", request: "POST /v1/programs/program-1/children", body: `{"budget_tokens":1}`, code: result.BadRequest, message: "budget_tokens"},
		{name: "long reason", request: "DELETE /v1/programs/program-1?reason=" + strings.Repeat("r", 257), code: result.BadRequest, message: "reason"},
	} {
		t.Run(test.name, func(t *testing.T) {
			method, path := http.MethodPost, callPath
			if test.request != "" {
				method, path, _ = strings.Cut(test.request, " ")
			}
			body := test.body
			if body == "" {
				body = goodBody
			}
			response, content := send(t, method, server.URL+path, body, test.headers...)
			checkError(t, response, content, test.code, test.message)
		})
	}
	assert.Equal(t, len(service.recordedCalls()), 0)
	assert.Equal(t, len(service.programs)+len(service.children)+len(service.ended), 0)
}

func TestToleratedRequestsReachTheService(t *testing.T) {
	for _, test := range []struct{ body, first string }{
		{`{"messages":[{"role":"user","content":[{"type":"text","text":"a"}]}],"model":null,"n":1}`, `{"role":"user","content":[{"type":"text","text":"a"}]}`},
		{`{"messages":[{"role":"assistant","tool_calls":[{}]},{"role":"tool","tool_call_id":"c","content":"a"}]}`, `{"role":"assistant","tool_calls":[{}]}`},
		{`{"brew_strength":{"unknown":true},"max_tokens":3,"max_completion_tokens":3,` + goodBody[1:], `{"role":"user","content":"Which grind?"}`},
		{`{ "messages" : [ {"role":"user", "content":"\\\" ]}", "x":[{},"\\",[ ]]} ] , "\u006e":1}`, `{"role":"user","content":"\\\" ]}","x":[{},"\\",[]]}`},
	} {
		service := &fakeService{answer: answerPieces("ok")}
		_, server := startServer(t, service, nil)
		response, content := send(t, http.MethodPost, server.URL+callPath, test.body)
		assert.Equal(t, response.StatusCode, http.StatusOK, content)
		assert.Equal(t, string(service.recordedCalls()[0].Messages[0]), test.first)
	}
}
