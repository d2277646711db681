package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"camphorwick.dev/policy/footprint"
)

// idleGrace is how long a connection must have been idle before a stopping entry
// closes it. Until then, a caller that continues on a connection whose last
// answer did not announce the close is still read and answered.
const idleGrace = time.Second

// drainPollInterval is the interval between checks whether all connections of a
// stopping entry are closed.
const drainPollInterval = 10 * time.Millisecond

// callerConn is a connection of a caller. While its listener drains, it closes
// itself once it has been idle for idleGrace and no byte of a request has
// arrived. The shutdown of fasthttp would close it although the next request has
// arrived and only its goroutine has not run yet.
type callerConn struct {
	*net.TCPConn
	owner  *drainListener
	holder *footprint.Holder

	mu           sync.Mutex
	idleSince    time.Time // zero while a request is in progress
	readDeadline time.Time // as set by the server
}

// setIdle records whether a request is in progress.
func (c *callerConn) setIdle(idle bool) {
	stage := footprint.Head
	if idle {
		stage = footprint.Idle
	}
	c.holder.Enter(stage, c.closeForOthers, time.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	if idle {
		c.idleSince = time.Now()
		return
	}
	c.idleSince = time.Time{}
	if c.owner.isDraining() {
		_ = c.applyReadDeadline() // removes the deadline of the idle connection
	}
}

// SetReadDeadline implements net.Conn. While the listener drains, the deadline of
// an idle connection is the end of idleGrace.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	return c.applyReadDeadline()
}

// applyReadDeadline sets the read deadline of the socket; c.mu is held.
func (c *callerConn) applyReadDeadline() error {
	deadline := c.readDeadline
	if !c.idleSince.IsZero() && c.owner.isDraining() {
		if end := c.idleSince.Add(idleGrace); deadline.IsZero() || end.Before(deadline) {
			deadline = end
		}
	}
	return c.TCPConn.SetReadDeadline(deadline)
}

// startDrain applies the deadline of an idle connection.
func (c *callerConn) startDrain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.applyReadDeadline() // fails only if the connection is closed
}

// Read implements io.Reader.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.owner.isDraining() || !c.isIdle() {
		return n, err
	}
	return c.readOrClose(p)
}

func (c *callerConn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.idleSince.IsZero()
}

// readOrClose returns the bytes that have arrived, or closes the connection and
// returns io.EOF if there are none. A read that ends at its deadline does not
// look for bytes that arrived since it began to wait.
func (c *callerConn) readOrClose(p []byte) (n int, err error) {
	// An expired deadline prevents the read. setIdle sets the next one.
	if err := c.TCPConn.SetReadDeadline(time.Time{}); err != nil {
		return 0, io.EOF
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, io.EOF
	}
	controlErr := raw.Read(func(fd uintptr) bool {
		n, err = unix.Read(int(fd), p)
		return true
	})
	if controlErr == nil && err == nil && n > 0 {
		return n, nil
	}
	_ = c.Close()
	return 0, io.EOF
}

// Write implements io.Writer. While the caller does not read, the connection may be closed in
// favour of others.
func (c *callerConn) Write(p []byte) (int, error) {
	c.holder.Enter(footprint.Writing, c.closeForOthers, time.Now())
	n, err := c.TCPConn.Write(p)
	c.holder.Enter(footprint.Busy, nil, time.Now())
	return n, err
}

// closeForOthers closes the connection because others need its room.
func (c *callerConn) closeForOthers() { _ = c.Close() }

// Close implements io.Closer.
func (c *callerConn) Close() error {
	c.owner.remove(c)
	c.holder.Close()
	return c.TCPConn.Close()
}

// trackState is a fasthttp.Server.ConnState that records whether a request is in
// progress.
func trackState(c net.Conn, state fasthttp.ConnState) {
	if conn, ok := c.(*callerConn); ok {
		conn.setIdle(state == fasthttp.StateNew || state == fasthttp.StateIdle)
	}
}

// drainListener tracks the connections that it has accepted and closes them when
// a server stops, each after the answer to its last request was written.
//
// Lock order: callerConn.mu before drainListener.mu. The tracker calls no connection while it
// holds its own lock.
type drainListener struct {
	*net.TCPListener

	tracker   *footprint.Tracker // of the connections
	closed    chan struct{}      // closed when Accept returns no more connections
	closeOnce sync.Once

	mu       sync.Mutex // guards the fields below
	conns    map[*callerConn]struct{}
	draining bool
}

var errNotTCP = errors.New("not a TCP listener")

// newDrainListener returns a listener that accepts from l, which must be a
// *net.TCPListener, within the limits of a tracker.
func newDrainListener(l net.Listener, tracker *footprint.Tracker) (*drainListener, error) {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil, fmt.Errorf("listener of type %T: %w", l, errNotTCP)
	}
	return &drainListener{TCPListener: tcp, tracker: tracker, conns: map[*callerConn]struct{}{}, closed: make(chan struct{})}, nil
}

// Accept implements net.Listener. While the listener drains, it returns the
// connections that wait to be accepted, and then closes the listener and returns
// io.EOF. If there are too many connections and none may be closed in favour of the next one,
// that one is closed.
func (l *drainListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.accept()
		if err != nil {
			return nil, err
		}
		if c := l.wrap(conn); c != nil {
			return c, nil
		}
		_ = conn.Close()
	}
}

// wrap returns the connection as a callerConn, or nil if there are too many.
func (l *drainListener) wrap(conn *net.TCPConn) *callerConn {
	now := time.Now()
	c := &callerConn{TCPConn: conn, owner: l, idleSince: now}
	holder, ok := l.tracker.Open(c.closeForOthers, now)
	if !ok {
		return nil
	}
	c.holder = holder
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c
}

// accept returns the next connection. While the listener drains, it closes the listener if
// none waits, and returns io.EOF.
func (l *drainListener) accept() (*net.TCPConn, error) {
	conn, err := l.AcceptTCP()
	if errors.Is(err, os.ErrDeadlineExceeded) && l.isDraining() {
		conn, err = l.acceptOrClose()
	}
	if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) {
		l.closeOnce.Do(func() { close(l.closed) })
	}
	return conn, err
}

// acceptOrClose returns a connection that waits to be accepted. If there is none,
// it closes the listener and returns io.EOF. Closing the listener resets the
// connections that wait, whose callers may have sent requests.
func (l *drainListener) acceptOrClose() (*net.TCPConn, error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("accept connection: %w", err)
	}
	socket, acceptErr := -1, error(nil)
	err = raw.Control(func(fd uintptr) {
		socket, _, acceptErr = unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	})
	if err != nil || acceptErr != nil {
		_ = l.Close()
		return nil, io.EOF
	}
	file := os.NewFile(uintptr(socket), "caller")
	defer func() { _ = file.Close() }() // FileConn duplicates the descriptor
	conn, err := net.FileConn(file)
	if err != nil {
		return nil, fmt.Errorf("accept connection: %w", err)
	}
	return conn.(*net.TCPConn), nil
}

// drain accepts the connections that already wait, closes the listener, and closes
// the idle connections. The others are closed when their requests have been
// answered.
func (l *drainListener) drain() {
	l.mu.Lock()
	l.draining = true
	conns := make([]*callerConn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	_ = l.SetDeadline(time.Unix(0, 1)) // wakes Accept; fails only if the listener is closed
	for _, c := range conns {
		c.startDrain()
	}
}

// awaitClosed waits until the listener and all connections are closed, or returns
// the number of open connections when ctx ends.
func (l *drainListener) awaitClosed(ctx context.Context) (open int) {
	select {
	case <-l.closed:
	case <-ctx.Done():
	}
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		if open = l.open(); open == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return open
		case <-ticker.C:
		}
	}
}

func (l *drainListener) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

func (l *drainListener) isDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}

func (l *drainListener) remove(c *callerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}
