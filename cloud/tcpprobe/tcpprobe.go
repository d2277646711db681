// Package tcpprobe finds out whether the process of a server still accepts connections. An
// HTTP answer with neither a length nor chunks ends with its connection, which the kernel of
// a process that has crashed closes in good order as well. Whether such an answer is whole can
// only be told from what the server does next.
package tcpprobe

import (
	"context"
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// EndingTime is how long the kernel may take to close all sockets of a process that has
	// ended. It may close a connection before the listening socket, and new connections
	// are opened meanwhile.
	EndingTime = 30 * time.Millisecond
	// Timeout bounds a probe, which delays the end of an answer.
	Timeout = 300 * time.Millisecond
	// attemptTimeout bounds one attempt to connect, so that a lost packet is not taken for a
	// server that cannot be reached.
	attemptTimeout = 100 * time.Millisecond
)

// State says whether a server accepts connections.
type State uint8

// The states of a server.
const (
	// Unknown means that the probe was ended or got no answer.
	Unknown State = iota
	// Accepting means that the server accepts connections.
	Accepting
	// Refusing means that no process listens at the address.
	Refusing
)

// Dial opens a TCP connection to the server.
type Dial func(ctx context.Context) (net.Conn, error)

// Server connects to a server by dial and returns what that shows, Unknown once ctx or Timeout
// has ended. The connection, which the caller owns, is not nil if the server has kept it open.
func Server(ctx context.Context, dial Dial) (State, net.Conn) {
	probe, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	started := time.Now()
	for {
		state, conn := attempt(probe, dial, time.Since(started) >= EndingTime)
		if state != Unknown || conn != nil || probe.Err() != nil {
			return state, conn
		}
	}
}

// attempt connects once and watches the connection for EndingTime. A connection that the server
// closes at once counts if settled is set: it shows that the socket still listens although
// a process that had ended would have closed it by now.
func attempt(ctx context.Context, dial Dial, settled bool) (State, net.Conn) {
	dialCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
	conn, err := dial(dialCtx)
	cancel()
	if errors.Is(err, unix.ECONNREFUSED) {
		return Refusing, nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(EndingTime):
	}
	switch {
	case err != nil:
		return Unknown, nil
	case !Unusable(conn):
		if ctx.Err() != nil {
			return Unknown, conn
		}
		return Accepting, conn
	}
	_ = conn.Close()
	if settled {
		return Accepting, nil
	}
	return Unknown, nil
}

// closeWait is the state of a connection whose other end was closed in good order.
const closeWait = unix.BPF_TCP_CLOSE_WAIT

// EndedInOrder reports whether the server has closed a connection in good order after it had
// received everything that was written to it. A read returns the end of the connection also
// after a reset whose error a write has returned before, or that came after the end.
func EndedInOrder(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil || infoErr != nil {
		return false
	}
	return info.State == closeWait && info.Unacked == 0 && info.Notsent_bytes == 0
}

// Unusable reports whether an idle connection must not be used, because it has
// unexpected data, was closed, or cannot be checked.
func Unusable(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	empty := false // the connection is open and there is nothing to read
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errors.Is(err, unix.EAGAIN)
	})
	return err != nil || !empty
}
