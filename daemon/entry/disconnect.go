package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"camphorwick.dev/api/outcome"
)

// disconnectPollInterval is the interval between checks of a caller's
// connection.
const disconnectPollInterval = 250 * time.Millisecond

// watchCaller cancels a request when its caller has closed the connection.
// fasthttp does not report this while a handler runs, so the socket is polled
// with MSG_PEEK, which consumes no bytes. The returned function ends the watch.
func (e *Entry) watchCaller(conn net.Conn, cancel context.CancelCauseFunc) (stop func()) {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		e.log.Error("connections of this type cannot be watched for disconnects", "type", fmt.Sprintf("%T", conn))
		return func() {}
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return func() {}
	}
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		ticker := time.NewTicker(disconnectPollInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			if connectionClosed(raw) {
				cancel(outcome.New(outcome.Cancelled, "the caller is gone"))
				return
			}
		}
	}()
	return stop
}

// connectionClosed reports whether the peer has closed or reset a connection.
func connectionClosed(raw syscall.RawConn) bool {
	disconnected := false
	err := raw.Control(func(fd uintptr) {
		var buffer [1]byte
		n, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EAGAIN), errors.Is(err, unix.EINTR):
		case err != nil, n == 0:
			disconnected = true
		}
	})
	return disconnected || err != nil
}
