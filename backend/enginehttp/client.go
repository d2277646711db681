// Package enginehttp implements backend.Engine over HTTP with server-sent
// events, as docs/protocols/engine.md describes. An agent uses it to drive the
// model engine beside it.
//
// Each call opens its own connection. A failed connection set-up is then the
// only case in which the engine certainly did not take the request, and a
// pooled connection that the engine has closed cannot be mistaken for it. The
// engine is on the same VM or network segment, so a connection costs little.
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
	// readBufferBytes holds one response header or one line of a stream.
	readBufferBytes = 16 << 10
)

// Client is a model engine at an address. It implements backend.Engine and is
// safe for concurrent use.
type Client struct {
	address string // host:port
}

var _ backend.Engine = (*Client)(nil)

// New returns a client of the engine at address (host:port). It opens no
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

// Export implements backend.Engine.
func (c *Client) Export(ctx context.Context, streamID string) ([]byte, error) {
	return c.call(ctx, fasthttp.MethodPost, "/v1/export", url.Values{"id": {streamID}}, nil)
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
func (c *Client) Command(ctx context.Context, o backend.Command) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("encoding an order: %w", err)
	}
	return c.callJSON(ctx, fasthttp.MethodPost, "/v1/orders", nil, body, &struct{}{})
}

// Start implements backend.Engine. Prompt and State must not change until it
// returns. When ctx ends while the answer to the start is awaited, the engine
// may hold the stream; Start then sends a cancellation. The engine can process
// the cancellation before the start, so the caller must also compare Streams
// with its own requests.
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
		if mayHold(err) {
			c.cancelLater(comp.StreamID)
		}
		return nil, err
	}
	x.request.ResetBody() // lets the prompt be freed while the stream runs
	return newStream(c, comp.StreamID, x), nil
}

// Attach resumes a stream whose connection broke, after offset tokens. Errors
// are those of Start; EngineNotFound means that the engine gave the stream up.
func (c *Client) Attach(ctx context.Context, streamID string, offset int) (backend.Stream, error) {
	query := url.Values{"id": {streamID}, "offset": {strconv.Itoa(offset)}}
	x := c.newExchange(fasthttp.MethodGet, "/v1/stream", query)
	if err := x.do(ctx); err != nil {
		x.close()
		return nil, err
	}
	return newStream(c, streamID, x), nil
}

// mayHold reports whether the engine may hold the stream of a failed start.
func mayHold(err error) bool {
	var engineErr *backend.EngineError
	return !errors.As(err, &engineErr) || engineErr.Kind == backend.EngineBroken
}

// cancelLater cancels a stream on behalf of a caller that does not wait. An
// engine that cannot be reached cancels the stream after its retention time,
// or lists it in Streams.
func (c *Client) cancelLater(streamID string) {
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
		return broken("malformed answer to "+path, err)
	}
	return nil
}

// call makes a call and returns the body of its answer.
func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	x := c.newExchange(method, path, query)
	defer x.close()
	x.request.SetBodyRaw(body)
	if err := x.do(ctx); err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, x.abort)
	defer stop()
	data, err := io.ReadAll(x.body())
	if err != nil {
		return nil, x.classify(ctx, err)
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

// dialError marks failures before the first byte of a request.
type dialError struct{ cause error }

func (e *dialError) Error() string { return "connecting: " + e.cause.Error() }
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
		return x.classify(ctx, err)
	}
	if status := x.response.StatusCode(); status >= fasthttp.StatusMultipleChoices {
		return x.refusal(ctx, status)
	}
	return nil
}

// dial opens the connection and keeps it for abort.
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
	return conn, nil
}

// body returns the body of the answer; fasthttp has no stream for an empty one.
func (x *exchange) body() io.Reader {
	if stream := x.response.BodyStream(); stream != nil {
		return stream
	}
	return bytes.NewReader(x.response.Body())
}

// abort closes the connection, which ends every read and write.
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

// classify turns a failure of the transport into an error of the interface.
func (x *exchange) classify(ctx context.Context, err error) error {
	var dial *dialError
	switch {
	case errors.As(err, &dial) && ctx.Err() == nil:
		return &backend.EngineError{Kind: backend.EngineUnreachable, Message: "no connection", Cause: err}
	case ctx.Err() != nil:
		return fmt.Errorf("calling the engine: %w", ctx.Err())
	default:
		return broken("the connection broke", err)
	}
}

func broken(message string, cause error) error {
	return &backend.EngineError{Kind: backend.EngineBroken, Message: message, Cause: cause}
}

// maxRefusalBytes bounds the body of an error answer.
const maxRefusalBytes = 64 << 10

// refusal reads {"error":{"kind","message"}}. Answers of another form say
// nothing about the request, so they count as a broken connection.
func (x *exchange) refusal(ctx context.Context, status int) error {
	stop := context.AfterFunc(ctx, x.abort)
	defer stop()
	body, err := io.ReadAll(io.LimitReader(x.body(), maxRefusalBytes))
	if err != nil {
		return x.classify(ctx, err)
	}
	var answer struct {
		Error failure `json:"error"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return broken("answer with status "+strconv.Itoa(status), err)
	}
	return answer.Error.convert()
}

// failure is an error as the protocol carries it.
type failure struct {
	Kind    backend.EngineErrorKind `json:"kind"`
	Message string                  `json:"message"`
}

// convert counts unknown kinds as broken, since they say nothing about whether
// the engine took the request.
func (f failure) convert() error {
	switch f.Kind {
	case backend.EngineRefused, backend.EngineFenced, backend.EngineNotFound:
		return &backend.EngineError{Kind: f.Kind, Message: f.Message}
	default:
		return broken(fmt.Sprintf("failure of kind %q: %s", f.Kind, f.Message), nil)
	}
}
