package result_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/state/result"
)

func TestAnswerRetryAfter(t *testing.T) {
	later := result.Errorf(result.Overloaded, "full")
	never := result.Errorf(result.BadRequest, "no model")
	for _, test := range []struct {
		name  string
		err   *result.Error
		usual time.Duration
		want  int64
	}{
		{"delay of the error", later.WithRetryAfter(3 * time.Second), time.Second, 3},
		{"rounded up", later.WithRetryAfter(time.Nanosecond), time.Second, 1},
		{"whole second is kept", later.WithRetryAfter(time.Second), 0, 1},
		{"default delay", later, 1200 * time.Millisecond, 2},
		{"no default delay", later, 0, 0},
		{"code allows no retry", never, time.Second, 0},
		{"delay of the error, code allows no retry", never.WithRetryAfter(time.Second), 0, 1},
		{"negative delay", later.WithRetryAfter(-time.Hour), time.Second, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			answer := test.err.Response(test.usual)
			assert.Equal(t, answer.Body.Error.RetryAfterSeconds, test.want)
			assert.Equal(t, answer.Status, test.err.Code.Info().HTTP)
			header := make(http.Header)
			answer.SetRetryAfter(header)
			want := ""
			if test.want > 0 {
				want = fmt.Sprint(test.want)
			}
			assert.Equal(t, header.Get("Retry-After"), want)
		})
	}
}

// TestErrorSurvivesRoundTrip encodes an error as JSON and decodes it as a client does.
func TestErrorSurvivesRoundTrip(t *testing.T) {
	sent := result.Errorf(result.TenantLimit, "100%% of 40 calls").WithRetryAfter(2 * time.Second)
	encoded, err := json.Marshal(sent.Response(time.Second).Body)
	assert.NilError(t, err)
	var body result.Body
	assert.NilError(t, json.Unmarshal(encoded, &body))
	assert.DeepEqual(t, body.Error.Err(), sent)
}

func ExampleError_Response() {
	answer := result.Errorf(result.Draining, "this node is stopping").Response(time.Second)
	body, _ := json.Marshal(answer.Body.Error)
	fmt.Println(answer.Status)
	fmt.Println(string(body))
	// Output:
	// 503
	// {"code":2005,"type":"draining","message":"this node is stopping","execution":"not run","repeat":"new key, after Retry-After","retry_after_seconds":1}
}
