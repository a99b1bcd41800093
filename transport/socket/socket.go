// Package socket sets what every connection of this program needs: a bound on
// how long a peer's machine may leave sent bytes unacknowledged. Without it a
// connection to a machine that went dark hangs for many minutes.
package socket

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of tcp(7), which the syscall package lacks.
const tcpUserTimeout = 0x12

// Probes of a connection on which nothing has come for a while: the machine of a
// peer that only takes its time answers them, one that is dark or whose connection
// was forgotten on the way doesn't. Seconds are the finest that Linux takes.
const (
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// Dialer returns a dialer whose connections are given up after the bounds. It suits
// protocols that ask a silent peer for a sign of life themselves.
func Dialer(connect, unacknowledged time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: connect, KeepAlive: -1, Control: bound(unacknowledged)}
}

// ProbingDialer returns a dialer whose connections are also given up while an
// answer is awaited, when the peer's machine says nothing to probes: everything
// that was sent may have been acknowledged long before. It is meant for connections
// that went silent while the machine answers new ones; a gain isn't measured.
func ProbingDialer(connect, unacknowledged time.Duration) *net.Dialer {
	dialer := Dialer(connect, unacknowledged)
	dialer.KeepAliveConfig = net.KeepAliveConfig{
		Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
	}
	return dialer
}

func bound(unacknowledged time.Duration) func(network, address string, raw syscall.RawConn) error {
	milliseconds := int(unacknowledged.Milliseconds())
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
