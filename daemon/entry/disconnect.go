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

// disconnectPoll is how often a caller's connection is looked at.
const disconnectPoll = 250 * time.Millisecond

// watchCaller cancels a request when its caller has closed the connection.
// fasthttp does not report this while a handler runs, so the connection is
// peeked at without taking bytes from it. The returned function ends the
// watch.
func (e *Entry) watchCaller(conn net.Conn, cancel context.CancelCauseFunc) (stop func()) {
	holder, ok := conn.(syscall.Conn)
	if !ok {
		e.log.Error("connections of this type cannot be watched for disconnects", "type", fmt.Sprintf("%T", conn))
		return func() {}
	}
	raw, err := holder.SyscallConn()
	if err != nil {
		return func() {}
	}
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		ticker := time.NewTicker(disconnectPoll)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			if closed(raw) {
				cancel(outcome.New(outcome.Cancelled, "the caller is gone"))
				return
			}
		}
	}()
	return stop
}

// closed reports whether the peer has closed or reset a connection.
func closed(raw syscall.RawConn) bool {
	gone := false
	err := raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EAGAIN), errors.Is(err, unix.EINTR):
		case err != nil, n == 0:
			gone = true
		}
	})
	return gone || err != nil
}
