package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"camphorwick.dev/gateway/ingress"
)

// idleConn applies the idle timeout of the configuration in force to a
// persistent connection. net/http has only one timeout per server, which cannot
// change. net/http clears the read deadline when a connection becomes idle; idleConn
// then sets the deadline of the current timeout instead.
type idleConn struct {
	net.Conn
	owner       *idleListener
	idle        atomic.Bool          // no request is in flight
	idleTimeout func() time.Duration // 0 for none
	closeCause  atomic.Pointer[string]
}

// CloseCause implements ingress.Connection.
func (c *idleConn) CloseCause() string {
	if cause := c.closeCause.Load(); cause != nil {
		return *cause
	}
	return ""
}

// SetReadDeadline replaces a cleared deadline by the idle timeout if the
// connection is idle.
func (c *idleConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() && c.idle.Load() {
		if idleTimeout := c.idleTimeout(); idleTimeout > 0 {
			t = time.Now().Add(idleTimeout)
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// Close also removes the connection from its listener.
func (c *idleConn) Close() error {
	c.owner.remove(c)
	return c.Conn.Close()
}

// idleListener wraps accepted connections in idleConn and tracks the open ones.
type idleListener struct {
	net.Listener
	idleTimeout func() time.Duration

	mu    sync.Mutex
	conns map[*idleConn]struct{}
}

func (l *idleListener) remove(c *idleConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// closeIdle closes the connections without a request in flight. A request that
// arrives during the close is not read: its connection is closed without any
// answer, in which case HTTP lets the caller retry.
func (l *idleListener) closeIdle() {
	l.mu.Lock()
	var idle []*idleConn
	for c := range l.conns {
		if c.idle.Load() {
			idle = append(idle, c)
		}
	}
	l.mu.Unlock()
	for _, c := range idle {
		c.closeCause.Store(&closeCauseIdle)
		_ = c.Close()
	}
}

// Causes for which a gateway closes the connection of a caller.
var (
	closeCauseIdle = "idle connection closed by a stopping gateway"
	closeCauseStop = "gateway stopped"
)

// recordStop records that the gateway is about to close all connections and
// returns the number of those that are not idle.
func (l *idleListener) recordStop() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	busy := 0
	for c := range l.conns {
		c.closeCause.CompareAndSwap(nil, &closeCauseStop)
		if !c.idle.Load() {
			busy++
		}
	}
	return busy
}

// connContext is an http.Server.ConnContext that gives requests access to their
// connection.
func connContext(ctx context.Context, c net.Conn) context.Context {
	if wrapped, ok := c.(*idleConn); ok {
		return ingress.WithConnection(ctx, wrapped)
	}
	return ctx
}

// Accept wraps the next connection, which counts as idle until its first
// request.
func (l *idleListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	wrapped := &idleConn{Conn: c, idleTimeout: l.idleTimeout, owner: l}
	wrapped.idle.Store(true)
	l.mu.Lock()
	l.conns[wrapped] = struct{}{}
	l.mu.Unlock()
	return wrapped, nil
}

// trackState is an http.Server.ConnState that records whether a connection is
// idle.
func trackState(c net.Conn, state http.ConnState) {
	wrapped, ok := c.(*idleConn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew, http.StateIdle:
		wrapped.idle.Store(true)
	default:
		wrapped.idle.Store(false)
	}
}

// listenConfig enables keep-alive probes, which close the connections of
// unresponsive callers.
var listenConfig = net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}}

func listen(ctx context.Context, address string) (net.Listener, error) {
	return listenConfig.Listen(ctx, "tcp", address)
}
