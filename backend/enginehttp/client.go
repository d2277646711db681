// Package enginehttp implements backend.Engine over HTTP with server-sent
// events, as docs/protocols/engine.md describes. An agent uses it to drive its
// model engine.
//
// Each call opens its own connection. If a request fails on a pooled connection
// that the engine has closed, the client cannot tell whether the engine received
// it; only a failed connection set-up proves that it did not. The engine is on the
// same VM or network segment, so a connection costs little.
package enginehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"camphorwick.dev/backend"
	"camphorwick.dev/cloud/httpstatus"
)

// StateBytesHeader is the request header with the length of the exported
// state that precedes the prompt in the body of a start.
const StateBytesHeader = "Engine-State-Bytes"

const (
	// CancelTimeout bounds the cancellation that Stream.Close sends.
	CancelTimeout = 2 * time.Second
	// callTimeout bounds a call whose context has no deadline. It leaves
	// time for the export of the state of a long prompt.
	callTimeout = 60 * time.Second
	// readBufferBytes bounds a response header. It is also the initial size of
	// the buffer for a line of a stream, which grows up to maxLineBytes.
	readBufferBytes = 16 << 10
	// identityLength is what fasthttp returns as the length of a body that ends with
	// its connection.
	identityLength = -2
	// maxAnswerBytes bounds the body of a JSON answer, maxStateBytes that of an exported
	// state.
	maxAnswerBytes = 16 << 20
	maxStateBytes  = 256 << 20
)

// Client is a model engine at an address. It implements backend.Engine and is
// safe for concurrent use.
type Client struct {
	address string // host:port
}

var _ backend.Engine = (*Client)(nil)

// New returns a client for the engine at address (host:port). It opens no
// connection.
func New(address string) *Client { return &Client{address: address} }

// Info implements backend.Engine.
func (c *Client) Info(ctx context.Context) (backend.EngineInfo, error) {
	var info backend.EngineInfo
	err := c.callJSON(ctx, fasthttp.MethodGet, "/v1/info", nil, nil, &info)
	return info, err
}

// Streams implements backend.Engine.
func (c *Client) Streams(ctx context.Context) ([]backend.StreamInfo, error) {
	var streams []backend.StreamInfo
	err := c.callJSON(ctx, fasthttp.MethodGet, "/v1/streams", nil, nil, &streams)
	return streams, err
}

// Cancel implements backend.Engine.
func (c *Client) Cancel(ctx context.Context, streamID string) error {
	_, err := c.call(ctx, fasthttp.MethodDelete, "/v1/stream", url.Values{"id": {streamID}}, nil)
	return err
}

// Export implements backend.Engine. A state that ends with its connection is
// refused: unlike the JSON answers, it does not show whether it is whole. So is an
// empty one, because a stream that starts without a state starts from its prompt.
func (c *Client) Export(ctx context.Context, streamID string) ([]byte, error) {
	x := c.newExchange(fasthttp.MethodPost, "/v1/export", url.Values{"id": {streamID}})
	state, err := c.run(ctx, x, nil, maxStateBytes)
	if err != nil {
		return nil, err
	}
	if x.response.Header.ContentLength() == identityLength {
		return nil, brokenError("the exported state has neither a length nor chunks", nil)
	}
	if len(state) == 0 {
		return nil, brokenError("the exported state is empty", nil)
	}
	return state, nil
}

// Load implements backend.Engine.
func (c *Client) Load(ctx context.Context) (backend.LoadReport, error) {
	var report backend.LoadReport
	err := c.callJSON(ctx, fasthttp.MethodGet, "/v1/load", nil, nil, &report)
	return report, err
}

// Events implements backend.Engine.
func (c *Client) Events(ctx context.Context, after uint64) ([]backend.CacheEvent, error) {
	var events []backend.CacheEvent
	query := url.Values{"after": {strconv.FormatUint(after, 10)}}
	err := c.callJSON(ctx, fasthttp.MethodGet, "/v1/events", query, nil, &events)
	return events, err
}

// Command implements backend.Engine.
func (c *Client) Command(ctx context.Context, command backend.Command) error {
	body, err := json.Marshal(command)
	if err != nil {
		return fmt.Errorf("encode command: %w", err)
	}
	return c.callJSON(ctx, fasthttp.MethodPost, "/v1/orders", nil, body, &struct{}{})
}

// Start implements backend.Engine. Prompt and State must not change until it
// returns. If ctx ends before the engine has answered, the engine may hold the
// stream; Start then sends a cancellation. If the engine processes the
// cancellation before the start, the stream remains, so the caller must also
// look in Streams for streams that it does not know and cancel them.
func (c *Client) Start(ctx context.Context, comp backend.Completion) (backend.Stream, error) {
	query := url.Values{
		"id":         {comp.StreamID},
		"model":      {comp.Model},
		"max_tokens": {strconv.Itoa(comp.MaxTokens)},
		"priority":   {strconv.Itoa(comp.Priority)},
	}
	if comp.PrefillOnly {
		query.Set("prefill_only", "true")
	}
	x := c.newExchange(fasthttp.MethodPost, "/v1/streams", query)
	if len(comp.State) > 0 {
		x.request.Header.Set(StateBytesHeader, strconv.Itoa(len(comp.State)))
		body := io.MultiReader(bytes.NewReader(comp.State), bytes.NewReader(comp.Prompt))
		x.request.SetBodyStream(body, len(comp.State)+len(comp.Prompt))
	} else {
		x.request.SetBodyRaw(comp.Prompt)
	}
	if err := x.do(ctx); err != nil {
		x.close()
		if mayHoldStream(err) {
			c.cancelInBackground(comp.StreamID)
		}
		return nil, err
	}
	x.request.ResetBody() // so that the prompt can be freed while the stream runs
	return newStream(c, comp.StreamID, x), nil
}

// Attach resumes a stream whose connection broke, after offset tokens. Errors
// are those of Start; EngineNotFound means that the engine no longer holds the stream.
func (c *Client) Attach(ctx context.Context, streamID string, offset int) (backend.Stream, error) {
	query := url.Values{"id": {streamID}, "offset": {strconv.Itoa(offset)}}
	x := c.newExchange(fasthttp.MethodGet, "/v1/stream", query)
	if err := x.do(ctx); err != nil {
		x.close()
		return nil, err
	}
	return newStream(c, streamID, x), nil
}

// mayHoldStream reports whether the engine may hold the stream of a failed start.
func mayHoldStream(err error) bool {
	var engineErr *backend.EngineError
	return !errors.As(err, &engineErr) || engineErr.Kind == backend.EngineBroken
}

// cancelInBackground cancels a stream without delaying the caller. If the call
// fails, the engine ends the stream after its retention time, or, if it has none,
// lists the stream in Streams until the caller cancels it.
func (c *Client) cancelInBackground(streamID string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), CancelTimeout)
		defer cancel()
		_ = c.Cancel(ctx, streamID)
	}()
}

// callJSON makes a call and decodes its answer.
func (c *Client) callJSON(ctx context.Context, method, path string, query url.Values, body []byte, answer any) error {
	data, err := c.call(ctx, method, path, query, body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return brokenError("malformed answer to "+path, err)
	}
	return nil
}

// call makes a call and returns the body of its answer.
func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte) ([]byte, error) {
	return c.run(ctx, c.newExchange(method, path, query), body, maxAnswerBytes)
}

// run sends the request of a call, reads the body of its answer, which may have limit
// bytes, and closes x.
func (c *Client) run(ctx context.Context, x *exchange, body []byte, limit int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	defer x.close()
	x.request.SetBodyRaw(body)
	if err := x.do(ctx); err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, x.abort)
	defer stop()
	data, err := io.ReadAll(io.LimitReader(x.body(), limit+1))
	if err != nil {
		return nil, x.transportError(ctx, err)
	}
	if int64(len(data)) > limit {
		return nil, brokenError(fmt.Sprintf("the answer has more than %d bytes", limit), nil)
	}
	return data, nil
}

// exchange is one request with its own connection.
type exchange struct {
	client   fasthttp.HostClient
	request  fasthttp.Request
	response fasthttp.Response

	mu      sync.Mutex // guards conn and aborted
	conn    net.Conn
	aborted bool
}

func (c *Client) newExchange(method, path string, query url.Values) *exchange {
	x := &exchange{}
	x.client = fasthttp.HostClient{
		Addr:                      c.address,
		StreamResponseBody:        true,
		ReadBufferSize:            readBufferBytes,
		MaxConns:                  1,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	x.request.Header.SetMethod(method)
	x.request.SetRequestURI("http://" + c.address + path + "?" + query.Encode())
	x.request.SetConnectionClose()
	x.response.StreamBody = true
	return x
}

// dialError is a failure to connect, before the first byte of a request.
type dialError struct{ cause error }

func (e *dialError) Error() string { return "connect: " + e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

// do sends the request and waits for the response header. The body is left
// in response.BodyStream. Errors are *backend.EngineError or those of ctx.
func (x *exchange) do(ctx context.Context) error {
	x.client.Dial = func(address string) (net.Conn, error) { return x.dial(ctx, address) }
	stop := context.AfterFunc(ctx, x.abort)
	err := x.client.Do(&x.request, &x.response)
	if !stop() && err == nil {
		err = ctx.Err() // abort has closed the connection
	}
	if err != nil {
		return x.transportError(ctx, err)
	}
	if status := x.response.StatusCode(); status >= fasthttp.StatusMultipleChoices {
		return x.readError(ctx, status)
	}
	return nil
}

// dial opens the connection and stores it for abort.
func (x *exchange) dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: backend.DialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &dialError{err}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.aborted {
		_ = conn.Close()
		return nil, &dialError{net.ErrClosed}
	}
	x.conn = conn
	return httpstatus.NewConn(conn), nil
}

// body returns the body of the answer; fasthttp has no stream for an empty one.
func (x *exchange) body() io.Reader {
	if stream := x.response.BodyStream(); stream != nil {
		return stream
	}
	return bytes.NewReader(x.response.Body())
}

// abort closes the connection, which makes pending reads and writes fail.
func (x *exchange) abort() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.aborted = true
	if x.conn != nil {
		_ = x.conn.Close()
	}
}

// close releases the connection. No read of the body may be in progress.
func (x *exchange) close() {
	x.abort()
	_ = x.response.CloseBodyStream() // the connection is closed already
}

// transportError converts an error of the transport to an *EngineError or an
// error that wraps the one of ctx.
func (x *exchange) transportError(ctx context.Context, err error) error {
	var dial *dialError
	switch {
	case errors.As(err, &dial) && ctx.Err() == nil:
		return &backend.EngineError{Kind: backend.EngineUnreachable, Message: "no connection", Cause: err}
	case ctx.Err() != nil:
		return fmt.Errorf("call engine: %w", ctx.Err())
	default:
		return brokenError("the connection broke", err)
	}
}

func brokenError(message string, cause error) error {
	return &backend.EngineError{Kind: backend.EngineBroken, Message: message, Cause: cause}
}

// maxErrorBytes bounds the body of an error answer.
const maxErrorBytes = 64 << 10

// readError decodes {"error":{"kind","message"}}. An answer of another form does
// not say whether the engine accepted the request, so it counts as a broken
// connection.
func (x *exchange) readError(ctx context.Context, status int) error {
	stop := context.AfterFunc(ctx, x.abort)
	defer stop()
	body, err := io.ReadAll(io.LimitReader(x.body(), maxErrorBytes))
	if err != nil {
		return x.transportError(ctx, err)
	}
	var answer struct {
		Error errorBody `json:"error"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return brokenError("malformed error answer with status "+strconv.Itoa(status), err)
	}
	return answer.Error.engineError()
}

// errorBody is an error as encoded by the protocol.
type errorBody struct {
	Kind    backend.EngineErrorKind `json:"kind"`
	Message string                  `json:"message"`
}

// engineError returns unknown kinds as EngineBroken, since they do not say
// whether the engine accepted the request.
func (f errorBody) engineError() error {
	switch f.Kind {
	case backend.EngineRefused, backend.EngineFenced, backend.EngineNotFound:
		return &backend.EngineError{Kind: f.Kind, Message: f.Message}
	default:
		return brokenError(fmt.Sprintf("unknown error kind %q: %s", f.Kind, f.Message), nil)
	}
}
