package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLookAtAResetConnectionLeavesTheReset guards against an answer that was reset and looks whole,
// since a look at the connection for another request took the reset away.
func TestLookAtAResetConnectionLeavesTheReset(t *testing.T) {
	t.Parallel()
	listener := respond(t, func(opened net.Conn) {
		_, _ = io.WriteString(opened, "HTTP/1.0 200 OK\r\n\r\nhalf")
		time.Sleep(50 * time.Millisecond) // until the half was read
		_ = opened.(*net.TCPConn).SetLinger(0)
		_ = opened.Close()
	})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	client := NewClient(DefaultSettings(), time.Now)
	answer, err := client.Do(ctx, &Request{Address: listener.Addr().String(), Instance: "i", Method: http.MethodGet, Target: "/", Host: "h", ID: "r"})
	assert.NilError(t, err)
	half := make([]byte, len("half"))
	_, err = io.ReadFull(answer, half)
	assert.NilError(t, err)
	for answer.exchange.connection.isOpen() {
		time.Sleep(time.Millisecond)
	}
	rest, err := io.ReadAll(answer)
	assert.Assert(t, err != nil, "the answer looks whole, %q after %q", rest, half)
}
