package listener_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/transport/listener"
)

const (
	// serverVariable is set in the environment of a process that serves until it is killed.
	serverVariable = "LISTENER_TEST_SERVER"
	addressPrefix  = "address "
	part, rest     = "part", "rest"
)

// flushPart sends the header and a part of the body. Nothing but the end of the connection ends
// the body of a response to HTTP/1.0.
func flushPart(t testing.TB, writer http.ResponseWriter) {
	_, err := io.WriteString(writer, part)
	assert.Check(t, err)
	assert.Check(t, http.NewResponseController(writer).Flush())
}

// oldClient reads the response to a request of HTTP/1.0.
type oldClient struct {
	t      *testing.T
	reader *bufio.Reader
}

func newOldClient(t *testing.T, address string, fields ...string) *oldClient {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	assert.NilError(t, connection.SetDeadline(time.Now().Add(time.Minute)))
	_, err = fmt.Fprintf(connection, "GET / HTTP/1.0\r\n%s\r\n", strings.Join(fields, ""))
	assert.NilError(t, err)
	return &oldClient{t: t, reader: bufio.NewReader(connection)}
}

func (c *oldClient) readPart() {
	c.t.Helper()
	for line := ""; line != "\r\n"; {
		var err error
		line, err = c.reader.ReadString('\n')
		assert.NilError(c.t, err)
	}
	body := make([]byte, len(part))
	_, err := io.ReadFull(c.reader, body)
	assert.NilError(c.t, err)
	assert.Equal(c.t, string(body), part)
}

// expectReset checks that the rest of the response can't be taken for whole.
func (c *oldClient) expectReset() {
	c.t.Helper()
	got, err := io.ReadAll(c.reader)
	assert.Assert(c.t, errors.Is(err, syscall.ECONNRESET), "the response ended with %q, error %v", got, err)
}

// TestMain serves in the process that TestKilledServerResetsOldClients starts.
func TestMain(m *testing.M) {
	if os.Getenv(serverVariable) == "" {
		os.Exit(m.Run())
	}
	opened, err := listener.Open("callers", "127.0.0.1:0", &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.WriteString(writer, part)
		_ = http.NewResponseController(writer).Flush()
		<-request.Context().Done()
	})})
	if err != nil {
		os.Exit(1)
	}
	fmt.Println(addressPrefix + opened.Address())
	_ = opened.Serve(context.Background())
}

// TestKilledServerResetsOldClients guards against a response to HTTP/1.0 that looks whole although
// the server was killed within it.
func TestKilledServerResetsOldClients(t *testing.T) {
	t.Parallel()
	const clients = 20
	server := exec.Command(os.Args[0])
	server.Env = append(os.Environ(), serverVariable+"=1")
	output, err := server.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, server.Start())
	lines := bufio.NewScanner(output)
	address := ""
	for address == "" && lines.Scan() {
		address, _ = strings.CutPrefix(lines.Text(), addressPrefix)
	}
	var opened []*oldClient
	for range clients {
		client := newOldClient(t, address)
		client.readPart()
		opened = append(opened, client)
	}
	assert.NilError(t, server.Process.Kill())
	_ = server.Wait()
	for _, client := range opened {
		client.expectReset()
	}
}

// TestClosedServerResetsOldClients guards against a response to HTTP/1.0 that looks whole although
// the listener ended within it.
func TestClosedServerResetsOldClients(t *testing.T) {
	t.Parallel()
	opened, err := listener.Open("callers", "127.0.0.1:0", &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		flushPart(t, writer)
		<-request.Context().Done()
	})})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- opened.Serve(ctx) }()
	client := newOldClient(t, opened.Address())
	client.readPart()
	cancel()
	client.expectReset()
	<-ended
}

// TestFailedLastWriteResetsOldClients guards against a response to HTTP/1.0 that looks whole
// although its last bytes weren't written.
func TestFailedLastWriteResetsOldClients(t *testing.T) {
	t.Parallel()
	opened := serve(t, &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		flushPart(t, writer)
		_, err := io.WriteString(writer, rest)
		assert.Check(t, err)
		assert.Check(t, http.NewResponseController(writer).SetWriteDeadline(time.Unix(1, 0)))
	})})
	client := newOldClient(t, opened.Address())
	client.readPart()
	client.expectReset()
}

// TestWholeResponseToOldClients guards against a reset that destroys a whole response, and against
// one that remains set for an idle connection.
func TestWholeResponseToOldClients(t *testing.T) {
	t.Parallel()
	body := strings.Repeat("x", 1<<20)
	opened := serve(t, &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		flushPart(t, writer)
		_, _ = io.WriteString(writer, body)
	})})
	for _, fields := range [][]string{nil, {"Connection: close\r\n"}, {"Content-Length: 4\r\n", "\r\nbody"}} {
		client := newOldClient(t, opened.Address(), fields...)
		client.readPart()
		got, err := io.ReadAll(client.reader)
		assert.NilError(t, err)
		assert.Equal(t, len(got), len(body))
	}
}

// TestKeptConnectionOfOldClientsEndsOrderly guards against a reset of an idle connection whose
// response was whole.
func TestKeptConnectionOfOldClientsEndsOrderly(t *testing.T) {
	t.Parallel()
	opened := serve(t, &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Length", fmt.Sprint(len(part)))
		flushPart(t, writer)
	})})
	client := newOldClient(t, opened.Address(), "Connection: keep-alive\r\n")
	client.readPart()
	opened.StopAccepting()
	got, err := io.ReadAll(client.reader)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "")
}
