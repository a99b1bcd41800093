package partition

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// childVariable makes the test binary a client of the address that it holds.
const childVariable = "PARTITION_CHILD"

func TestMain(m *testing.M) {
	if address := os.Getenv(childVariable); address != "" {
		child(address)
		return
	}
	os.Exit(m.Run())
}

const (
	answeredLine = "answered"
	failedLine   = "failed"
)

// child sends requests and prints how each went.
func child(address string) {
	for {
		response, err := http.Get("http://" + address)
		if err != nil {
			fmt.Println(failedLine)
		} else {
			_ = response.Body.Close()
			fmt.Println(answeredLine)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

type fixture struct {
	network  *Network
	proxy    *Proxy
	requests atomic.Int64
	client   *http.Client
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{network: new(Network), client: &http.Client{Transport: &http.Transport{}}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		f.requests.Add(1)
		_, _ = io.WriteString(w, "answer")
	}))
	t.Cleanup(server.Close)
	t.Cleanup(f.client.CloseIdleConnections)
	t.Cleanup(f.network.Close)
	var err error
	f.proxy, err = f.network.Proxy()
	assert.NilError(t, err)
	f.proxy.SetTarget(server.Listener.Addr().String())
	return f
}

// ask sends a request and reports what came back on the channel.
func (f *fixture) ask() <-chan error {
	outcome := make(chan error, 1)
	go func() {
		response, err := f.client.Post("http://"+f.proxy.Address(), "text/plain", strings.NewReader("request"))
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		outcome <- err
	}()
	return outcome
}

func TestFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault Fault
		// answered and reached are what a request under the fault comes to.
		answered bool
		reached  int64
	}{
		{"pass", Fault{Kind: Pass}, true, 1},
		{"slow", Fault{Kind: Slow, Delay: time.Millisecond}, true, 1},
		{"cut", Fault{Kind: Cut}, false, 0},
		{"answer dropped after the effect", Fault{Kind: DropAnswers}, false, 1},
		{"sent twice", Fault{Kind: Duplicate}, true, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			assert.NilError(t, f.proxy.Set(test.fault))
			assert.Equal(t, <-f.ask() == nil, test.answered)
			f.awaitRequests(t, test.reached)
			assert.NilError(t, f.proxy.Heal())
			f.client.CloseIdleConnections()
			assert.NilError(t, <-f.ask())
			f.awaitRequests(t, test.reached+1)
		})
	}
}

func (f *fixture) awaitRequests(t *testing.T, wanted int64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if found := f.requests.Load(); found != wanted {
			return poll.Continue("%d requests arrived, want %d", found, wanted)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute), poll.WithDelay(time.Millisecond))
}

func (f *fixture) awaitLoss(t *testing.T) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		f.proxy.mutex.Lock()
		defer f.proxy.mutex.Unlock()
		for open := range f.proxy.links {
			if open.isHoled() {
				return poll.Success()
			}
		}
		return poll.Continue("nothing is lost yet")
	}, poll.WithTimeout(time.Minute), poll.WithDelay(time.Millisecond))
}

func TestHeldBackUntilHealed(t *testing.T) {
	tests := []struct {
		name     string
		kind     Kind
		reached  int64
		answered bool
	}{
		{"stall", Stall, 0, true},
		{"hold answers", HoldAnswers, 1, true},
		{"half-open", HalfOpen, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			// An open connection is caught in the middle, not only a new one.
			assert.NilError(t, <-f.ask())
			assert.NilError(t, f.proxy.Set(Fault{Kind: test.kind}))
			outcome := f.ask()
			f.awaitRequests(t, 1+test.reached)
			if test.kind == HalfOpen {
				f.awaitLoss(t)
			}
			select {
			case err := <-outcome:
				t.Fatalf("came back during the fault: %v", err)
			case <-time.After(50 * time.Millisecond):
			}
			assert.NilError(t, f.proxy.Heal())
			assert.Equal(t, <-outcome == nil, test.answered)
		})
	}
}

// TestFaultOfOneSource cuts a child process off and not the test itself.
func TestFaultOfOneSource(t *testing.T) {
	f := newFixture(t)
	command := exec.Command(os.Args[0], nameArgument, "child")
	command.Env = append(os.Environ(), childVariable+"="+f.proxy.Address())
	output, err := command.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, command.Start())
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	lines := bufio.NewScanner(output)
	awaitLine(t, lines, answeredLine)
	assert.NilError(t, f.network.Isolate("child", Fault{Kind: Cut}))
	awaitLine(t, lines, failedLine)
	assert.NilError(t, <-f.ask())
	assert.NilError(t, f.network.Heal())
	awaitLine(t, lines, answeredLine)
}

func awaitLine(t *testing.T, lines *bufio.Scanner, wanted string) {
	t.Helper()
	for lines.Scan() {
		if lines.Text() == wanted {
			return
		}
	}
	t.Fatalf("the child ended without %q", wanted)
}

func TestAddressOfTheKernel(t *testing.T) {
	address := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2), Port: 8080}
	assert.Equal(t, hexAddress(address), "0200007F:1F90")
}

// TestPortIsKeptWhileConnectionsAreRefused: a port that is free while the proxy
// refuses connections is taken by whoever asks the kernel for any, and the cut
// can't be healed.
func TestPortIsKeptWhileConnectionsAreRefused(t *testing.T) {
	f := newFixture(t)
	assert.NilError(t, f.proxy.Set(Fault{Kind: Cut}))
	assert.ErrorIs(t, <-f.ask(), syscall.ECONNREFUSED)
	listener, err := listenAlone(t, f.proxy.Address())
	if err == nil {
		_ = listener.Close()
	}
	assert.ErrorIs(t, err, syscall.EADDRINUSE)
	assert.NilError(t, f.proxy.Heal())
	assert.NilError(t, <-f.ask())
}

// listenAlone listens at the address without SO_REUSEADDR, as a socket that the
// kernel chooses the port of has to: it shares the port with nobody.
func listenAlone(t *testing.T, address string) (net.Listener, error) {
	t.Helper()
	alone := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(socket uintptr) {
			failed = syscall.SetsockoptInt(int(socket), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 0)
		})
		return errors.Join(err, failed)
	}}
	return alone.Listen(t.Context(), "tcp", address)
}
