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

const (
	// maxAttempts bounds the attempts of one completion.
	maxAttempts = 12
	// retryPause is the wait before a completion looks for usable agents again,
	// and the shortest wait for the retry budget.
	retryPause = 100 * time.Millisecond
	// maxBudgetPause bounds one wait for the retry budget, because new requests
	// may refill it sooner than estimated.
	maxBudgetPause = 5 * time.Second
	// deliveryTimeout bounds the time that an agent is kept waiting for the
	// acknowledgement of an answer that has ended.
	deliveryTimeout = 20 * time.Second
)

// answer passes the answer of a completion from the goroutine that runs it to the
// one that writes to the caller.
type answer struct {
	accepted  chan struct{} // closed when an agent has accepted the request
	tokens    chan tokenEvent
	done      chan struct{} // closed after result is set
	result    result
	delivered chan bool // whether the caller has the complete answer; capacity 1
}

// tokenEvent holds consecutive tokens of an answer. offset is the number of
// tokens before them.
type tokenEvent struct {
	vm     string
	offset uint32
	texts  []string
}

// result is the final result of a completion.
type result struct {
	outcome outcome.Outcome
	err     error // nil if completed
	end     *wire.End
}

func newAnswer() *answer {
	return &answer{accepted: make(chan struct{}), tokens: make(chan tokenEvent, 16),
		done: make(chan struct{}), delivered: make(chan bool, 1)}
}

// run is the state of one completion over all its attempts. Only one goroutine
// uses it.
type run struct {
	*completion
	answer *answer
	// emitted are the tokens that were passed on to the caller.
	emitted []string
	// lastTokenAt is the arrival time of the latest tokens.
	lastTokenAt time.Time
	accepted    bool // answer.accepted is closed
	// mayHaveRun is set if some attempt was sent to an agent that has not
	// reported that it did not run.
	mayHaveRun bool
	attempts   int
	// excluded contains the VMs that are not tried next.
	excluded map[string]bool
	// refusal is the latest reason why an agent did not accept the request.
	refusal error
}

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

// runCompletion runs a completion until it has its single final result.
func (e *Entry) runCompletion(ctx context.Context, c *completion, a *answer) {
	r := &run{completion: c, answer: a, excluded: map[string]bool{}}
	e.awaitModel(ctx, c)
	attempts := e.attempts
	if e.needsGroup(c) {
		attempts = e.groupAttempts
	}
	result, stream := attempts(ctx, r)
	a.result = result
	close(a.done)
	e.metrics.ended(c, result.outcome)
	e.log.Info("request ended", "request_id", c.exchange.requestID, "client_account", c.exchange.account,
		"model", c.model, "band", c.band.String(), "prompt_tokens", c.promptTokens, "tokens", len(r.emitted),
		"attempts", r.attempts, "outcome", result.outcome, "error", errorText(result.err),
		"duration_ms", time.Since(c.exchange.started).Milliseconds(), "trace_id", observe.TraceID(c.exchange.ctx))
	if stream != nil {
		r.acknowledge(stream)
	}
	c.exchange.end(result.outcome)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// accept tells the goroutine that writes to the caller that an agent has accepted
// the request. It may be called again for later attempts.
func (r *run) accept() {
	if !r.accepted {
		r.accepted = true
		close(r.answer.accepted)
	}
}

// acknowledge tells the agent that the caller has the complete answer. Without
// it, the agent keeps the answer for a while, so that the caller can fetch it.
func (r *run) acknowledge(stream *link.Stream) {
	defer stream.Close()
	select {
	case ok := <-r.answer.delivered:
		if ok {
			_ = stream.Write(&wire.EntryMessage{Body: &wire.EntryMessage_Acknowledge{
				Acknowledge: &wire.Acknowledge{Offset: uint32(len(r.emitted))}}})
		}
	case <-time.After(deliveryTimeout):
	}
}

// attempts tries agents until one has completed the answer, the request cannot
// be retried or its deadline has passed.
func (e *Entry) attempts(ctx context.Context, r *run) (result, *link.Stream) {
	for {
		vm, err := e.pickAgent(ctx, r)
		if err != nil {
			return r.failure(err), nil
		}
		r.attempts++
		emitted := len(r.emitted)
		last := e.attemptOnAgent(ctx, r, vm)
		switch last.verdict {
		case attemptCompleted:
			return result{outcome: outcome.Completed, end: last.end}, last.stream
		case attemptStopped:
			return r.failure(last.err), nil
		case attemptNotRun:
			r.excluded[vm] = true
			r.refusal = last.err
		case attemptFailed:
			if end := e.recordFailure(r, vm); end != nil {
				return result{outcome: outcome.Completed, end: end}, nil
			}
			r.excluded = map[string]bool{vm: true}
		}
		if err := e.awaitRetry(ctx, r, last, emitted); err != nil {
			return r.failure(err), nil
		}
	}
}

// awaitRetry waits until another attempt is allowed and returns nil, or returns
// the error that ends the completion; emitted is the number of tokens before
// the last attempt.
//
// A retry after an attempt that produced tokens is not charged to the retry
// budget: a failed server can interrupt many started answers at once while few
// new requests refill the budget. Such retries cannot amplify a load peak,
// because each one requires new tokens.
//
// Other retries need the budget. A completion that may have run waits for it,
// because one crash interrupts many completions at once. A completion that was
// only refused fails immediately if the budget is exhausted.
func (e *Entry) awaitRetry(ctx context.Context, r *run, last attemptResult, emitted int) error {
	if r.attempts >= maxAttempts {
		return last.err
	}
	if len(r.emitted) > emitted {
		e.metrics.retried(r.completion)
		return nil
	}
	for now := time.Now(); !e.budget.TryRetry(now); now = time.Now() {
		if !r.started() {
			return last.err
		}
		if !pause(ctx, min(max(e.budget.RetryDelay(now), retryPause), maxBudgetPause)) {
			return context.Cause(ctx)
		}
	}
	e.metrics.retried(r.completion)
	return nil
}

// started reports whether the completion may have run somewhere.
func (r *run) started() bool { return r.mayHaveRun || len(r.emitted) > 0 }

// endAtMaxTokens returns the end of an answer that has reached max_tokens.
func (r *run) endAtMaxTokens() *wire.End {
	return &wire.End{Outcome: wire.Outcome_OUTCOME_COMPLETED, FinishReason: "length",
		PromptTokens: uint32(r.promptTokens), CompletionTokens: uint32(len(r.emitted))}
}

// failure returns the result of a completion that did not complete.
func (r *run) failure(err error) result {
	if r.started() {
		return result{outcome: outcome.Failed, err: err}
	}
	return result{outcome: outcome.NotRun, err: err}
}

// pickAgent chooses the next agent. A completion that may have run waits until
// one is usable.
func (e *Entry) pickAgent(ctx context.Context, r *run) (string, error) {
	for {
		if ctx.Err() != nil {
			return "", context.Cause(ctx)
		}
		now := time.Now()
		e.mu.Lock()
		vm, _, ok := e.table.Pick(now, r.routingRequest(e.settings.DataCentre, func(vm string) bool { return r.excluded[vm] }))
		if ok {
			e.table.AddSentWork(now, vm, r.band, r.promptTokens)
			e.table.RecordStart(now, vm)
		}
		e.mu.Unlock()
		switch {
		case ok:
			return vm, nil
		case !r.started() && r.refusal != nil:
			return "", r.refusal
		case !r.started():
			return "", outcome.New(outcome.NoServer, "no backend server can take the request now").WithRetryAfter(time.Second)
		}
		clear(r.excluded)
		if !pause(ctx, retryPause) {
			return "", context.Cause(ctx)
		}
	}
}

// pause waits for d and returns false if ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// recordFailure counts a failed attempt against its agent, if that is known. If only
// the end of the answer was lost with the agent, it returns the end, otherwise nil.
func (e *Entry) recordFailure(r *run, vm string) *wire.End {
	if vm != "" {
		e.agentFailed(vm)
	}
	if len(r.emitted) < r.max {
		return nil
	}
	return r.endAtMaxTokens()
}

func (e *Entry) agentFailed(vm string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.RecordFailure(time.Now(), vm)
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
