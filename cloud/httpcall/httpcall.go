// Package httpcall sends HTTP calls with fasthttp and reports for each failed
// call whether any byte of it was written to the connection. The adapters to the
// platform and to plain services use this to decide whether a call may have taken
// effect. fasthttp's own client does not report it and retries idempotent
// requests; this package never sends a call twice.
package httpcall

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"camphorwick.dev/cloud/httpstatus"
	"camphorwick.dev/cloud/tcpprobe"
)

const (
	// DefaultMaxConnections bounds the connections of a client by default.
	DefaultMaxConnections = 256
	// DefaultMaxResponseBytes bounds a response body by default.
	DefaultMaxResponseBytes = 16 << 20
	// dialTimeout is short because servers are in the same data centre.
	dialTimeout = 2 * time.Second
	// idleTimeout is shorter than the usual idle timeout of servers.
	idleTimeout = 5 * time.Second
	// maxConnsPerSlot bounds the connections of a slot, the type below that
	// serves one call at a time. A slot uses one connection. A second one is
	// allowed because fasthttp still counts an idle connection for a short time
	// while its background cleaner closes it.
	maxConnsPerSlot = 2
)

type progressKey struct{}

// WithProgress returns a context for calls with which progress is called for each part
// of a response that arrives. It is called concurrently with the call.
func WithProgress(ctx context.Context, progress func()) context.Context {
	return context.WithValue(ctx, progressKey{}, progress)
}

// Options configures a client.
type Options struct {
	// Address is the server's host:port.
	Address string
	// MaxConnections bounds the concurrent calls; 0 means
	// DefaultMaxConnections.
	MaxConnections int
	// MaxResponseBytes bounds a response body; 0 means
	// DefaultMaxResponseBytes.
	MaxResponseBytes int
	// Framed refuses responses with neither a length nor chunks. The connection of
	// such a response is its only end, so a cut one may look complete.
	Framed bool
	// OneCallPerConnection closes each connection after its call. A server that
	// sends an answer twice would otherwise answer the next call with it, and
	// nothing in a plain answer names its call.
	OneCallPerConnection bool
}

// Error reports that no complete response was received. Sent is false only if no
// byte of the call was written, so the server cannot have received it. Cause is
// the context's error if the context ended the call.
type Error struct {
	Sent  bool
	Cause error
}

func (e *Error) Error() string {
	if e.Sent {
		return fmt.Sprintf("no complete response: %v", e.Cause)
	}
	return fmt.Sprintf("call not sent: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// ErrUnframed is the cause of the error of a call whose response has neither a length
// nor chunks, if Options.Framed is set.
var ErrUnframed = errors.New("the response ends with its connection")

// ErrServerGone is the cause of the error of a call whose response has neither a
// length nor chunks, if the server refuses connections at its end: a crash may have
// cut it.
var ErrServerGone = errors.New("the response ends with its connection and the server refuses another one")

// ErrServerUnknown is the cause of the error of a call whose response has neither a length
// nor chunks, if it is not known at its end whether the server still runs.
var ErrServerUnknown = errors.New("the response ends with its connection and the server cannot be reached")

// ErrClosed is the cause of the error of a call after Close.
var ErrClosed = errors.New("client is closed")

// Client calls one server. It is safe for concurrent use.
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

// Close closes idle connections and rejects further calls. Calls in progress
// are not interrupted.
func (c *Client) Close() {
	c.mu.Lock()
	idle := c.idle
	c.idle, c.closed = nil, true
	c.mu.Unlock()
	for _, s := range idle {
		s.http.CloseIdleConnections()
	}
}

// Do sends req once and reads the response into resp. It returns soon after ctx
// ends. Errors are of type *Error.
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
	s, err := c.acquireSlot()
	if err != nil {
		return &Error{Cause: err}
	}
	defer c.releaseSlot(s)
	return s.do(ctx, req, resp)
}

func (c *Client) acquireSlot() (*slot, error) {
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

func (c *Client) releaseSlot(s *slot) {
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

// slot is a fasthttp client that serves one call at a time. Its connection can
// therefore be closed when the call's context ends, and all bytes written to it
// belong to that call.
type slot struct {
	http   *fasthttp.HostClient
	framed bool        // as in Options
	single bool        // OneCallPerConnection of Options
	sent   atomic.Bool // whether the current call has written any byte
	ended  atomic.Bool // whether the current call has read the end of its connection

	mu   sync.Mutex
	ctx  context.Context // of the current call
	conn net.Conn        // latest connection, possibly closed
}

func newSlot(o Options) *slot {
	s := &slot{framed: o.Framed, single: o.OneCallPerConnection}
	s.http = &fasthttp.HostClient{
		Addr:                      o.Address,
		Dial:                      s.dial,
		MaxConns:                  maxConnsPerSlot,
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
	s.prepare(ctx)
	if s.single {
		req.SetConnectionClose()
	}
	stop := context.AfterFunc(ctx, s.abort)
	err := s.http.Do(req, resp)
	stop()
	if err == nil && s.ended.Load() { // only a response with neither a length nor chunks is read to the end of its connection
		err = s.checkUnframed(ctx)
	}
	if err == nil {
		return nil
	}
	if ctxErr := ctx.Err(); ctxErr != nil {
		err = ctxErr
		if cause := context.Cause(ctx); errors.Is(cause, context.DeadlineExceeded) {
			err = cause // a time limit that is not the deadline of ctx
		}
	}
	return &Error{Sent: s.sent.Load(), Cause: err}
}

// checkUnframed returns an error if a response that ended with its connection must
// not be taken for a whole one.
func (s *slot) checkUnframed(ctx context.Context) error {
	if s.framed {
		return ErrUnframed
	}
	state, conn := tcpprobe.Server(ctx, func(ctx context.Context) (net.Conn, error) {
		var dialer net.Dialer
		return dialer.DialContext(ctx, "tcp", s.http.Addr)
	})
	if conn != nil {
		_ = conn.Close()
	}
	switch state {
	case tcpprobe.Accepting:
		return nil
	case tcpprobe.Refusing:
		return ErrServerGone
	}
	return ErrServerUnknown
}

// prepare sets the context of the next call. It closes an idle connection that
// the server has closed: a call written to it would fail with Sent set.
func (s *slot) prepare(ctx context.Context) {
	s.mu.Lock()
	s.ctx = ctx
	conn := s.conn
	s.mu.Unlock()
	s.sent.Store(false)
	s.ended.Store(false)
	if conn != nil && !reusable(conn) {
		s.http.CloseIdleConnections()
	}
}

// abort closes the connection of the current call if its context has ended. If
// it runs late, the connection of a newer call stays open.
func (s *slot) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil && s.conn != nil {
		_ = s.conn.Close()
	}
}

// reportProgress reports that bytes of the response to the current call arrive.
func (s *slot) reportProgress() {
	s.mu.Lock()
	ctx := s.ctx
	s.mu.Unlock()
	if progress, ok := ctx.Value(progressKey{}).(func()); ok {
		progress()
	}
}

func (s *slot) dial(address string) (net.Conn, error) {
	s.mu.Lock()
	ctx := s.ctx
	s.mu.Unlock()
	dialer := net.Dialer{Timeout: dialTimeout}
	tcp, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn := &trackedConn{Conn: httpstatus.NewConn(tcp), tcp: tcp, sent: &s.sent, ended: &s.ended, progress: s.reportProgress}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn = conn
	if err := ctx.Err(); err != nil { // abort may have run before s.conn was set
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// trackedConn records whether any byte was written and whether the end of the
// connection was read.
type trackedConn struct {
	net.Conn
	tcp         net.Conn // below Conn
	sent, ended *atomic.Bool
	progress    func() // called for each read that returns bytes
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.progress()
	}
	if errors.Is(err, io.EOF) {
		c.ended.Store(true)
	}
	return n, err
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.sent.Store(true)
	}
	return n, err
}

// reusable reports whether an idle connection is open and has no unread bytes.
func reusable(conn net.Conn) bool {
	tracked, ok := conn.(*trackedConn)
	return ok && !tcpprobe.Unusable(tracked.tcp)
}
