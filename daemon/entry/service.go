package entry

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"go.opentelemetry.io/otel/attribute"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/api/wire"
	"camphorwick.dev/observe"
)

// headerTimeout is the request header with the timeout of a service call in
// milliseconds; completions have it in the body.
const headerTimeout = "Camphorwick-Timeout-Ms"

// maxServiceAttempts bounds the number of agents that one call is sent to.
const maxServiceAttempts = 4

// serviceCall is a validated call of a plain service.
type serviceCall struct {
	exchange *exchange
	request  *wire.ServiceRequest
	// routingKey determines which agent is tried first: the client account and
	// the order key of an order, or the request id of an idempotent call.
	routingKey string
	deadline   time.Time
	// mayHaveRun is set if an attempt was sent to an agent that has not reported
	// that it did not run. A call without a final answer then is failed (if
	// idempotent) or unknown, else not_run.
	mayHaveRun bool
}

// serveService answers /v1/services/{service}/{path}.
func (e *Entry) serveService(x *exchange, method, rest string) {
	c, err := e.parseCall(x, method, rest)
	if err != nil {
		e.refuse(x, err)
		return
	}
	release, err := e.applyLimits(x, 0)
	if err != nil {
		e.refuse(x, err)
		return
	}
	defer release()
	e.budget.Request(time.Now())
	ctx, cancel := context.WithCancelCause(x.ctx)
	defer cancel(nil)
	ctx, stopTimer := context.WithDeadline(ctx, c.deadline)
	defer stopTimer()
	defer e.watchCaller(x.http.Conn(), cancel)()
	response := e.callService(ctx, c)
	e.log.Info("call ended", "request_id", x.requestID, "client_account", x.account, "service", c.request.Service,
		"idempotent", c.request.Idempotent, "outcome", response.Outcome.String(), "error", response.Error.GetMessage(),
		"duration_ms", time.Since(x.started).Milliseconds(), "trace_id", observe.TraceID(x.ctx))
	e.metrics.callEnded(c, outcomes[response.Outcome])
	x.writeResponse(response)
}

// parseCall parses a service call and checks it against the plan. Errors are
// *outcome.Error.
func (e *Entry) parseCall(x *exchange, method, rest string) (*serviceCall, error) {
	name, path, _ := strings.Cut(rest, "/")
	path = "/" + path
	service, ok := x.plan.Service(name)
	if !ok {
		return nil, outcome.New(outcome.UnknownService, "the plan includes no service %q", name)
	}
	timeout := e.settings.Entry.DefaultTimeoutMillis
	if text := string(x.http.Request.Header.Peek(headerTimeout)); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > e.settings.Entry.MaxTimeoutMillis {
			return nil, outcome.New(outcome.InvalidRequest, "%s is %q; allowed: 1 to %d", headerTimeout, text, e.settings.Entry.MaxTimeoutMillis)
		}
		timeout = n
	}
	idempotent := service.IsIdempotent(method, path)
	if query := string(x.http.URI().QueryString()); query != "" {
		path += "?" + query
	}
	c := &serviceCall{exchange: x, deadline: x.started.Add(time.Duration(timeout) * time.Millisecond)}
	c.request = &wire.ServiceRequest{RequestId: x.requestID, ClientAccount: x.account, Service: name, Method: method,
		Path: path, ContentType: string(x.http.Request.Header.ContentType()),
		Body: append([]byte(nil), x.http.PostBody()...), Idempotent: idempotent}
	c.routingKey = x.requestID
	if !idempotent {
		key := string(x.http.Request.Header.Peek("Idempotency-Key"))
		if key == "" {
			return nil, outcome.New(outcome.InvalidRequest, "%s %s is not idempotent: the header Idempotency-Key with a UUIDv7 is needed", method, path)
		}
		c.request.OrderKey, c.routingKey = key, x.account+"/"+key
	}
	return c, nil
}

// callService sends the call to agents in turn until one gives a final answer.
// Sending an order to a second agent is safe, because each agent claims the
// order key before it sends the order.
func (e *Entry) callService(ctx context.Context, c *serviceCall) *wire.ServiceResponse {
	tried := map[string]bool{}
	failure := outcome.New(outcome.NoServer, "no backend server of service %q can be reached", c.request.Service).WithRetryAfter(time.Second)
	for range maxServiceAttempts {
		e.mu.Lock()
		vm, ok := e.table.PickServiceExcept(time.Now(), c.request.Service, c.routingKey, func(vm string) bool { return tried[vm] })
		e.mu.Unlock()
		if !ok {
			break
		}
		tried[vm] = true
		response, err := e.callAgent(ctx, c, vm)
		if err == nil && !c.retryable(response) {
			return response
		}
		if err != nil || response.Outcome == wire.Outcome_OUTCOME_FAILED {
			e.agentFailed(vm)
		}
		if err == nil {
			err = fromWire(response.Error)
		}
		failure = outcome.From(err)
		if ctx.Err() != nil || !e.budget.TryRetry(time.Now()) {
			break
		}
	}
	if cause := context.Cause(ctx); cause != nil {
		failure = outcome.From(cause)
	}
	return &wire.ServiceResponse{Outcome: c.outcome(), Error: &wire.Error{Code: string(failure.Code),
		Message: failure.Message, RetryAfterMs: uint32(failure.RetryAfter.Milliseconds())}}
}

// retryable reports whether the call may be sent to another agent: it is
// idempotent and failed, or it did not run for a reason that concerns only
// this agent.
func (c *serviceCall) retryable(r *wire.ServiceResponse) bool {
	if r.Outcome == wire.Outcome_OUTCOME_FAILED {
		return c.request.Idempotent
	}
	if r.Outcome != wire.Outcome_OUTCOME_NOT_RUN {
		return false
	}
	switch outcome.Code(r.Error.GetCode()) {
	case outcome.Draining, outcome.NoServer, outcome.Overloaded, outcome.UnknownService:
		return true
	}
	return false
}

// outcome returns the outcome of a call without a final answer.
func (c *serviceCall) outcome() wire.Outcome {
	switch {
	case !c.mayHaveRun:
		return wire.Outcome_OUTCOME_NOT_RUN
	case c.request.Idempotent:
		return wire.Outcome_OUTCOME_FAILED
	}
	return wire.Outcome_OUTCOME_UNKNOWN
}

// callAgent sends the call to one agent. After an error, the call may have run
// there unless mayHaveRun is still false.
func (e *Entry) callAgent(ctx context.Context, c *serviceCall, vm string) (*wire.ServiceResponse, error) {
	ctx, span := e.telemetry.Tracer.Start(ctx, "attempt")
	defer span.End()
	span.SetAttributes(attribute.String("agent", vm))
	stream, lost, err := e.member.Node.Open(ctx, vm)
	if err != nil {
		return nil, outcome.Wrap(err, outcome.NoServer, "VM %s cannot be reached", vm)
	}
	defer stream.Close()
	c.request.AttemptId = uuid.NewString()
	c.request.RemainingMs = remainingMillis(c.deadline)
	c.request.Traceparent = observe.Traceparent(ctx)
	earlierMayHaveRun := c.mayHaveRun
	c.mayHaveRun = true
	if err := send(ctx, lost, stream, &wire.StreamHeader{Body: &wire.StreamHeader_Service{Service: c.request}}); err != nil {
		return nil, outcome.Wrap(err, outcome.BackendFailed, "the connection to VM %s broke", vm)
	}
	messages := make(chan *wire.AgentMessage, 1)
	done := make(chan struct{})
	defer close(done)
	go receive(stream, messages, done)
	select {
	case <-ctx.Done():
		stream.CloseWith(&wire.EntryMessage{Body: &wire.EntryMessage_Cancel{Cancel: &wire.Cancel{AttemptId: c.request.AttemptId}}})
		return nil, context.Cause(ctx)
	case <-lost.Done():
		return nil, outcome.Wrap(errSuspected, outcome.BackendFailed, "VM %s did not answer", vm)
	case m := <-messages:
		response := m.GetService()
		if response == nil {
			return nil, outcome.Wrap(errStreamEnded, outcome.BackendFailed, "VM %s did not answer", vm)
		}
		if response.Outcome == wire.Outcome_OUTCOME_NOT_RUN {
			c.mayHaveRun = earlierMayHaveRun
			if earlierMayHaveRun {
				// An earlier agent may still run the order.
				response.Outcome = c.outcome()
			}
		}
		return response, nil
	}
}

// writeResponse sends the service's answer, or an error, to the caller.
func (x *exchange) writeResponse(r *wire.ServiceResponse) {
	o := outcomes[r.Outcome]
	h := &x.http.Response.Header
	if r.Recorded && o == outcome.Completed {
		h.Set(headerRecorded, "true")
	}
	if o != outcome.Completed || r.Error != nil { // a completed order has an error if its answer was not recorded
		x.fail(o, fromWire(r.Error))
		return
	}
	h.Set(headerOutcome, string(o))
	h.SetContentType(r.ContentType)
	x.http.SetStatusCode(int(r.Status))
	x.http.SetBody(r.Body)
	x.end(o)
}

var outcomes = map[wire.Outcome]outcome.Outcome{
	wire.Outcome_OUTCOME_COMPLETED: outcome.Completed,
	wire.Outcome_OUTCOME_NOT_RUN:   outcome.NotRun,
	wire.Outcome_OUTCOME_FAILED:    outcome.Failed,
	wire.Outcome_OUTCOME_UNKNOWN:   outcome.Unknown,
}

// orderAnswer is the body of GET /v1/orders/{key}.
type orderAnswer struct {
	Key     string          `json:"key"`
	Service string          `json:"service"`
	Outcome outcome.Outcome `json:"outcome"`
	// State is the recorded state in the order journal: "absent", "claimed",
	// "abandoned" or "done".
	State  string `json:"state"`
	Status uint32 `json:"http_status,omitempty"`
	Body   string `json:"body,omitempty"`
	// BodyOmitted is set if the answer was too long to be recorded.
	BodyOmitted bool `json:"body_omitted,omitempty"`
}

// serveOrderQuery answers with the recorded state of an order of the account.
// The query parameter service names the service; it may be omitted if the plan
// has only one.
func (e *Entry) serveOrderQuery(x *exchange, key string) {
	service := string(x.http.QueryArgs().Peek("service"))
	if service == "" && len(x.plan.Services) == 1 {
		service = x.plan.Services[0].Name
	}
	if _, ok := x.plan.Service(service); !ok {
		e.refuse(x, outcome.New(outcome.UnknownService, "the plan includes no service %q", service))
		return
	}
	state, err := e.queryOrder(x, service, key)
	if err != nil {
		e.refuse(x, err)
		return
	}
	answer := newOrderAnswer(key, service, state)
	x.http.Response.Header.Set(headerOutcome, string(outcome.Completed))
	writeJSON(x.http, http.StatusOK, answer)
	x.end(outcome.Completed)
}

// newOrderAnswer maps a recorded state to an outcome. An order that is absent
// or abandoned is unknown rather than not_run: a lost request of the caller may
// still be in flight and claim the key. Sending the order again with the same
// key is always safe and settles its outcome.
func newOrderAnswer(key, service string, state *wire.OrderState) orderAnswer {
	answer := orderAnswer{Key: key, Service: service, Outcome: outcome.Unknown, State: "absent"}
	if !state.Found {
		return answer
	}
	switch state.Record.Status {
	case wire.OrderStatus_ORDER_STATUS_ABANDONED:
		answer.State = "abandoned"
	case wire.OrderStatus_ORDER_STATUS_DONE:
		answer.State, answer.Outcome = "done", outcome.Completed
		answer.Status, answer.Body = state.Record.HttpStatus, string(state.Record.Body)
		answer.BodyOmitted = state.Record.BodyOmitted
	default:
		answer.State = "claimed"
	}
	return answer
}

// queryOrder asks agents of the service for the state of an order.
func (e *Entry) queryOrder(x *exchange, service, key string) (*wire.OrderState, error) {
	asked := map[string]bool{}
	last := outcome.New(outcome.NoServer, "no backend server of service %q can be reached", service)
	for range maxServiceAttempts {
		e.mu.Lock()
		vm, ok := e.table.PickServiceExcept(time.Now(), service, x.account+"/"+key, func(vm string) bool { return asked[vm] })
		e.mu.Unlock()
		if !ok {
			break
		}
		asked[vm] = true
		state, err := e.queryAgent(x.ctx, vm, &wire.OrderQuery{ClientAccount: x.account, Service: service, OrderKey: key,
			RemainingMs: uint32(agentQueryTimeout.Milliseconds())})
		switch {
		case err != nil:
			last = outcome.Wrap(err, outcome.NoServer, "VM %s did not answer", vm)
		case state.Error != nil:
			return nil, fromWire(state.Error)
		default:
			return state, nil
		}
	}
	return nil, last
}
