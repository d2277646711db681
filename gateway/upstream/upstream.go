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
	"sync"
	"time"

	"camphorwick.dev/cloud/tcpprobe"
)

const (
	// dialTimeout bounds a dial within or between the data centres of one region.
	dialTimeout = time.Second
	// ackTimeout is the time after which a connection is closed if the server
	// has not acknowledged sent data.
	ackTimeout = 1500 * time.Millisecond
	// largeRequest is the size from which a request is written concurrently
	// with reading the answer, because the server may answer before it has read
	// the request.
	largeRequest = 16 << 10
	readBuffer   = 4 << 10
	// maxSkipped bounds the answers to other requests that are skipped before
	// the expected one.
	maxSkipped = 2
	// maxInterim bounds the interim answers (1xx), which a failing server may send
	// without end.
	maxInterim = 16
	// maxHeadBytes bounds the head of an answer together with the interim answers before
	// it, in bytes. The parser itself keeps a head of any size in memory.
	maxHeadBytes = 64 << 10
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
	br        *bufio.Reader // reads through limit
	limit     *headLimit
	address   string
	expires   time.Time // end of the idle timeout
	idleSince time.Time
	kept      bool // the connection has carried a request
}

// Request is a serialized request.
type Request struct {
	Method string
	Head   []byte // request line and headers with the final empty line
	Body   []byte
	// AtMostOnce is set if the request must not be sent again once it may have
	// run.
	AtMostOnce bool
	// IsAnswer reports whether an answer with these headers belongs to this request.
	// kept is set if the connection has carried earlier requests, whose answers a
	// failing server may repeat.
	IsAnswer func(h http.Header, kept bool) bool
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
func (cn *conn) send(r *Request) (chan error, error) {
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
	cn.limit.begin(maxHeadBytes)
	defer cn.limit.end()
	for skipped, interim := 0, 0; ; {
		answer, err := http.ReadResponse(cn.br, request)
		if err != nil && cn.limit.reached() { // the parser complains about the cut line
			err = errHeadTooLong
		}
		if err != nil {
			return nil, err
		}
		if err := checkStatus(answer); err != nil {
			return nil, err
		}
		if answer.StatusCode < http.StatusOK {
			if interim++; interim > maxInterim {
				return nil, errTooManyInterim
			}
			continue
		}
		if r.IsAnswer == nil || r.IsAnswer(answer.Header, cn.kept) {
			return answer, nil
		}
		if skipped >= maxSkipped {
			return nil, errForeignAnswer
		}
		skipped++
		cn.limit.end()
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			return nil, err
		}
		cn.limit.begin(maxHeadBytes)
	}
}

// checkStatus returns an error if the status of an answer says nothing of where its head, or the
// answer, ends. What follows it must not be read as another answer.
func checkStatus(answer *http.Response) error {
	switch status := answer.StatusCode; {
	case status < http.StatusContinue, status == http.StatusSwitchingProtocols:
		return &StatusError{status}
	case status < http.StatusOK && statesBody(answer):
		return errInterimBody
	}
	return nil
}

// statesBody reports whether the head of an answer states that a body follows.
func statesBody(answer *http.Response) bool {
	length := answer.Header.Get("Content-Length")
	return length != "" && length != "0" || len(answer.TransferEncoding) > 0
}

// StatusError means that an answer has a status that a server must not send.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("answer with invalid status %03d", e.Status) }

var (
	// errForeignAnswer means that maxSkipped answers were skipped and the next one
	// belongs to another request, too.
	errForeignAnswer  = errors.New("all answers received belong to other requests")
	errTooManyInterim = errors.New("too many interim answers")
	errInterimBody    = errors.New("interim answer with a body")
	errHeadTooLong    = errors.New("the head of the answer exceeds the size limit")
)

// headLimit reads from a connection and bounds the bytes that are read between begin and
// end.
type headLimit struct {
	from    io.Reader
	limited bool
	left    int // bytes that may still be read
}

func (l *headLimit) begin(limit int) { l.limited, l.left = true, limit }

// reached reports whether the limit was reached.
func (l *headLimit) reached() bool { return l.limited && l.left <= 0 }

func (l *headLimit) end() { l.limited = false }

func (l *headLimit) Read(p []byte) (int, error) {
	if !l.limited {
		return l.from.Read(p)
	}
	if l.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.from.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	if c.OnDial != nil {
		c.OnDial()
	}
	nc, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	limit := &headLimit{from: nc}
	return &conn{Conn: nc, br: bufio.NewReaderSize(limit, readBuffer), limit: limit, address: address}, nil
}

// Probe finds out whether the server at address accepts connections. A connection that it
// opens is kept for the next request.
func (c *Client) Probe(ctx context.Context, address string) tcpprobe.State {
	var last *conn
	state, opened := tcpprobe.Server(ctx, func(ctx context.Context) (net.Conn, error) {
		cn, err := c.dial(ctx, address)
		if err != nil {
			return nil, err
		}
		last = cn
		return cn.Conn, nil
	})
	if opened != nil {
		c.putIdle(last, nil)
	}
	return state
}
