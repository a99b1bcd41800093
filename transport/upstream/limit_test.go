package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// respond reads one request on each connection and passes the connection to write.
func respond(t *testing.T, write func(opened net.Conn)) net.Listener {
	return listen(t, func(_ int, opened net.Conn) {
		go func() {
			if _, err := http.ReadRequest(bufio.NewReader(opened)); err == nil {
				write(opened)
			}
		}()
	})
}

// writeEndlessly writes the piece until the connection is closed.
func writeEndlessly(to io.Writer, piece string) {
	for {
		if _, err := io.WriteString(to, piece); err != nil {
			return
		}
	}
}

const okHead = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"

// TestHeadBeyondALimitEndsTheExchange guards against a backend that makes this process read or
// wait without end before a response begins.
func TestHeadBeyondALimitEndsTheExchange(t *testing.T) {
	for name, tried := range map[string]struct {
		limit Limit
		write func(opened net.Conn)
	}{
		"bytes":       {LimitHeadBytes, func(opened net.Conn) { writeEndlessly(opened, strings.Repeat("x", 4096)) }},
		"header line": {LimitHeadBytes, func(opened net.Conn) { _, _ = io.WriteString(opened, okHead+"X: "); writeEndlessly(opened, "x") }},
		"headers":     {LimitHeadBytes, func(opened net.Conn) { _, _ = io.WriteString(opened, okHead); writeEndlessly(opened, "X: y\r\n") }},
		"interim responses": {LimitInterimResponses, func(opened net.Conn) {
			writeEndlessly(opened, "HTTP/1.1 103 Early Hints\r\n\r\n")
		}},
		"long interim responses": {LimitHeadBytes, func(opened net.Conn) {
			writeEndlessly(opened, "HTTP/1.1 103 Early Hints\r\nX: "+strings.Repeat("x", 8<<10)+"\r\n\r\n")
		}},
		"half a head": {LimitHeadTime, func(opened net.Conn) { _, _ = io.WriteString(opened, okHead) }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			_, err := newEndClient().Do(ctx, requestTo(respond(t, tried.write)))
			var failure *Error
			assert.Assert(t, errors.As(err, &failure) && failure.Sent, "%v", err)
			var exceeded *LimitError
			assert.Assert(t, errors.As(err, &exceeded), "%v", err)
			assert.Equal(t, exceeded.Limit, tried.limit)
			assert.Assert(t, exceeded.Bytes <= maxHeadBytes, "%d bytes", exceeded.Bytes)
		})
	}
}

// TestHeadWithinTheLimitsIsRead guards against limits that end proper responses: a long head, one
// in two parts, and a body that comes later than a head may.
func TestHeadWithinTheLimitsIsRead(t *testing.T) {
	long := okHead + "X: " + strings.Repeat("x", maxHeadBytes-len(okHead)-readBufferBytes) + "\r\n\r\nok"
	for name, write := range map[string]func(opened net.Conn){
		"long head": func(opened net.Conn) { _, _ = io.WriteString(opened, long) },
		"two parts": func(opened net.Conn) {
			_, _ = io.WriteString(opened, okHead)
			time.Sleep(maxHeadTime / 10)
			_, _ = io.WriteString(opened, "\r\nok")
		},
		"some interim responses": func(opened net.Conn) {
			_, _ = io.WriteString(opened, strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", maxInterimResponses)+okHead+"\r\nok")
		},
		"late body": func(opened net.Conn) {
			_, _ = io.WriteString(opened, okHead)
			time.Sleep(maxHeadTime / 10)
			_, _ = io.WriteString(opened, "\r\no")
			time.Sleep(maxHeadTime + maxHeadTime/10)
			_, _ = io.WriteString(opened, "k")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, limit := range []time.Duration{0, time.Minute} {
				ctx, cancel := t.Context(), func() {}
				if limit > 0 {
					ctx, cancel = context.WithTimeout(ctx, limit)
				}
				answer, err := newEndClient().Do(ctx, requestTo(respond(t, write)))
				assert.NilError(t, err)
				body, err := io.ReadAll(answer)
				assert.NilError(t, err)
				assert.Equal(t, string(body), "ok")
				cancel()
			}
		})
	}
}

// TestLimitOfAHeadIsNotThatOfABody guards against a body that ends at the limit of a head, and a
// connection whose next head has less than the limit.
func TestLimitOfAHeadIsNotThatOfABody(t *testing.T) {
	body := strings.Repeat("x", 4*maxHeadBytes)
	listener := listen(t, func(_ int, opened net.Conn) {
		go func() {
			reader := bufio.NewReader(opened)
			for {
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				_, _ = io.WriteString(opened, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n40000\r\n"+body+"\r\n0\r\n\r\n")
			}
		}()
	})
	client := newEndClient()
	for range 3 {
		answer, err := client.Do(t.Context(), requestTo(listener))
		assert.NilError(t, err)
		read, err := io.ReadAll(answer)
		assert.NilError(t, err)
		assert.Equal(t, len(read), len(body))
	}
	assert.Equal(t, client.Dials(), uint64(1))
}

// BenchmarkExchange measures an ordinary exchange on a kept connection.
func BenchmarkExchange(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	defer listener.Close()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		for _, name := range []string{"X-Request-Id", "X-Response-Seal", "X-Instance-Id"} {
			w.Header().Set(name, "0123456789abcdef")
		}
		_, _ = io.WriteString(w, "ok")
	})}
	go func() { _ = server.Serve(listener) }()
	client := NewClient(DefaultSettings(), time.Now)
	ctx, cancel := context.WithTimeout(b.Context(), time.Hour)
	defer cancel()
	b.ReportAllocs()
	for b.Loop() {
		answer, err := client.Do(ctx, requestTo(listener))
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, answer); err != nil {
			b.Fatal(err)
		}
	}
}

// bodyLimitBytes is the MaxBodyBytes of the tests.
const bodyLimitBytes = 64 << 10

func newLimitedClient() *Client {
	settings := DefaultSettings()
	settings.MaxBodyBytes = bodyLimitBytes
	return NewClient(settings, time.Now)
}

// TestBodyBeyondTheLimitIsCut guards against a body without end that is passed on until the
// deadline, and against one whose cut part looks whole.
func TestBodyBeyondTheLimitIsCut(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for name, write := range map[string]func(opened net.Conn){
		"chunks": func(opened net.Conn) {
			_, _ = io.WriteString(opened, head+"Transfer-Encoding: chunked\r\n\r\n")
			writeEndlessly(opened, "5\r\nbytes\r\n")
		},
		"no length": func(opened net.Conn) { _, _ = io.WriteString(opened, head+"\r\n"); writeEndlessly(opened, "bytes") },
		"one byte too many": func(opened net.Conn) {
			_, _ = io.WriteString(opened, head+"\r\n"+strings.Repeat("x", bodyLimitBytes+1))
			_ = opened.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			answer, err := newLimitedClient().Do(ctx, requestTo(respond(t, write)))
			assert.NilError(t, err)
			defer answer.CloseBody()
			body, err := io.ReadAll(answer)
			var exceeded *LimitError
			assert.Assert(t, errors.As(err, &exceeded) && exceeded.Limit == LimitBodyBytes, "%v", err)
			assert.Equal(t, len(body), bodyLimitBytes)
		})
	}
}

// TestLengthBeyondTheLimitFailsTheExchange guards against a body that begins though its length says
// that it will be cut: until then another backend can be tried.
func TestLengthBeyondTheLimitFailsTheExchange(t *testing.T) {
	_, err := newLimitedClient().Do(t.Context(), requestTo(respond(t, func(opened net.Conn) {
		_, _ = fmt.Fprintf(opened, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", bodyLimitBytes+1)
	})))
	var exceeded *LimitError
	assert.Assert(t, errors.As(err, &exceeded) && exceeded.Limit == LimitBodyBytes, "%v", err)
}

// TestBodyOfTheLimitIsRead guards against a limit that ends proper responses.
func TestBodyOfTheLimitIsRead(t *testing.T) {
	whole := strings.Repeat("x", bodyLimitBytes)
	for name, text := range map[string]string{
		"length":    fmt.Sprintf("Content-Length: %d\r\n\r\n%s", bodyLimitBytes, whole),
		"chunks":    fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", bodyLimitBytes, whole),
		"no length": "\r\n" + whole,
	} {
		t.Run(name, func(t *testing.T) {
			answer, err := newLimitedClient().Do(t.Context(), requestTo(respond(t, func(opened net.Conn) {
				_, _ = io.WriteString(opened, "HTTP/1.1 200 OK\r\n"+text)
				_ = opened.Close()
			})))
			assert.NilError(t, err)
			defer answer.CloseBody()
			body, err := io.ReadAll(answer)
			assert.NilError(t, err)
			assert.Equal(t, string(body), whole)
		})
	}
}
