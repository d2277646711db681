package agent

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/api/wire"
	"camphorwick.dev/backend"
	"camphorwick.dev/ledger"
	"camphorwick.dev/link"
	"camphorwick.dev/observe"
)

// serveCall runs one call of the plain service and sends the response.
func (a *Agent) serveCall(ctx context.Context, s *link.Stream, call *wire.ServiceRequest) {
	deadline := time.Now().Add(time.Duration(call.RemainingMs) * time.Millisecond)
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	ctx, span := a.telemetry.Tracer.Start(observe.WithTraceparent(ctx, call.Traceparent), "service",
		trace.WithAttributes(attribute.String("request_id", call.RequestId), attribute.Bool("idempotent", call.Idempotent)))
	defer span.End()
	callerCtx, cancelCaller := context.WithCancel(ctx)
	defer cancelCaller()
	go cancelOnRequest(s, cancelCaller)
	if err := a.acquireCallSlot(callerCtx, call); err != nil {
		_ = s.Write(serviceMessage(notRunResponse(err)))
		return
	}
	defer a.releaseCallSlot()
	response := a.runCall(ctx, callerCtx, call)
	span.SetAttributes(attribute.String("outcome", response.Outcome.String()))
	_ = s.Write(serviceMessage(response))
}

// cancelOnRequest calls cancel when the entry sends a Cancel message. A lost
// stream does not cancel the call: the caller can query the recorded outcome.
func cancelOnRequest(s *link.Stream, cancel context.CancelFunc) {
	for {
		message := &wire.EntryMessage{}
		if s.Read(message) != nil {
			return
		}
		if message.GetCancel() != nil {
			cancel()
			return
		}
	}
}

// acquireCallSlot checks a call and waits for a free slot until ctx ends.
func (a *Agent) acquireCallSlot(ctx context.Context, call *wire.ServiceRequest) error {
	if a.service == nil || call.Service != a.settings.Agent.Service.Name {
		return outcome.New(outcome.UnknownService, "VM %s does not serve %q", a.settings.VM, call.Service)
	}
	// The call is counted before the drain state is read, so that a drain that
	// finds no active call cannot miss this one.
	a.active.Add(1)
	if a.refusesWork() {
		a.active.Add(-1)
		return outcome.New(outcome.Draining, "VM %s is being drained", a.settings.VM)
	}
	select {
	case a.callSlots <- struct{}{}:
		return nil
	case <-ctx.Done():
		a.active.Add(-1)
		return outcome.New(outcome.Overloaded, "%d calls are in progress on VM %s", cap(a.callSlots), a.settings.VM)
	}
}

func (a *Agent) releaseCallSlot() {
	<-a.callSlots
	a.active.Add(-1)
}

// runCall runs an idempotent call directly, and an order after claiming its key.
// Both contexts end at the deadline; callerCtx also ends when the entry cancels
// the call. An order that was already sent to the service continues on ctx.
func (a *Agent) runCall(ctx, callerCtx context.Context, call *wire.ServiceRequest) *wire.ServiceResponse {
	request := backend.Call{Method: call.Method, Path: call.Path, ContentType: call.ContentType, Body: call.Body}
	if call.Idempotent {
		return a.runIdempotent(callerCtx, request)
	}
	key, err := ledger.ParseKey(call.ClientAccount, call.Service, call.OrderKey, time.Now())
	if err != nil {
		return notRunResponse(err)
	}
	claim, record, err := a.ledger.Claim(callerCtx, key, orderDigest(call), call.AttemptId)
	switch {
	case err != nil && outcome.CodeOf(err) == outcome.OrderInProgress:
		return &wire.ServiceResponse{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Error: toWire(err)}
	case err != nil:
		return notRunResponse(err)
	case claim == nil:
		return recordedResponse(record)
	}
	request.OrderKey = call.OrderKey
	return a.sendOrder(ctx, callerCtx, claim, request)
}

// sendOrder sends an order at most once. In every case it ends the claim: as
// done, abandoned or in doubt.
func (a *Agent) sendOrder(ctx, callerCtx context.Context, claim *ledger.Claim, request backend.Call) *wire.ServiceResponse {
	// If the process was paused after the claim, the caller may have given up;
	// the order must then not be sent.
	if callerCtx.Err() != nil {
		claim.Abandon()
		return notRunResponse(outcome.From(callerCtx.Err()))
	}
	reply, err := a.service.Call(ctx, request)
	var failure *backend.ServiceError
	switch {
	case err == nil:
		claim.Done(reply.Status, reply.ContentType, reply.Body)
		return completedResponse(reply)
	case errors.As(err, &failure) && failure.NotSent:
		claim.Abandon()
		return notRunResponse(outcome.Wrap(err, outcome.NoServer, "the service beside VM %s cannot be reached", a.settings.VM))
	}
	claim.InDoubt()
	return &wire.ServiceResponse{Outcome: wire.Outcome_OUTCOME_UNKNOWN,
		Error: toWire(outcome.Wrap(err, outcome.OrderInDoubt, "the order was sent and its answer was lost"))}
}

func (a *Agent) runIdempotent(ctx context.Context, request backend.Call) *wire.ServiceResponse {
	reply, err := a.service.Call(ctx, request)
	var failure *backend.ServiceError
	switch {
	case err == nil:
		return completedResponse(reply)
	case errors.As(err, &failure) && failure.NotSent:
		return notRunResponse(outcome.Wrap(err, outcome.NoServer, "the service beside VM %s cannot be reached", a.settings.VM))
	}
	return &wire.ServiceResponse{Outcome: wire.Outcome_OUTCOME_FAILED,
		Error: toWire(outcome.Wrap(err, outcome.BackendFailed, "the call failed"))}
}

// serveOrderQuery responds with the recorded state of an order.
func (a *Agent) serveOrderQuery(ctx context.Context, s *link.Stream, query *wire.OrderQuery) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(query.RemainingMs)*time.Millisecond)
	defer cancel()
	state := &wire.OrderState{}
	record, err := a.lookUpOrder(ctx, query)
	if err != nil {
		state.Error = toWire(err)
	}
	state.Found, state.Record = record != nil, record
	_ = s.Write(&wire.AgentMessage{Body: &wire.AgentMessage_Order{Order: state}})
}

func (a *Agent) lookUpOrder(ctx context.Context, query *wire.OrderQuery) (*wire.OrderRecord, error) {
	if a.ledger == nil {
		return nil, outcome.New(outcome.UnknownService, "VM %s serves no orders", a.settings.VM)
	}
	key, err := ledger.ParseKey(query.ClientAccount, query.Service, query.OrderKey, time.Now())
	if err != nil {
		return nil, err
	}
	return a.ledger.Lookup(ctx, key)
}

// orderDigest returns a hash of method, path, content type and body of an order.
func orderDigest(call *wire.ServiceRequest) []byte {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(call.Method), []byte(call.Path), []byte(call.ContentType), call.Body} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		hash.Write(size[:])
		hash.Write(part)
	}
	return hash.Sum(nil)
}

func serviceMessage(r *wire.ServiceResponse) *wire.AgentMessage {
	return &wire.AgentMessage{Body: &wire.AgentMessage_Service{Service: r}}
}

func notRunResponse(err error) *wire.ServiceResponse {
	return &wire.ServiceResponse{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Error: toWire(err)}
}

func completedResponse(reply backend.Reply) *wire.ServiceResponse {
	return &wire.ServiceResponse{Outcome: wire.Outcome_OUTCOME_COMPLETED, Status: uint32(reply.Status),
		ContentType: reply.ContentType, Body: reply.Body}
}

// recordedResponse returns the response to a call that is in the order journal.
func recordedResponse(r *wire.OrderRecord) *wire.ServiceResponse {
	if r.Status != wire.OrderStatus_ORDER_STATUS_DONE {
		return &wire.ServiceResponse{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Recorded: true,
			Error: toWire(outcome.New(outcome.OrderInDoubt, "the order was claimed by %s and its outcome is not recorded", r.Claimant))}
	}
	response := &wire.ServiceResponse{Outcome: wire.Outcome_OUTCOME_COMPLETED, Status: r.HttpStatus,
		ContentType: r.ContentType, Body: r.Body, Recorded: true}
	if r.BodyOmitted {
		response.Error = toWire(outcome.New(outcome.AnswerNotRecorded,
			"the order has run with status %d, and its answer was too long to be recorded", r.HttpStatus))
	}
	return response
}
