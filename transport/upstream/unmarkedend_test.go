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

const unmarkedAnswer = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf"

// TestResetThatEndsTheRequestIsNotTheEndOfTheAnswer guards against an answer that looks whole since
// the writer of the request was told of the reset.
func TestResetThatEndsTheRequestIsNotTheEndOfTheAnswer(t *testing.T) {
	t.Parallel()
	listener := listen(t, func(_ int, opened net.Conn) {
		_, _ = io.WriteString(opened, unmarkedAnswer)
		time.Sleep(50 * time.Millisecond) // until the buffers are full and the answer was read
		_ = opened.(*net.TCPConn).SetLinger(0)
		_ = opened.Close()
	})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	request := requestTo(listener)
	request.Method, request.Body = http.MethodPost, make([]byte, 64<<20)
	answer, err := newEndClient().Do(ctx, request)
	assert.NilError(t, err)
	half := make([]byte, len("half"))
	_, err = io.ReadFull(answer, half)
	assert.NilError(t, err)
	<-answer.exchange.written
	_, err = io.ReadAll(answer)
	assert.Assert(t, err != nil, "the answer looks whole")
}
