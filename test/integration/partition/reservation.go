package partition

import (
	"net"
	"net/netip"
	"syscall"

	"github.com/ansel1/merry/v2"
)

// reservation keeps a loopback port for one proxy, also while nobody listens at
// it: connections are refused then, and the kernel gives the port to no other
// socket that asks for any.
type reservation struct {
	socket  int
	address netip.AddrPort
}

// reservePort binds a socket to a free port without ever listening at it.
func reservePort() (reservation, error) {
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return reservation{}, merry.Prepend(err, "opening the socket that keeps a port")
	}
	address, err := bindAnyPort(socket)
	if err != nil {
		_ = syscall.Close(socket)
		return reservation{}, merry.Prepend(err, "binding the socket that keeps a port")
	}
	return reservation{socket: socket, address: address}, nil
}

func bindAnyPort(socket int) (netip.AddrPort, error) {
	// The proxy's listener has the option too, and shares the port thereby.
	if err := syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return netip.AddrPort{}, merry.Wrap(err)
	}
	loopback := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Addr: loopback.As4()}); err != nil {
		return netip.AddrPort{}, merry.Wrap(err)
	}
	name, err := syscall.Getsockname(socket)
	if err != nil {
		return netip.AddrPort{}, merry.Wrap(err)
	}
	bound, ok := name.(*syscall.SockaddrInet4)
	if !ok {
		return netip.AddrPort{}, merry.Errorf("a socket of IPv4 is bound to %T", name)
	}
	return netip.AddrPortFrom(loopback, uint16(bound.Port)), nil
}

// listen opens the port to connections until the listener is closed.
func (r reservation) listen() (net.Listener, error) {
	listener, err := net.Listen("tcp", r.address.String())
	return listener, merry.Prependf(err, "listening at the reserved address %s", r.address)
}

// release gives the port back. It fails only for a socket that isn't open.
func (r reservation) release() { _ = syscall.Close(r.socket) }
