package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"camphorwick.dev/gateway/ingress"
	"camphorwick.dev/gateway/routing"
	"camphorwick.dev/policy/footprint"
)

// minIdleTime is how long a connection must have been idle before a stopping
// gateway closes it. The request of a new connection is most likely on the way, and
// so is the next one of a caller whose last answer did not announce the close.
const minIdleTime = 500 * time.Millisecond

// acceptQueueTime bounds the wait for the accept queue before the port is closed.
const acceptQueueTime = 100 * time.Millisecond

// Causes for which a gateway closes the connection of a caller.
const (
	closeCauseIdle = "idle connection closed by a stopping gateway"
	closeCauseStop = "gateway stopped"
	closeCauseRoom = "closed in favour of another connection"
)

// callerListener wraps accepted connections in callerConn and tracks the open
// ones.
//
// Lock order: callerListener.mu and callerConn.mu are never held together; callerConn.mu before
// the lock of the tracker, which calls no connection while it holds it.
type callerListener struct {
	net.Listener
	limits  func() routing.Limits // of the configuration in force
	tracker *footprint.Tracker    // of the connections
	ended   chan struct{}         // closed when serve has returned

	mu    sync.Mutex
	conns map[*callerConn]struct{}
}

func newCallerListener(l net.Listener, limits func() routing.Limits, tracker *footprint.Tracker) *callerListener {
	return &callerListener{Listener: l, limits: limits, tracker: tracker, ended: make(chan struct{}), conns: map[*callerConn]struct{}{}}
}

// serve serves the listener until a stop closes it. It must be called once.
func (l *callerListener) serve(server *http.Server) error {
	defer close(l.ended)
	err := server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return fmt.Errorf("serve callers: %w", err)
}

// Accept wraps the next connection. If there are too many and none may be closed in its
// favour, it is closed: its caller can tell that nothing of it was read.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		wrapped, err := l.wrap(c)
		if wrapped != nil || err != nil {
			return wrapped, err
		}
		_ = c.Close()
	}
}

// wrap returns the connection as a callerConn, or nil if there are too many.
func (l *callerListener) wrap(c net.Conn) (net.Conn, error) {
	socket, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("access the socket of a connection: %w", errors.Join(err, c.Close()))
	}
	wrapped := &callerConn{Conn: c, socket: socket, limits: l.limits, owner: l}
	holder, ok := l.tracker.Open(wrapped.closeForOthers, time.Now())
	if !ok {
		return nil, nil
	}
	wrapped.holder = holder
	l.mu.Lock()
	l.conns[wrapped] = struct{}{}
	l.mu.Unlock()
	return wrapped, nil
}

// stopAccepting closes the port and waits for serve, so that each connection
// that was accepted is tracked afterwards. Closing the port resets the connections
// in its accept queue, so it first waits until serve has accepted them.
func (l *callerListener) stopAccepting() {
	for end := time.Now().Add(acceptQueueTime); l.acceptQueueLength() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	_ = l.Close() // fails if it was closed before
	<-l.ended
}

// acceptQueueLength returns the number of connections that the kernel has accepted
// and serve has not; 0 if it is not known or the port is closed.
func (l *callerListener) acceptQueueLength() int {
	listener, ok := l.Listener.(syscall.Conn)
	if !ok {
		return 0
	}
	socket, err := listener.SyscallConn()
	if err != nil {
		return 0
	}
	length := 0
	_ = socket.Control(func(fd uintptr) { // fails if the port is closed
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			length = int(info.Unacked) // of a listening socket: the length of the queue
		}
	})
	return length
}

func (l *callerListener) remove(c *callerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// open returns the open connections.
func (l *callerListener) open() []*callerConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]*callerConn, 0, len(l.conns))
	for c := range l.conns {
		list = append(list, c)
	}
	return list
}

// closeIdle closes the connections that have been between two requests for
// minIdle. A request that arrives at that moment is not read and has not run.
func (l *callerListener) closeIdle(minIdle time.Duration) {
	for _, c := range l.open() {
		c.closeIfIdle(minIdle, closeCauseIdle)
	}
}

// recordStop records that the gateway is about to close all connections and
// returns their number.
func (l *callerListener) recordStop() int {
	list := l.open()
	for _, c := range list {
		c.recordCloseCause(closeCauseStop)
	}
	return len(list)
}

// trackState is an http.Server.ConnState for connections of a callerListener.
func trackState(c net.Conn, state http.ConnState) {
	if wrapped, ok := c.(*callerConn); ok {
		wrapped.setState(state)
	}
}

// connContext is an http.Server.ConnContext that gives requests access to their
// connection.
func connContext(ctx context.Context, c net.Conn) context.Context {
	if wrapped, ok := c.(*callerConn); ok {
		return ingress.WithConnection(ctx, wrapped)
	}
	return ctx
}

// listenConfig enables keep-alive probes, which close the connections of
// unresponsive callers.
var listenConfig = net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}}

func listen(ctx context.Context, address string) (net.Listener, error) {
	return listenConfig.Listen(ctx, "tcp", address)
}
