package node

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"camphorwick.dev/gateway/routing"
	"camphorwick.dev/policy/footprint"
)

// callerConn is the connection of a caller. It reads from the socket under a
// lock, so that closing it while it is idle and reading the first bytes of a
// request exclude each other: no request is read from a connection that is closed
// as idle. net/http reports a request only after it has parsed its head, which is too
// late for this.
//
// It also applies the idle timeout of the configuration in force. net/http has
// only one timeout per server, which cannot change.
type callerConn struct {
	net.Conn
	socket syscall.RawConn // of Conn
	owner  *callerListener
	limits func() routing.Limits
	holder *footprint.Holder // of owner.tracker

	mu sync.Mutex // guards the fields below and is held while bytes are read
	// betweenRequests is set while net/http has no request of the connection.
	betweenRequests bool
	// requestBegun is set if bytes of the next request were read, also together with
	// the request before it.
	requestBegun bool
	// headBytes is the number of bytes that were read since the last request, headTime the
	// time between the reads, and headReadAt when the last of them was.
	headBytes  int
	headTime   time.Duration
	headReadAt time.Time
	// deadlinesSinceIdle counts the read deadlines that net/http has set since the
	// last request ended.
	deadlinesSinceIdle int
	// idleSince is when a read between two requests found no bytes; zero if the
	// connection is not idle.
	idleSince time.Time
	// closed is set if no more bytes may be read.
	closed     bool
	closeCause string // why the gateway closes the connection; the first one counts
}

// Read reads from the socket. It fails with net.ErrClosed once the connection
// was closed, even if bytes have arrived.
func (c *callerConn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	n, err := c.readOnArrival(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.isBetweenRequests() {
		n, err = c.readArrived(p, err)
	}
	if err == nil {
		err = c.checkHead()
	}
	switch {
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// readOnArrival waits for bytes and reads them.
func (c *callerConn) readOnArrival(p []byte) (n int, err error) {
	waitErr := c.socket.Read(func(fd uintptr) bool {
		n, err = c.tryRead(int(fd), p)
		return !errors.Is(err, unix.EAGAIN)
	})
	var op *net.OpError
	switch {
	case waitErr == nil:
		return n, err
	case errors.As(waitErr, &op):
		return 0, op.Err // the deadline has passed or the connection is closed
	}
	return 0, waitErr
}

// readArrived reads the bytes that have arrived when the idle timeout was
// reached, which the wait does not notice, and restarts the timeout. It returns
// timeout if there are none.
func (c *callerConn) readArrived(p []byte, timeout error) (n int, err error) {
	controlErr := c.socket.Control(func(fd uintptr) { n, err = c.tryRead(int(fd), p) })
	switch {
	case controlErr != nil, errors.Is(err, unix.EAGAIN):
		return 0, timeout
	case err != nil:
		return 0, err
	}
	return n, c.SetReadDeadline(time.Time{})
}

// tryRead reads the bytes that have arrived and records whether the connection
// is idle.
func (c *callerConn) tryRead(fd int, p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	n, err := unix.Read(fd, p)
	for errors.Is(err, unix.EINTR) {
		n, err = unix.Read(fd, p)
	}
	switch {
	case n > 0:
		c.recordHead(n)
		c.requestBegun, c.idleSince = true, time.Time{}
	case errors.Is(err, unix.EAGAIN) && c.betweenRequests && !c.requestBegun && c.idleSince.IsZero():
		c.idleSince = time.Now()
	}
	return max(n, 0), err
}

// recordHead records n bytes that may belong to the head of a request. mu is held.
func (c *callerConn) recordHead(n int) {
	if !c.betweenRequests {
		return
	}
	now := time.Now()
	if !c.requestBegun {
		c.holder.Enter(footprint.Head, c.closeForOthers, now)
	}
	if !c.headReadAt.IsZero() {
		c.headTime += min(now.Sub(c.headReadAt), c.limits().HeaderTimeout)
	}
	c.headReadAt = now
	c.headBytes += n
}

const (
	// headTimeFactor is the time for a head as a multiple of the configuration's. No time
	// between two reads counts as more than the latter, so that a pause of this process ends
	// no head that its caller has sent in time.
	headTimeFactor = 2
	// headSlack is how many bytes beyond the configuration's limit may be read while the
	// head of a request is incomplete: the buffer of net/http, in which the body begins.
	headSlack = 8 << 10
)

// errHeadLimit means that a caller has sent a longer head than the configuration allows, or
// not all of it in time.
var errHeadLimit = errors.New("the head of the request exceeds a limit")

// checkHead returns an error if the head that is being read exceeds a limit.
func (c *callerConn) checkHead() error {
	limits := c.limits()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.betweenRequests || !c.requestBegun {
		return nil
	}
	tooLong := limits.HeaderBytes > 0 && c.headBytes > limits.HeaderBytes+headSlack
	tooSlow := limits.HeaderTimeout > 0 && c.headTime > headTimeFactor*limits.HeaderTimeout
	if tooLong || tooSlow {
		return errHeadLimit
	}
	return nil
}

// closeForOthers closes the connection because others need its room.
func (c *callerConn) closeForOthers() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.recordCloseCause(closeCauseRoom)
	_ = c.Close()
}

// Write writes to the socket. While the caller does not read, the connection may be closed in
// favour of others.
func (c *callerConn) Write(p []byte) (int, error) {
	c.holder.Enter(footprint.Writing, c.closeForOthers, time.Now())
	n, err := c.Conn.Write(p)
	c.holder.Enter(footprint.Busy, nil, time.Now())
	return n, err
}

// closeIfIdle closes the connection if it has been idle for minIdle and no bytes
// have arrived.
func (c *callerConn) closeIfIdle(minIdle time.Duration, cause string) {
	c.mu.Lock()
	if c.idleSince.IsZero() || time.Since(c.idleSince) < minIdle || c.bytesArrived() {
		c.mu.Unlock()
		return
	}
	c.closed = true
	c.mu.Unlock()
	c.recordCloseCause(cause)
	_ = c.Close()
}

func (c *callerConn) recordCloseCause(cause string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeCause == "" {
		c.closeCause = cause
	}
}

// bytesArrived reports whether there are bytes to read. It also returns true if
// the socket cannot be checked.
func (c *callerConn) bytesArrived() bool {
	arrived := true
	err := c.socket.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		arrived = err == nil && n > 0
	})
	return arrived && err == nil
}

// isBetweenRequests reports whether net/http has no request of the connection.
func (c *callerConn) isBetweenRequests() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.betweenRequests
}

// setState records a change of state of net/http.
func (c *callerConn) setState(state http.ConnState) {
	if state == http.StateActive {
		_ = c.Conn.SetReadDeadline(time.Time{}) // the idle timeout does not concern the body of a request
	}
	switch state {
	case http.StateActive:
		c.holder.Enter(footprint.Busy, nil, time.Now())
	case http.StateIdle:
		c.holder.Enter(footprint.Idle, c.closeForOthers, time.Now())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.betweenRequests = state == http.StateNew || state == http.StateIdle
	c.requestBegun, c.idleSince, c.deadlinesSinceIdle = false, time.Time{}, 0
	c.headBytes, c.headTime, c.headReadAt = 0, 0, time.Time{}
}

// noticeBegun records that net/http has the first bytes of the next request. It sets
// one deadline to wait for them and another one when it has them, which may be at once
// if they were read together with the request before.
func (c *callerConn) noticeBegun() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.betweenRequests {
		return
	}
	c.deadlinesSinceIdle++
	if c.deadlinesSinceIdle > 1 {
		c.requestBegun, c.idleSince = true, time.Time{}
	}
}

// SetReadDeadline replaces a cleared deadline by the idle timeout if the
// connection is between two requests.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.noticeBegun()
	if t.IsZero() && c.isBetweenRequests() {
		if idleTimeout := c.limits().IdleTimeout; idleTimeout > 0 {
			t = time.Now().Add(idleTimeout)
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// Close also removes the connection from its listener.
func (c *callerConn) Close() error {
	c.owner.remove(c)
	c.holder.Close()
	return c.Conn.Close()
}

// Holder implements ingress.Connection.
func (c *callerConn) Holder() *footprint.Holder { return c.holder }

// CloseCause implements ingress.Connection.
func (c *callerConn) CloseCause() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeCause
}

// ResetOnClose implements ingress.Connection.
func (c *callerConn) ResetOnClose() error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errNoTCP
	}
	return tcp.SetLinger(0)
}

var errNoTCP = errors.New("not a TCP connection")
