package harness_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marblering/marblering/test/harness"
	"gotest.tools/v3/assert"
)

const answerText = "whole answer"

// answerHeader is the length of what stands before the answer's text.
const answerHeader = len("HTTP/1.1 200 OK\r\nDate: Mon, 02 Jan 2006 15:04:05 GMT\r\n" +
	"Content-Length: 13\r\nContent-Type: text/plain; charset=utf-8\r\n\r\n")

// setup starts a server that counts its requests, and a proxy before it.
func setup(t *testing.T) (*harness.Proxy, *http.Client, *atomic.Int32) {
	served := new(atomic.Int32)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		served.Add(1)
		if request.URL.Path == "/endless" {
			<-request.Context().Done()
		}
		_, _ = io.WriteString(writer, answerText+string(body))
	}))
	proxy := harness.StartProxy(t)
	proxy.SetTarget(server.Listener.Addr().String())
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(func() {
		client.CloseIdleConnections()
		proxy.Heal()
		server.CloseClientConnections()
		server.Close()
	})
	return proxy, client, served
}

// post sends a request whose method no client repeats by itself.
func post(ctx context.Context, client *http.Client, proxy *harness.Proxy, path string) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+proxy.Address()+path, strings.NewReader("."))
	if err != nil {
		return "", err
	}
	response, err := client.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func TestFaultsOfOneRequest(t *testing.T) {
	for _, test := range []struct {
		name   string
		fault  harness.Fault
		answer string
		fails  bool
		served int32
	}{
		{name: "pass", answer: answerText + ".", served: 1},
		{name: "cut", fault: harness.Fault{Mode: harness.Cut}, fails: true},
		{name: "cut of the path", fault: harness.Fault{Mode: harness.Cut, Match: harness.PathContains("hit")}, fails: true},
		{name: "other path", fault: harness.Fault{Mode: harness.Cut, Match: harness.PathContains("other")}, answer: answerText + ".", served: 1},
		{name: "dropped answer", fault: harness.Fault{Mode: harness.DropAnswer}, fails: true, served: 1},
		{name: "duplicate", fault: harness.Fault{Mode: harness.Duplicate}, answer: answerText + ".", served: 2},
		{name: "delay", fault: harness.Fault{Mode: harness.Delay, Delay: time.Millisecond}, answer: answerText + ".", served: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			proxy, client, served := setup(t)
			proxy.SetFault(test.fault)
			answer, err := post(t.Context(), client, proxy, "/hit")
			if test.fails {
				assert.Assert(t, err != nil)
			} else {
				assert.NilError(t, err)
			}
			assert.Equal(t, answer, test.answer)
			harness.Eventually(t, func() (bool, string) { return served.Load() >= test.served, "too few requests came" })
			proxy.Heal()
			answer, err = post(t.Context(), client, proxy, "/hit")
			assert.NilError(t, err)
			assert.Equal(t, answer, answerText+".")
			assert.Equal(t, served.Load(), test.served+1)
		})
	}
}

func TestCutResetsConnectionsAtHand(t *testing.T) {
	proxy, client, served := setup(t)
	result := make(chan error, 1)
	go func() {
		_, err := post(t.Context(), client, proxy, "/endless")
		result <- err
	}()
	harness.Eventually(t, func() (bool, string) { return served.Load() == 1, "the request didn't come" })
	proxy.SetFault(harness.Fault{Mode: harness.Cut})
	assert.Assert(t, <-result != nil)
}

func TestHalfOpen(t *testing.T) {
	for _, test := range []struct {
		name      string
		direction harness.Direction
		served    int32
	}{
		{name: "both", direction: harness.Both},
		{name: "to the server", direction: harness.ToServer},
		{name: "to the client", direction: harness.ToClient, served: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			proxy, client, served := setup(t)
			proxy.SetFault(harness.Fault{Mode: harness.HalfOpen, Direction: test.direction, Times: 1})
			ctx, cancel := context.WithCancel(t.Context())
			result := make(chan error, 1)
			go func() {
				_, err := post(ctx, client, proxy, "/")
				result <- err
			}()
			harness.Eventually(t, func() (bool, string) {
				return proxy.Hits() == 1 && served.Load() == test.served, "the request was not swallowed"
			})
			// Another connection works, and the swallowed request stays unanswered.
			_, err := post(t.Context(), client, proxy, "/")
			assert.NilError(t, err)
			cancel()
			assert.ErrorIs(t, <-result, context.Canceled)
			assert.Equal(t, served.Load(), test.served+1)
		})
	}
}

func TestAnswerIsCutHalfWay(t *testing.T) {
	proxy, client, _ := setup(t)
	proxy.SetFault(harness.Fault{Mode: harness.DropAnswer, AnswerBytes: answerHeader + 5, Times: 1})
	answer, err := post(t.Context(), client, proxy, "/")
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Equal(t, answer, answerText[:5])
	assert.Equal(t, proxy.Hits(), 1)
	_, err = post(t.Context(), client, proxy, "/")
	assert.NilError(t, err)
}
