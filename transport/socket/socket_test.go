package socket_test

import (
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/transport/socket"
)

// keepAliveOptions returns the keep-alive options of a connection opened by the dialer.
func keepAliveOptions(t *testing.T, dialer *net.Dialer) (keepAlive, idle, interval, count int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	opened, err := dialer.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer opened.Close()
	raw, err := opened.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	read := func(descriptor uintptr, level, option int) int {
		value, err := syscall.GetsockoptInt(int(descriptor), level, option)
		assert.NilError(t, err)
		return value
	}
	assert.NilError(t, raw.Control(func(descriptor uintptr) {
		keepAlive = read(descriptor, syscall.SOL_SOCKET, syscall.SO_KEEPALIVE)
		idle = read(descriptor, syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE)
		interval = read(descriptor, syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL)
		count = read(descriptor, syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT)
	}))
	return keepAlive, idle, interval, count
}

// TestProbingDialerEnablesKeepAlive also checks that Dialer disables it.
func TestProbingDialerEnablesKeepAlive(t *testing.T) {
	keepAlive, idle, interval, count := keepAliveOptions(t, socket.KeepAliveDialer(time.Second, time.Second))
	assert.Equal(t, keepAlive, 1)
	assert.Equal(t, idle, 1)
	assert.Equal(t, interval, 1)
	assert.Equal(t, count, 2)
	keepAlive, _, _, _ = keepAliveOptions(t, socket.Dialer(time.Second, time.Second))
	assert.Equal(t, keepAlive, 0)
}
