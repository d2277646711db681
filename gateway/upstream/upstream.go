// Package upstream sends HTTP/1.1 requests to backend servers over persistent
// connections. The standard library parses the answers, but its client is not
// used: it retries requests on its own, and a connection must be closed as soon
// as anything unexpected is read from it.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds a dial within or between the data centres of one region.
	dialTimeout = time.Second
	// defaultIdleTimeout is how long an idle connection is kept if the server
	// states no timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the stated timeout, so that the server does
	// not close the connection while a request is on its way.
	idleMargin = 700 * time.Millisecond
	// maxIdleAtMostOnce is the longest idle time of a connection for a request
	// that must not be retried, because a server may drop an idle connection
	// without notice.
	maxIdleAtMostOnce = time.Second
	// ackTimeout is the time after which a connection is closed if the server
	// has not acknowledged sent data.
	ackTimeout = 1500 * time.Millisecond
	// largeRequest is the size from which a request is written concurrently
	// with reading the answer, because the server may answer before it has read
	// the request.
	largeRequest = 16 << 10
	readBuffer   = 4 << 10
	// probeTimeout bounds Refuses, which delays the end of an answer.
	probeTimeout = 150 * time.Millisecond
	// maxSkipped bounds the answers to other requests that are skipped before
	// the expected one.
	maxSkipped = 2
	// maxInterim bounds the interim answers (1xx), which a failing server may send
	// without end.
	maxInterim = 16
)

// Error says why there is no answer.
type Error struct {
	// Sent is set if bytes of the request may have reached the server, so that
	// it may have run.
	Sent    bool
	Address string
	Cause   error
}

func (e *Error) Error() string {
	if e.Sent {
		return fmt.Sprintf("no answer from %s: %v", e.Address, e.Cause)
	}
	return fmt.Sprintf("no connection to %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Client manages the connections to all servers. It is safe for concurrent use.
type Client struct {
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[string][]*conn // by address, the most recently used last
	// OnDial is called before each dial.
	OnDial func()
}

// New returns a client without connections.
func New() *Client {
	c := &Client{idle: map[string][]*conn{}}
	c.dialer = net.Dialer{Timeout: dialTimeout, Control: UserTimeoutControl(ackTimeout),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}}
	return c
}

type conn struct {
	net.Conn
	br        *bufio.Reader
	address   string
	expires   time.Time // end of the idle timeout
	idleSince time.Time
}

// Request is a serialized request.
type Request struct {
	Method string
	Head   []byte // request line and headers with the final empty line
	Body   []byte
	// AtMostOnce is set if the request must not be sent again once it may have
	// run.
	AtMostOnce bool
	// IsAnswer reports whether an answer with these headers belongs to this
	// request.
	IsAnswer func(http.Header) bool
}

// Framing is how an answer marks the end of its body.
type Framing string

// The framings of HTTP/1.1.
const (
	// FramedByLength is a body whose length is stated or follows from the status.
	FramedByLength Framing = "length"
	FramedByChunks Framing = "chunks"
	// FramedByClose is a body that ends with its connection.
	FramedByClose Framing = "close"
)

// framingOf returns the framing of an answer.
func framingOf(answer *http.Response) Framing {
	switch {
	case len(answer.TransferEncoding) > 0:
		return FramedByChunks
	case answer.ContentLength >= 0, answer.Request.Method == http.MethodHead:
		return FramedByLength
	}
	return FramedByClose
}

// Response is the answer of a server. Close must be called.
type Response struct {
	Status  int
	Header  http.Header
	Framing Framing
	Body    io.Reader

	client    *Client
	conn      *conn
	answer    *http.Response
	body      bodyReader   // Body
	written   <-chan error // result of a write in the background; nil if there is none
	stop      func() bool  // keeps the context of the request from closing conn; false if it has ended
	closeOnce sync.Once
}

// Do sends r to address. When ctx ends, the connection is closed, so that the
// server stops. The error is an *Error.
func (c *Client) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	cn := c.takeIdle(address, r.AtMostOnce)
	if cn == nil {
		var err error
		if cn, err = c.dial(ctx, address); err != nil {
			return nil, &Error{Address: address, Cause: err}
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	written, err := cn.send(r)
	if err != nil {
		return nil, cn.fail(ctx, stop, err)
	}
	answer, err := cn.receive(r)
	if err != nil {
		return nil, cn.fail(ctx, stop, err)
	}
	response := &Response{Status: answer.StatusCode, Header: answer.Header, Framing: framingOf(answer),
		client: c, conn: cn, answer: answer, body: bodyReader{from: answer.Body}, written: written, stop: stop}
	response.Body = &response.body
	return response, nil
}

// bodyReader reads a body and records whether its end was reached, which the end of
// a reader with a limit does not show.
type bodyReader struct {
	from  io.Reader
	ended bool
}

func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.from.Read(p)
	b.ended = b.ended || errors.Is(err, io.EOF)
	return n, err
}

func (cn *conn) fail(ctx context.Context, stop func() bool, err error) error {
	stop()
	_ = cn.Close()
	if ctx.Err() != nil { // the connection was closed for this reason
		err = context.Cause(ctx)
	}
	return &Error{Sent: true, Address: cn.address, Cause: err}
}

// send writes r. A large request is written in the background; the channel,
// otherwise nil, then receives the result.
func (cn *conn) send(r *Request) (<-chan error, error) {
	if len(r.Head)+len(r.Body) <= largeRequest {
		_, err := cn.Write(append(r.Head, r.Body...))
		return nil, err
	}
	written := make(chan error, 1)
	go func() {
		buffers := net.Buffers{r.Head, r.Body}
		_, err := buffers.WriteTo(cn.Conn)
		written <- err
	}()
	return written, nil
}

// receive reads the head of the answer to r and skips late answers to earlier
// requests.
func (cn *conn) receive(r *Request) (*http.Response, error) {
	request := &http.Request{Method: r.Method}
	for skipped, interim := 0, 0; ; {
		answer, err := http.ReadResponse(cn.br, request)
		if err != nil {
			return nil, err
		}
		if answer.StatusCode < http.StatusOK {
			if interim++; interim > maxInterim {
				return nil, errTooManyInterim
			}
			continue
		}
		if r.IsAnswer == nil || r.IsAnswer(answer.Header) {
			return answer, nil
		}
		if skipped >= maxSkipped {
			return nil, errForeignAnswer
		}
		skipped++
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			return nil, err
		}
	}
}

var (
	// errForeignAnswer means that maxSkipped answers were skipped and the next one
	// belongs to another request, too.
	errForeignAnswer  = errors.New("all answers received belong to other requests")
	errTooManyInterim = errors.New("too many interim answers")
)

// Close keeps the connection for further requests if reuse is set, the answer was
// read to its end, and the connection can be used again. Otherwise it closes the
// connection.
func (r *Response) Close(reuse bool) {
	r.closeOnce.Do(func() {
		stillOpen := r.stop()
		if !reuse || !r.body.ended || !stillOpen || r.answer.Close || r.conn.br.Buffered() > 0 || !r.requestWritten() {
			_ = r.conn.Close()
			return
		}
		r.client.putIdle(r.conn, r.answer.Header)
	})
}

// Discard reads the rest of the body, at most limit bytes of it and no longer than
// wait. It reports whether the answer was read to its end.
func (r *Response) Discard(limit int64, wait time.Duration) bool {
	_ = r.conn.SetReadDeadline(time.Now().Add(wait)) // fails if the connection is closed, as the read then does
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, limit))
	_ = r.conn.SetReadDeadline(time.Time{})
	return r.body.ended
}

// requestWritten reports whether the complete request was written.
func (r *Response) requestWritten() bool {
	if r.written == nil {
		return true
	}
	select {
	case err := <-r.written:
		return err == nil
	default:
		return false
	}
}

func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	if c.OnDial != nil {
		c.OnDial()
	}
	nc, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, br: bufio.NewReaderSize(nc, readBuffer), address: address}, nil
}

// Refuses reports whether the server at address refuses a connection, as after the
// end of its process. It returns false if that is not known. A connection that it
// opens is kept for the next request.
func (c *Client) Refuses(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	cn, err := c.dial(ctx, address)
	if err != nil {
		return errors.Is(err, unix.ECONNREFUSED)
	}
	c.putIdle(cn, nil)
	return false
}

// takeIdle returns an idle connection that is still usable, or nil.
func (c *Client) takeIdle(address string, atMostOnce bool) *conn {
	now := time.Now()
	for {
		c.mu.Lock()
		list := c.idle[address]
		if len(list) == 0 {
			c.mu.Unlock()
			return nil
		}
		cn := list[len(list)-1]
		list[len(list)-1] = nil
		c.idle[address] = list[:len(list)-1]
		c.mu.Unlock()
		if now.Before(cn.expires) && !(atMostOnce && now.Sub(cn.idleSince) > maxIdleAtMostOnce) && !Unusable(cn.Conn) {
			return cn
		}
		_ = cn.Close()
	}
}

func (c *Client) putIdle(cn *conn, h http.Header) {
	idleTimeout := defaultIdleTimeout
	if stated, ok := keepAliveTimeout(h); ok {
		idleTimeout = stated - idleMargin
	}
	if idleTimeout <= 0 {
		_ = cn.Close()
		return
	}
	cn.idleSince = time.Now()
	cn.expires = cn.idleSince.Add(idleTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[cn.address] = append(c.idle[cn.address], cn)
}

// keepAliveTimeout returns the timeout parameter of a Keep-Alive header.
func keepAliveTimeout(h http.Header) (time.Duration, bool) {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}

// Sweep closes the connections whose idle timeout has passed.
func (c *Client) Sweep(now time.Time) {
	c.mu.Lock()
	var expired []*conn
	for address, list := range c.idle {
		kept := list[:0]
		for _, cn := range list {
			if now.Before(cn.expires) {
				kept = append(kept, cn)
			} else {
				expired = append(expired, cn)
			}
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(c.idle, address)
		} else {
			c.idle[address] = kept
		}
	}
	c.mu.Unlock()
	for _, cn := range expired {
		_ = cn.Close()
	}
}

// Forget closes the idle connections to address.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	list := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, cn := range list {
		_ = cn.Close()
	}
}

// Unusable reports whether an idle connection must not be used, because it has
// unexpected data, was closed, or cannot be checked.
func Unusable(nc net.Conn) bool {
	tcp, ok := nc.(*net.TCPConn)
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
