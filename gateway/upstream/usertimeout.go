package upstream

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeoutControl returns a net.Dialer.Control that sets TCP_USER_TIMEOUT,
// which closes a connection whose peer has not acknowledged sent data for d.
func UserTimeoutControl(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var optionErr error
		err := c.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optionErr
	}
}
