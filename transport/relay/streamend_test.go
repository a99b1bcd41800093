package relay

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/transport/upstream"
)

// TestEndOfConnectionIsNotTakenForTheEndOfAStream guards against a stream that is passed on as whole
// although another instance could tell what follows.
func TestEndOfConnectionIsNotTakenForTheEndOfAStream(t *testing.T) {
	for _, c := range []struct {
		name  string
		end   streamEnd
		ended outcome
	}{
		{"length", streamEnd{framing: upstream.FramingLength, resumable: true, events: 4, hasReceived: true}, delivered},
		{"chunked", streamEnd{framing: upstream.FramingChunked, resumable: true, events: 4, hasReceived: true}, delivered},
		{"chunked without events", streamEnd{framing: upstream.FramingChunked}, delivered},
		{"resumable", streamEnd{framing: upstream.FramingConnection, resumable: true, events: 4, hasReceived: true}, unconfirmed},
		{"resumable, continued", streamEnd{framing: upstream.FramingConnection, resumable: true, isContinuation: true, events: 4, hasReceived: true}, unconfirmed},
		{"nothing to add", streamEnd{framing: upstream.FramingConnection, resumable: true, isContinuation: true}, delivered},
		{"resumed by the client, nothing to add", streamEnd{framing: upstream.FramingConnection, isContinuation: true}, delivered},
		{"not resumable", streamEnd{framing: upstream.FramingConnection, events: 4, hasReceived: true}, delivered},
		{"without events", streamEnd{framing: upstream.FramingConnection}, incomplete},
		{"nothing but comments", streamEnd{framing: upstream.FramingConnection, hasReceived: true}, incomplete},
		{"continued with comments alone", streamEnd{framing: upstream.FramingConnection, resumable: true, isContinuation: true, hasReceived: true}, unconfirmed},
	} {
		t.Run(c.name, func(t *testing.T) {
			ended, err := c.end.verify()
			assert.Equal(t, ended, c.ended)
			assert.Equal(t, err == nil, c.ended == delivered)
		})
	}
}
