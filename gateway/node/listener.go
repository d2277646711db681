package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// idleConn applies the idle limit of the configuration in force to a kept
// connection. net/http has one fixed limit a server; it clears the read
// deadline when a connection becomes idle, which is where the limit of the
// moment is set instead.
type idleConn struct {
	net.Conn
	owner *idleListener
	idle  atomic.Bool
	limit func() time.Duration
}

// SetReadDeadline implements net.Conn.
func (c *idleConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() && c.idle.Load() {
		if limit := c.limit(); limit > 0 {
			t = time.Now().Add(limit)
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *idleConn) Close() error {
	c.owner.forget(c)
	return c.Conn.Close()
}

// idleListener wraps accepted connections in idleConn and knows the open ones.
type idleListener struct {
	net.Listener
	limit func() time.Duration

	mu   sync.Mutex
	open map[*idleConn]struct{}
}

func (l *idleListener) forget(c *idleConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// closeIdle closes the connections without a request. A request that crosses
// the close has not been read, which tells its caller that it may be repeated.
func (l *idleListener) closeIdle() {
	l.mu.Lock()
	var idle []*idleConn
	for c := range l.open {
		if c.idle.Load() {
			idle = append(idle, c)
		}
	}
	l.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// Accept implements net.Listener.
func (l *idleListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	wrapped := &idleConn{Conn: c, limit: l.limit, owner: l}
	wrapped.idle.Store(true)
	l.mu.Lock()
	l.open[wrapped] = struct{}{}
	l.mu.Unlock()
	return wrapped, nil
}

// trackState follows the states of a server's connections.
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

// listenConfig makes a silent caller's connection end.
var listenConfig = net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}}

func listen(ctx context.Context, address string) (net.Listener, error) {
	return listenConfig.Listen(ctx, "tcp", address)
}
