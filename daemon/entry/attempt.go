package entry

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/google/uuid"
	"go.opentelemetry.io/otel/attribute"
	"google.golang.org/protobuf/proto"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/api/wire"
	"camphorwick.dev/link"
	"camphorwick.dev/observe"
)

// verdict says how an attempt ended.
type verdict int

const (
	attemptCompleted verdict = iota // the agent sent the complete answer
	attemptNotRun                   // the agent refused; another may accept
	attemptFailed                   // the agent, engine or connection failed
	attemptStopped                  // the request's context has ended
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	verdict verdict
	vm      string // of the agent of a group that failed; empty if it is not known
	end     *wire.End
	err     error
	stream  *link.Stream // non-nil and open if the end must be acknowledged
}

// attemptOnAgent runs a completion on one agent.
func (e *Entry) attemptOnAgent(ctx context.Context, r *run, vm string) (got attemptResult) {
	ctx, span := e.telemetry.Tracer.Start(ctx, "attempt")
	span.SetAttributes(attribute.String("agent", vm), attribute.Int("offset", len(r.emitted)))
	defer span.End()
	defer func() {
		e.mu.Lock()
		e.table.RecordEnd(time.Now(), vm, got.verdict == attemptCompleted)
		e.mu.Unlock()
	}()
	stream, lost, err := e.member.Node.Open(ctx, vm)
	if err != nil {
		return attemptResult{verdict: attemptNotRun, err: outcome.Wrap(err, outcome.NoServer, "VM %s cannot be reached", vm)}
	}
	return e.submitAndFollow(ctx, lost, r, vm, stream)
}

// submitAndFollow sends the request and handles the agent's messages.
func (e *Entry) submitAndFollow(ctx, lost context.Context, r *run, vm string, stream *link.Stream) attemptResult {
	submit := r.submit(ctx)
	earlierMayHaveRun := r.mayHaveRun
	r.mayHaveRun = true
	if err := send(ctx, lost, stream, &wire.StreamHeader{Body: &wire.StreamHeader_Submit{Submit: submit}}); err != nil {
		stream.Close()
		return failedOrStopped(ctx, vm, err)
	}
	return e.followAttempt(ctx, lost, r, vm, stream, submit.AttemptId, earlierMayHaveRun)
}

// followAttempt handles the messages of an attempt until it has ended. If the
// request ends first, it cancels the attempt. It closes the stream unless the
// result contains it.
func (e *Entry) followAttempt(ctx, lost context.Context, r *run, vm string, stream *link.Stream, attempt string, earlierMayHaveRun bool) (got attemptResult) {
	defer func() {
		switch {
		case got.verdict == attemptStopped:
			stream.CloseWith(&wire.EntryMessage{Body: &wire.EntryMessage_Cancel{Cancel: &wire.Cancel{AttemptId: attempt}}})
		case got.stream == nil:
			stream.Close()
		}
	}()
	messages := make(chan *wire.AgentMessage, 16)
	done := make(chan struct{})
	defer close(done)
	go receive(stream, messages, done)
	for {
		select {
		case <-ctx.Done():
			return attemptResult{verdict: attemptStopped, err: context.Cause(ctx)}
		case <-lost.Done():
			return failedAttempt(vm, errSuspected)
		case m, ok := <-messages:
			if !ok {
				return failedAttempt(vm, errStreamEnded)
			}
			if got, final := e.handleMessage(ctx, r, vm, attempt, m, earlierMayHaveRun); final {
				if got.verdict == attemptCompleted {
					got.stream = stream
				}
				return got
			}
		}
	}
}

var (
	errSuspected   = errors.New("the agent is suspected to have failed")
	errStreamEnded = errors.New("the agent ended the stream")
)

func failedAttempt(vm string, err error) attemptResult {
	return attemptResult{verdict: attemptFailed, err: outcome.Wrap(err, outcome.BackendFailed, "the attempt on VM %s broke", vm)}
}

// send writes a message and returns an error when ctx ends or the agent is lost:
// a write that waits for flow control or for the connection must not outlast the
// deadline of the request.
func send(ctx, lost context.Context, stream *link.Stream, m proto.Message) error {
	ctx, cancel := link.WithCancelOnLoss(ctx, lost)
	defer cancel()
	return stream.WriteContext(ctx, m)
}

// failedOrStopped returns the result of an attempt after a message could not be
// sent: stopped if the request has ended, else failed.
func failedOrStopped(ctx context.Context, vm string, err error) attemptResult {
	if ctx.Err() != nil {
		return attemptResult{verdict: attemptStopped, err: context.Cause(ctx)}
	}
	return failedAttempt(vm, err)
}

// receive forwards the messages of a stream until it ends or done is closed.
func receive(stream *link.Stream, messages chan<- *wire.AgentMessage, done <-chan struct{}) {
	defer close(messages)
	for {
		m := &wire.AgentMessage{}
		if stream.Read(m) != nil {
			return
		}
		select {
		case messages <- m:
		case <-done:
			return
		}
	}
}

// submit returns the message that submits the rest of the completion.
func (r *run) submit(ctx context.Context) *wire.SubmitRequest {
	s := &wire.SubmitRequest{
		RequestId: r.exchange.requestID, AttemptId: uuid.NewString(), ClientAccount: r.exchange.account,
		Model: r.model, Prompt: r.prompt, PromptTokens: uint32(r.promptTokens), MaxTokens: uint32(r.max - len(r.emitted)),
		Offset: uint32(len(r.emitted)), RemainingMs: remainingMillis(r.deadline), Weight: uint32(r.exchange.plan.EffectiveWeight()),
		Traceparent: observe.Traceparent(ctx), Prefixes: r.prefixes,
	}
	if len(r.emitted) > 0 {
		s.Prompt = append(append([]byte(nil), r.prompt...), strings.Join(r.emitted, "")...)
		s.PromptTokens += uint32(len(r.emitted))
	}
	return s
}

// handleMessage processes one message; final is true if the attempt has ended.
// Messages of other attempts are ignored. If the agent reports that this
// attempt did not run, only earlierMayHaveRun decides whether the request may
// have run.
func (e *Entry) handleMessage(ctx context.Context, r *run, vm, attempt string, m *wire.AgentMessage, earlierMayHaveRun bool) (got attemptResult, final bool) {
	if attemptOf(m) != attempt {
		return attemptResult{}, false
	}
	switch body := m.Body.(type) {
	case *wire.AgentMessage_NotRun:
		r.mayHaveRun = earlierMayHaveRun
		return attemptResult{verdict: attemptNotRun, err: fromWire(body.NotRun.Error)}, true
	case *wire.AgentMessage_Accepted:
		if load := body.Accepted.Load; load != nil {
			e.mu.Lock()
			e.reportLoad(vm, load)
			e.mu.Unlock()
		}
		r.accept()
	case *wire.AgentMessage_Tokens:
		return e.emitTokens(ctx, r, vm, body.Tokens)
	case *wire.AgentMessage_End:
		return attemptResultOf(r, vm, body.End, earlierMayHaveRun), true
	}
	return attemptResult{}, false
}

// attemptOf returns the attempt that a message belongs to; empty for a message that no
// attempt of a completion has.
func attemptOf(m *wire.AgentMessage) string {
	switch body := m.Body.(type) {
	case *wire.AgentMessage_NotRun:
		return body.NotRun.GetAttemptId()
	case *wire.AgentMessage_Accepted:
		return body.Accepted.GetAttemptId()
	case *wire.AgentMessage_Tokens:
		return body.Tokens.GetAttemptId()
	case *wire.AgentMessage_End:
		return body.End.GetAttemptId()
	}
	return ""
}

// emitTokens passes tokens on to the caller, each exactly once and in order.
func (e *Entry) emitTokens(ctx context.Context, r *run, vm string, t *wire.Tokens) (attemptResult, bool) {
	have := uint32(len(r.emitted))
	if t.Offset > have {
		return failedAttempt(vm, errTokenGap), true
	}
	texts := t.Texts[min(have-t.Offset, uint32(len(t.Texts))):]
	if len(texts) == 0 {
		return attemptResult{}, false
	}
	now := time.Now()
	if have == 0 {
		e.metrics.firstToken(r.completion)
	} else {
		e.metrics.nextTokens(r.completion, now.Sub(r.lastTokenAt), len(texts))
	}
	r.lastTokenAt = now
	select {
	case r.answer.tokens <- tokenEvent{vm: vm, offset: have, texts: texts}:
		r.emitted = append(r.emitted, texts...)
		return attemptResult{}, false
	case <-ctx.Done():
		return attemptResult{verdict: attemptStopped, err: context.Cause(ctx)}, true
	}
}

var errTokenGap = errors.New("tokens are missing")

// attemptResultOf converts the agent's End into the result of the attempt.
// After not_run or failed, another attempt may follow.
func attemptResultOf(r *run, vm string, end *wire.End, earlierMayHaveRun bool) attemptResult {
	switch end.Outcome {
	case wire.Outcome_OUTCOME_COMPLETED:
		if int(end.CompletionTokens) != len(r.emitted) {
			return failedAttempt(vm, errTokenGap)
		}
		return attemptResult{verdict: attemptCompleted, end: end}
	case wire.Outcome_OUTCOME_NOT_RUN:
		r.mayHaveRun = earlierMayHaveRun
		if endedByRequest(end) {
			return attemptResult{verdict: attemptStopped, err: fromWire(end.Error)}
		}
		return attemptResult{verdict: attemptNotRun, err: fromWire(end.Error)}
	}
	if endedByRequest(end) {
		return attemptResult{verdict: attemptStopped, err: fromWire(end.Error)}
	}
	return attemptResult{verdict: attemptFailed, err: fromWire(end.Error)}
}

// endedByRequest reports whether a request ended because its deadline passed or
// it was cancelled: a retry cannot help, and the agent has not failed.
func endedByRequest(end *wire.End) bool {
	code := outcome.Code(end.Error.GetCode())
	return code == outcome.DeadlineExceeded || code == outcome.Cancelled
}

// fromWire converts an error from its wire form.
func fromWire(e *wire.Error) *outcome.Error {
	if e == nil {
		return outcome.New(outcome.Internal, "the agent gave no reason")
	}
	err := outcome.New(outcome.Code(e.Code), "%s", e.Message)
	return err.WithRetryAfter(time.Duration(e.RetryAfterMs) * time.Millisecond)
}
