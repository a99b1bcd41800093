package callerapi_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/protocol/callerapi"
	"github.com/marblering/marblering/state/result"
)

func TestUnrecordedRefusalOfAKeyedRequestIsUnresolved(t *testing.T) {
	refusal := result.Errorf(result.NoQuorum, "no majority").WithRetryAfter(2 * time.Second)
	fresh := callerapi.Unrecorded(refusal, http.Header{})
	assert.Equal(t, fresh.Code, result.NoQuorum)
	keyed := callerapi.Unrecorded(refusal, http.Header{callerapi.HeaderKey: {"k"}})
	assert.Equal(t, keyed.Code, result.OutcomeUnresolved)
	assert.Equal(t, keyed.Code.Info().Repeat, result.RepeatSameKey)
	assert.Equal(t, keyed.RetryAfter, 2*time.Second)
	assert.ErrorContains(t, keyed, "no majority")
}
