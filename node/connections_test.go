package node

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/transport/listener"
)

// TestAbortedResponseOnCountedConnectionIsReset guards against a cut response to HTTP/1.0 that looks
// whole, since the connection is wrapped and can't be told to reset.
func TestAbortedResponseOnCountedConnectionIsReset(t *testing.T) {
	t.Parallel()
	const part = "part"
	opened, err := listener.Open("callers", "127.0.0.1:0", &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(writer, part)
		assert.Check(t, http.NewResponseController(writer).Flush())
		panic(http.ErrAbortHandler)
	})})
	assert.NilError(t, err)
	opened.Socket = &countedListener{Listener: opened.Socket, connections: newConnections(prometheus.NewRegistry()), end: endCaller}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- opened.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	connection, err := net.Dial("tcp", opened.Address())
	assert.NilError(t, err)
	defer connection.Close()
	_, err = fmt.Fprint(connection, "GET / HTTP/1.0\r\n\r\n")
	assert.NilError(t, err)
	got, err := io.ReadAll(bufio.NewReader(connection))
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "the response ended with %q, error %v", got, err)
}
