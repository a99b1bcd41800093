package client_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/marblering/marblering/protocol/callerapi"
	"github.com/marblering/marblering/protocol/callerapi/client"
)

// TestRequestsStayAsTheyAre holds what the client sends to
// testdata/requests.golden; go test ./protocol/callerapi/client -update writes
// it.
func TestRequestsStayAsTheyAre(t *testing.T) {
	var page strings.Builder
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		page.WriteString(request.Method + " " + request.RequestURI + "\n")
		request.Header.Del("User-Agent") // the Go release's
		assert.Check(t, request.Header.Write(&page))
		body, err := io.ReadAll(request.Body)
		assert.Check(t, err)
		fmt.Fprintf(&page, "\n%s\n\n", body)
		http.Error(writer, "no node", http.StatusTeapot)
	}))
	t.Cleanup(server.Close)
	asked := client.New(server.URL, "key-1", server.Client())

	spec := client.ProgramSpec{Model: "m", Adapter: "a", BudgetTokens: 9, Priority: 2, IdleLimit: 1500 * time.Millisecond, TurnLimit: 4}
	call := client.Call{
		Program: "program/1", Key: "k", Sequence: 3, NotRepeatable: true, Deadline: 2500 * time.Microsecond,
		Messages: []callerapi.Message{{Role: "user", Content: "<Which> grind?"}}, MaxTokens: 20,
	}
	var errs []error
	note := func(err error) { errs = append(errs, err) }
	_, err := asked.CreateProgram(t.Context(), spec, "k")
	note(err)
	_, err = asked.CreateProgram(t.Context(), client.ProgramSpec{Model: "m", BudgetTokens: 9}, "")
	note(err)
	_, err = asked.CreateChild(t.Context(), "program/1", "k")
	note(err)
	_, err = asked.ReadProgram(t.Context(), "program/1")
	note(err)
	_, err = asked.EndProgram(t.Context(), "program/1", "all done")
	note(err)
	_, err = asked.Call(t.Context(), call)
	note(err)
	_, err = asked.Stream(t.Context(), client.Call{Program: "p", Messages: call.Messages}, nil)
	note(err)
	for _, err := range errs {
		assert.ErrorIs(t, err, client.ErrInterrupted)
	}
	golden.Assert(t, strings.ReplaceAll(page.String(), "\r\n", "\n"), "requests.golden")
}
