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

// Dialer returns a dialer whose connections are given up after the bounds.
func Dialer(connect, unacknowledged time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: connect, KeepAlive: -1, Control: bound(unacknowledged)}
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
