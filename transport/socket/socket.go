// Package socket has the dialers of this program. They set the options of TCP that bound
// how long a connection to a machine that went dark goes unnoticed: without them it hangs
// for many minutes. It keeps no state and relies on Linux.
package socket

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of tcp(7), which the syscall package lacks.
const tcpUserTimeout = 0x12

// Keep-alive probes of an idle connection (tcp(7)): the machine of a peer that is only slow
// answers them, one that is dark, or whose connection a firewall has forgotten, doesn't.
// Both times are the shortest that Linux takes, in whole seconds; the count is chosen, not
// measured.
const (
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// Dialer returns a dialer that gives up connecting after the first time, and whose
// connections fail once sent bytes have been unacknowledged for the second, in whole
// milliseconds. It suits protocols that check themselves whether a silent peer lives.
func Dialer(connect, unacknowledged time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: connect, KeepAlive: -1, Control: bound(unacknowledged)}
}

// ProbingDialer returns a Dialer whose connections also fail when the peer's machine
// doesn't answer keep-alive probes. A connection that waits for an answer needs them, since
// all that it sent may have been acknowledged long before. No gain is measured: with these
// probes alone, streams of back ends that went dark weren't given up within 2.4 s, when their
// callers left.
func ProbingDialer(connect, unacknowledged time.Duration) *net.Dialer {
	dialer := Dialer(connect, unacknowledged)
	dialer.KeepAliveConfig = net.KeepAliveConfig{
		Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
	}
	return dialer
}

// bound sets TCP_USER_TIMEOUT of a socket before it connects.
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
