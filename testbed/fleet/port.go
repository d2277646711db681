package fleet

import (
	"errors"
	"fmt"
	"syscall"
)

// ReserveAddress returns a loopback address whose port is reserved for listeners of
// this fleet until Kill. If that fails, the next process of the fleet is not started. Without the reservation, an outgoing connection of
// another process could take the port of a proxy that stops listening for a time
// (see Proxy.Cut); the proxy then could not listen again.
func (f *Fleet) ReserveAddress() string {
	socket, port, err := reservePort()
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.portErr = err // ends the start of the next process
		return ""
	}
	f.portSockets = append(f.portSockets, socket)
	return fmt.Sprintf("127.0.0.1:%d", port)
}

// reservePort binds a socket to a free loopback port without listening. With
// SO_REUSEADDR, which Go also sets for listeners, a listener can bind to this
// port as well, but the kernel does not choose it as an ephemeral port.
func reservePort() (socket, port int, err error) {
	socket, err = syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, 0, fmt.Errorf("open a socket: %w", err)
	}
	if err = syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err == nil {
		err = syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	var bound syscall.Sockaddr
	if err == nil {
		bound, err = syscall.Getsockname(socket)
	}
	address, ok := bound.(*syscall.SockaddrInet4)
	if err == nil && !ok {
		err = fmt.Errorf("%w: %T", errNoIPv4Address, bound)
	}
	if err != nil {
		_ = syscall.Close(socket)
		return 0, 0, fmt.Errorf("bind a socket to a free loopback port: %w", err)
	}
	return socket, address.Port, nil
}

var errNoIPv4Address = errors.New("the address of the socket is not an IPv4 address")

// releasePorts closes the sockets that reserve ports.
func (f *Fleet) releasePorts() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, socket := range f.portSockets {
		_ = syscall.Close(socket)
	}
	f.portSockets = nil
}
