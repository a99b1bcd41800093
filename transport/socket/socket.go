// Package socket provides dialers that set TCP options to detect unreachable hosts. Without
// them a connection to a host that disappeared hangs for many minutes. It requires Linux.
package socket

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of tcp(7), which the syscall package lacks.
const tcpUserTimeout = 0x12

// Parameters of TCP keep-alive (tcp(7)). The kernel of a peer that is merely slow answers
// the probes; an unreachable host, or a firewall that has dropped the connection, doesn't.
// One second is the shortest time that Linux supports.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Dialer returns a dialer with a connect timeout. Its connections fail once sent data has
// been unacknowledged for the user timeout, in whole milliseconds. It has no keep-alive and
// suits protocols that detect dead peers themselves.
func Dialer(connectTimeout, userTimeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: connectTimeout, KeepAlive: -1, Control: setUserTimeout(userTimeout)}
}

// KeepAliveDialer returns a Dialer whose connections also fail if the peer's host doesn't
// answer keep-alive probes. Connections that wait for a response need them, since all sent
// data may have been acknowledged long before.
func KeepAliveDialer(connectTimeout, userTimeout time.Duration) *net.Dialer {
	dialer := Dialer(connectTimeout, userTimeout)
	dialer.KeepAliveConfig = net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}
	return dialer
}

// setUserTimeout returns a function that sets TCP_USER_TIMEOUT before a socket connects.
func setUserTimeout(userTimeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	milliseconds := int(userTimeout.Milliseconds())
	return func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(descriptor uintptr) {
			failure = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, milliseconds)
		})
		if err != nil {
			return err
		}
		return failure
	}
}
