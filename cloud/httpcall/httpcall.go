// Package httpcall sends HTTP calls with fasthttp and tells, for each call
// that fails, whether any byte of it was written to the connection. The
// adapters to the platform and to plain services need this to decide whether
// a call may have taken effect. fasthttp's own client cannot tell, and it
// retries idempotent requests; here no call is ever sent twice.
package httpcall

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// DefaultMaxConnections bounds the connections of a client if its options
	// do not.
	DefaultMaxConnections = 256
	// DefaultMaxResponseBytes bounds the body of an answer if the options do
	// not.
	DefaultMaxResponseBytes = 16 << 20
	// dialTimeout bounds the connection set-up; servers are in the same data
	// centre.
	dialTimeout = 2 * time.Second
	// idleTimeout closes idle connections earlier than servers usually do.
	idleTimeout = 5 * time.Second
	// slotConns is the number of connections that a slot may have. It uses
	// one; the second is needed for a short time while fasthttp's cleaner is
	// closing an idle connection that still counts.
	slotConns = 2
)

// Options configures a client.
type Options struct {
	// Address is the server's host:port.
	Address string
	// MaxConnections bounds the calls in progress; 0 means
	// DefaultMaxConnections.
	MaxConnections int
	// MaxResponseBytes bounds the body of an answer; 0 means
	// DefaultMaxResponseBytes.
	MaxResponseBytes int
}

// Error says that no complete answer was received. Sent is false only if no
// byte of the call was written, so that the server certainly has not seen it.
// Cause is the context's error if the context ended the call.
type Error struct {
	Sent  bool
	Cause error
}

func (e *Error) Error() string {
	if e.Sent {
		return fmt.Sprintf("no answer to the call: %v", e.Cause)
	}
	return fmt.Sprintf("the call was not sent: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// ErrClosed is the cause of calls after Close.
var ErrClosed = errors.New("the client is closed")

// Client calls one server. Safe for concurrent use.
type Client struct {
	options Options
	permits chan struct{} // one per call in progress

	mu     sync.Mutex
	idle   []*slot
	closed bool
}

// New returns a client that connects on first use.
func New(o Options) *Client {
	if o.MaxConnections == 0 {
		o.MaxConnections = DefaultMaxConnections
	}
	if o.MaxResponseBytes == 0 {
		o.MaxResponseBytes = DefaultMaxResponseBytes
	}
	return &Client{options: o, permits: make(chan struct{}, o.MaxConnections)}
}

// Close closes the idle connections and refuses further calls. Calls in
// progress go on.
func (c *Client) Close() {
	c.mu.Lock()
	idle := c.idle
	c.idle, c.closed = nil, true
	c.mu.Unlock()
	for _, s := range idle {
		s.http.CloseIdleConnections()
	}
}

// Do sends req once and reads the answer into resp. It returns soon after ctx
// ends. Errors are of type Error.
func (c *Client) Do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) error {
	if err := ctx.Err(); err != nil {
		return &Error{Cause: err}
	}
	select {
	case c.permits <- struct{}{}:
	case <-ctx.Done():
		return &Error{Cause: ctx.Err()}
	}
	defer func() { <-c.permits }()
	s, err := c.take()
	if err != nil {
		return &Error{Cause: err}
	}
	defer c.give(s)
	return s.do(ctx, req, resp)
}

func (c *Client) take() (*slot, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	if n := len(c.idle); n > 0 {
		s := c.idle[n-1]
		c.idle = c.idle[:n-1]
		return s, nil
	}
	return newSlot(c.options), nil
}

func (c *Client) give(s *slot) {
	c.mu.Lock()
	closed := c.closed
	if !closed {
		c.idle = append(c.idle, s)
	}
	c.mu.Unlock()
	if closed {
		s.http.CloseIdleConnections()
	}
}

// slot is a fasthttp client that one call at a time uses. A connection that
// only one call uses can be closed when that call's context ends, and its
// writes belong to that call.
type slot struct {
	http *fasthttp.HostClient
	sent atomic.Bool // whether the current call has written a byte

	mu   sync.Mutex
	ctx  context.Context // of the current call
	conn net.Conn        // latest connection, perhaps closed
}

func newSlot(o Options) *slot {
	s := &slot{}
	s.http = &fasthttp.HostClient{
		Addr:                      o.Address,
		Dial:                      s.dial,
		MaxConns:                  slotConns,
		MaxIdleConnDuration:       idleTimeout,
		MaxResponseBodySize:       o.MaxResponseBytes,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
	}
	return s
}

func (s *slot) do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) error {
	s.begin(ctx)
	stop := context.AfterFunc(ctx, s.abort)
	err := s.http.Do(req, resp)
	stop()
	if err == nil {
		return nil
	}
	if ctxErr := ctx.Err(); ctxErr != nil {
		err = ctxErr
	}
	return &Error{Sent: s.sent.Load(), Cause: err}
}

// begin prepares the slot for a call. An idle connection that the server has
// closed is dropped here: a call written to it would fail as perhaps sent.
func (s *slot) begin(ctx context.Context) {
	s.mu.Lock()
	s.ctx = ctx
	conn := s.conn
	s.mu.Unlock()
	s.sent.Store(false)
	if conn != nil && !usable(conn) {
		s.http.CloseIdleConnections()
	}
}

// abort closes the connection of the current call, whose context has ended.
// It may run late; a newer call's connection is then left alone.
func (s *slot) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil && s.conn != nil {
		_ = s.conn.Close()
	}
}

func (s *slot) dial(address string) (net.Conn, error) {
	s.mu.Lock()
	ctx := s.ctx
	s.mu.Unlock()
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn := &trackedConn{Conn: raw, sent: &s.sent}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn = conn
	if err := ctx.Err(); err != nil { // abort may have run before
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// trackedConn notes whether any byte was written.
type trackedConn struct {
	net.Conn
	sent *atomic.Bool
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.sent.Store(true)
	}
	return n, err
}

// usable tells whether an idle connection is open and has no unread bytes.
func usable(conn net.Conn) bool {
	tracked, ok := conn.(*trackedConn)
	if !ok {
		return false
	}
	tcp, ok := tracked.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = peekErr == syscall.EAGAIN
		return true // do not wait
	})
	return err == nil && open
}
