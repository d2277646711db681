package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/fleetconf"
	"camphorwick.dev/observe"
	"camphorwick.dev/policy/footprint"
)

// Limits of the HTTP servers of both APIs. Sizes are in bytes; maxConcurrency is
// the number of connections of one server.
const (
	readTimeout = 30 * time.Second
	idleTimeout = 75 * time.Second
	// answerGrace is the time after the deadline in which a caller may read the
	// rest of its answer.
	answerGrace = 10 * time.Second
	// A refused body is read and discarded, so that the caller can read the
	// refusal before the connection is reset: up to discardFactor times the
	// largest allowed body, for at most discardTime.
	discardFactor    = 8
	discardTime      = time.Second
	maxConcurrency   = 65536
	maxAdminBody     = 4 << 20
	headerBufferSize = 16 << 10
)

// Header names of requests and responses.
const (
	headerRequestID = "X-Request-Id"
	headerOutcome   = "Camphorwick-Outcome"
	headerTraceID   = "Camphorwick-Trace-Id"
	headerRecorded  = "Camphorwick-Recorded"
)

var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// httpStatus maps error codes to HTTP status codes.
var httpStatus = map[outcome.Code]int{
	outcome.InvalidRequest:      http.StatusBadRequest,
	outcome.PromptTooLong:       http.StatusBadRequest,
	outcome.KeyExpired:          http.StatusBadRequest,
	outcome.Unauthenticated:     http.StatusUnauthorized,
	outcome.Forbidden:           http.StatusForbidden,
	outcome.NotFound:            http.StatusNotFound,
	outcome.UnknownModel:        http.StatusNotFound,
	outcome.UnknownService:      http.StatusNotFound,
	outcome.KeyConflict:         http.StatusConflict,
	outcome.EditConflict:        http.StatusConflict,
	outcome.OrderInProgress:     http.StatusConflict,
	outcome.AnswerNotRecorded:   http.StatusGone,
	outcome.RateLimited:         http.StatusTooManyRequests,
	outcome.Overloaded:          http.StatusServiceUnavailable,
	outcome.Draining:            http.StatusServiceUnavailable,
	outcome.NoServer:            http.StatusServiceUnavailable,
	outcome.StoreUnavailable:    http.StatusServiceUnavailable,
	outcome.DeadlineUnreachable: http.StatusServiceUnavailable,
	outcome.BackendFailed:       http.StatusBadGateway,
	outcome.OrderInDoubt:        http.StatusBadGateway,
	outcome.EditInDoubt:         http.StatusBadGateway,
	outcome.DeadlineExceeded:    http.StatusGatewayTimeout,
	outcome.Cancelled:           499,
}

// exchange is one request of a caller with its response. Its strings are
// copies, because fasthttp reuses the memory of a request.
type exchange struct {
	http      *fasthttp.RequestCtx
	body      bodyRoom
	requestID string
	account   string
	plan      *fleetconf.Plan
	span      trace.Span
	// ctx carries the span; it has no deadline.
	ctx     context.Context
	started time.Time
}

// newServer returns an HTTP server with the limits that both APIs share.
// Connections per address are not limited, since all callers come through the
// platform's load balancer.
func (e *Entry) newServer(name string, maxBody int, handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Name: name, StreamRequestBody: true, MaxRequestBodySize: maxBody, ReadBufferSize: headerBufferSize,
		ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		Handler: func(c *fasthttp.RequestCtx) {
			handler(c)
			discardBody(c, int64(maxBody)*discardFactor)
			enterStage(c, footprint.Busy, nil)
			if e.draining() {
				c.SetConnectionClose()
			}
		},
		Concurrency: maxConcurrency, ConnState: trackState, NoDefaultServerHeader: true,
		ErrorHandler: func(c *fasthttp.RequestCtx, err error) {
			writeError(c, uuid.NewString(), outcome.NotRun, outcome.Wrap(err, outcome.InvalidRequest, "the request cannot be read"))
		},
	}
}

// discardBody discards up to limit bytes of a body that its handler has not
// read. It closes the connection if more is left.
func discardBody(c *fasthttp.RequestCtx, limit int64) {
	stream := c.RequestBodyStream()
	if stream == nil {
		return
	}
	_ = c.Conn().SetReadDeadline(time.Now().Add(discardTime))
	enterStage(c, footprint.Refused, func() { _ = c.Conn().Close() })
	if _, err := io.CopyN(io.Discard, stream, limit); !errors.Is(err, io.EOF) {
		c.SetConnectionClose()
	}
}

// serve runs a server until it is shut down.
func serve(s *fasthttp.Server, l net.Listener, name string) error {
	if err := s.Serve(l); err != nil {
		return fmt.Errorf("serve the %s: %w", name, err)
	}
	return nil
}

// callersServer returns the server of the callers' API.
func (e *Entry) callersServer(ctx context.Context) *fasthttp.Server {
	return e.newServer("callers", e.settings.Entry.MaxBodyBytes, func(c *fasthttp.RequestCtx) { e.handleCaller(ctx, c) })
}

// handleCaller routes one request of a caller.
func (e *Entry) handleCaller(ctx context.Context, c *fasthttp.RequestCtx) {
	setResponseDeadline(c, time.Now().Add(time.Duration(e.settings.Entry.MaxTimeoutMillis)*time.Millisecond))
	path := string(c.Path())
	switch path {
	case "/healthz":
		c.SetBodyString("ok\n")
		return
	case "/readyz":
		e.serveReady(c)
		return
	}
	x := e.beginExchange(ctx, c)
	if err := e.authenticate(x); err != nil {
		e.refuse(x, err)
		return
	}
	x.body.holder = holderOf(c)
	if err := x.body.read(c, e.settings.Entry.MaxBodyBytes); err != nil {
		e.refuse(x, err)
		return
	}
	method := string(c.Method())
	switch {
	case path == "/v1/completions" && method == http.MethodPost:
		e.serveCompletion(x)
	case path == "/v1/models" && method == http.MethodGet:
		e.serveModels(x)
	case strings.HasPrefix(path, "/v1/requests/") && method == http.MethodGet:
		e.serveResume(x, strings.TrimPrefix(path, "/v1/requests/"))
	case strings.HasPrefix(path, "/v1/orders/") && method == http.MethodGet:
		e.serveOrderQuery(x, strings.TrimPrefix(path, "/v1/orders/"))
	case strings.HasPrefix(path, "/v1/services/"):
		e.serveService(x, method, strings.TrimPrefix(path, "/v1/services/"))
	default:
		e.refuse(x, outcome.New(outcome.NotFound, "%s %s does not exist", method, path))
	}
}

// setResponseDeadline makes writes to the caller fail from answerGrace after the
// deadline on, which closes the connection. Otherwise, a caller that does not
// read its answer would block a drain. The deadline ends with the answer.
func setResponseDeadline(c *fasthttp.RequestCtx, deadline time.Time) {
	_ = c.SetWriteDeadline(deadline.Add(answerGrace))
}

func (e *Entry) serveReady(c *fasthttp.RequestCtx) {
	if err := e.Ready(); err != nil {
		c.SetStatusCode(http.StatusServiceUnavailable)
		c.SetBodyString(err.Error() + "\n")
		return
	}
	c.SetBodyString("ready\n")
}

// beginExchange starts the span of a request and sets the headers that every
// response has.
func (e *Entry) beginExchange(ctx context.Context, c *fasthttp.RequestCtx) *exchange {
	x := &exchange{http: c, requestID: string(c.Request.Header.Peek(headerRequestID)), started: time.Now()}
	if !requestIDPattern.MatchString(x.requestID) {
		x.requestID = uuid.NewString()
	}
	parent := observe.WithTraceparent(ctx, string(c.Request.Header.Peek("traceparent")))
	x.ctx, x.span = e.telemetry.Tracer.Start(parent, "entry", trace.WithAttributes(
		attribute.String("request_id", x.requestID), attribute.String("path", string(c.Path()))))
	c.Response.Header.Set(headerRequestID, x.requestID)
	c.Response.Header.Set(headerTraceID, observe.TraceID(x.ctx))
	return x
}

// authenticate finds the client account of a request's API key.
func (e *Entry) authenticate(x *exchange) error {
	header := string(x.http.Request.Header.Peek("Authorization"))
	key, ok := strings.CutPrefix(header, "Bearer ")
	if !ok || key == "" {
		return outcome.New(outcome.Unauthenticated, "the header Authorization must be \"Bearer\" and an API key")
	}
	config := e.member.Replica.Config()
	if config.Revision() == 0 {
		return outcome.New(outcome.NoServer, "VM %s has no configuration yet", e.settings.VM).WithRetryAfter(time.Second)
	}
	account, client, ok := config.ClientByKey(key)
	if !ok {
		return outcome.New(outcome.Unauthenticated, "the API key is unknown or revoked")
	}
	if client.Disabled {
		return outcome.New(outcome.Forbidden, "client account %q is disabled", account)
	}
	plan, ok := config.PlanOf(account)
	if !ok {
		return outcome.New(outcome.Forbidden, "client account %q has no plan", account)
	}
	x.account, x.plan = strings.Clone(account), plan
	x.span.SetAttributes(attribute.String("client_account", account))
	return nil
}

// refuse counts a request that did not run and responds to it.
func (e *Entry) refuse(x *exchange, err error) {
	e.metrics.refused(err)
	x.fail(outcome.NotRun, err)
}

// fail responds to a request without an answer to forward and ends its span; o is
// the outcome that the caller gets.
func (x *exchange) fail(o outcome.Outcome, err error) {
	writeError(x.http, x.requestID, o, err)
	x.end(o)
}

// end records the outcome of a request and ends its span.
func (x *exchange) end(o outcome.Outcome) {
	x.body.release()
	x.span.SetAttributes(attribute.String("outcome", string(o)))
	x.span.End()
}

func writeError(c *fasthttp.RequestCtx, requestID string, o outcome.Outcome, err error) {
	detail := outcome.DetailOf(err)
	status, ok := httpStatus[detail.Code]
	switch {
	case errors.Is(err, errBodyTooLong):
		status = http.StatusRequestEntityTooLarge
	case !ok:
		status = http.StatusInternalServerError
	}
	c.Response.Header.Set(headerRequestID, requestID)
	c.Response.Header.Set(headerOutcome, string(o))
	if detail.RetryAfterMS > 0 {
		seconds := (detail.RetryAfterMS + 999) / 1000
		c.Response.Header.Set("Retry-After", fmt.Sprint(seconds))
	}
	writeJSON(c, status, outcome.ErrorBody{RequestID: requestID, Outcome: o, Error: detail})
}

func writeJSON(c *fasthttp.RequestCtx, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		c.SetStatusCode(http.StatusInternalServerError)
		return
	}
	c.SetStatusCode(status)
	c.SetContentType("application/json")
	c.SetBody(append(data, '\n'))
}

// serveModels lists the models that the account's plan may use.
func (e *Entry) serveModels(x *exchange) {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	list := make([]model, 0, len(x.plan.Models))
	for _, m := range x.plan.Models {
		list = append(list, model{m, "model"})
	}
	x.http.Response.Header.Set(headerOutcome, string(outcome.Completed))
	writeJSON(x.http, http.StatusOK, map[string]any{"object": "list", "data": list})
	x.end(outcome.Completed)
}
