package tool_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/marblering/marblering/lab/ledger"
	"github.com/marblering/marblering/lab/tool"
)

func start(t *testing.T) (*tool.Service, string) {
	t.Helper()
	service := tool.New()
	listener := httptest.NewServer(service)
	t.Cleanup(func() {
		service.Close()
		listener.Close()
	})
	return service, listener.URL
}

// invoke calls the tool "stock" and returns the status and the answer.
func invoke(t *testing.T, address, key, body string) (int, tool.Answer) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, address+"/v1/tools/stock/invoke", strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	var answer tool.Answer
	if response.StatusCode == http.StatusOK {
		assert.NilError(t, json.NewDecoder(response.Body).Decode(&answer))
	}
	return response.StatusCode, answer
}

func TestInvocationRunsOnceForEachKey(t *testing.T) {
	service, address := start(t)
	for _, test := range []struct {
		key, body string
		status    int
		effect    uint64
		outcome   ledger.Outcome
	}{
		{"k1", "one", http.StatusOK, 1, ledger.Done},
		{"k1", "one", http.StatusOK, 1, ledger.Repeated},
		{"k2", "one", http.StatusOK, 2, ledger.Done},
		{"k2", "two", http.StatusUnprocessableEntity, 0, ledger.Refused},
		{"", "one", http.StatusBadRequest, 0, ledger.Refused},
	} {
		status, answer := invoke(t, address, test.key, test.body)
		assert.Equal(t, status, test.status)
		assert.Equal(t, answer.Effect, test.effect)
		entries := service.Ledger().After(0)
		assert.Equal(t, entries[len(entries)-1].Outcome, test.outcome)
	}
}

func TestFailedInvocationRunsLater(t *testing.T) {
	service, address := start(t)
	service.SetFaults(tool.Faults{Fail: true})
	status, _ := invoke(t, address, "k1", "one")
	assert.Equal(t, status, http.StatusInternalServerError)
	service.SetFaults(tool.Faults{SlowMilliseconds: 1})
	status, answer := invoke(t, address, "k1", "one")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, answer.Effect, uint64(1))
}

// TestHangingInvocation checks that an invocation without an answer has run
// only where the fault says so.
func TestHangingInvocation(t *testing.T) {
	for _, test := range []struct {
		faults tool.Faults
		effect ledger.Outcome
	}{
		{tool.Faults{Hang: true}, ledger.Done},
		{tool.Faults{HangAfterEffect: true}, ledger.Repeated},
	} {
		service, address := start(t)
		service.SetFaults(test.faults)
		ctx, cancel := context.WithCancel(t.Context())
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, address+"/v1/tools/stock/invoke", strings.NewReader("one"))
		assert.NilError(t, err)
		request.Header.Set("Idempotency-Key", "k1")
		returned := make(chan error)
		go func() {
			_, err := http.DefaultClient.Do(request)
			returned <- err
		}()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			entries := service.Ledger().After(0)
			if len(entries) > 0 && (test.faults.Hang || entries[0].Outcome == ledger.Done) {
				return poll.Success()
			}
			return poll.Continue("the invocation hasn't arrived")
		}, poll.WithTimeout(time.Minute), poll.WithDelay(time.Millisecond))
		cancel()
		assert.ErrorIs(t, <-returned, context.Canceled)
		service.SetFaults(tool.Faults{})
		status, _ := invoke(t, address, "k1", "one")
		assert.Equal(t, status, http.StatusOK)
		entries := service.Ledger().After(0)
		assert.Equal(t, entries[len(entries)-1].Outcome, test.effect)
	}
}

func TestUnknownFaultIsRefused(t *testing.T) {
	_, address := start(t)
	response, err := http.Post(address+"/control/faults", "application/json", strings.NewReader(`{"hnag":true}`))
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusBadRequest)
}
