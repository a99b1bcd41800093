package listener_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/transport/listener"
)

// delayingListener delays the writes of its connections until the listener is closed.
type delayingListener struct {
	net.Listener
	written atomic.Bool
}

func (l *delayingListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	return &delayingConnection{connection, l}, err
}

type delayingConnection struct {
	net.Conn
	listener *delayingListener
}

func (c *delayingConnection) Write(data []byte) (int, error) {
	for {
		probe, err := net.Dial("tcp", c.listener.Addr().String())
		if err != nil {
			break
		}
		_ = probe.Close()
		time.Sleep(time.Millisecond)
	}
	count, err := c.Conn.Write(data)
	c.listener.written.Store(err == nil)
	return count, err
}

// TestFinishWaitsForAnswers guards against a shutdown that returns before a response
// whose handler has already returned is written.
func TestFinishWaitsForAnswers(t *testing.T) {
	returned := make(chan struct{})
	handler := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		defer close(returned)
		_, _ = writer.Write([]byte("whole"))
	})
	served := &http.Server{Handler: handler}
	server, err := listener.Open("callers", "127.0.0.1:0", served)
	assert.NilError(t, err)
	delaying := &delayingListener{Listener: server.Socket}
	server.Socket = delaying
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(t.Context()) }()
	answers := make(chan string, 1)
	go func() {
		response, err := http.Get("http://" + server.Address())
		if err != nil {
			answers <- err.Error()
			return
		}
		defer response.Body.Close()
		body, _ := io.ReadAll(response.Body)
		answers <- string(body)
	}()
	<-returned
	assert.NilError(t, server.Shutdown(t.Context()))
	assert.Assert(t, delaying.written.Load())
	assert.NilError(t, served.Close())
	assert.Equal(t, <-answers, "whole")
}
