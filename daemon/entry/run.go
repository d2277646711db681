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
	// retryPause is the wait before a started completion looks for an agent
	// again when none is usable or the retry budget is used up.
	retryPause = 100 * time.Millisecond
	// maxBudgetPause bounds one wait for the retry budget, which new requests
	// may fill sooner than expected.
	maxBudgetPause = 5 * time.Second
	// deliveryLimit is how long an agent is kept waiting for the
	// acknowledgement of an answer that has ended.
	deliveryLimit = 20 * time.Second
)

// answer passes a completion from the goroutine that runs it to the one that
// writes to the caller.
type answer struct {
	accepted  chan struct{} // closed when an agent has taken the request
	tokens    chan tokenEvent
	done      chan struct{} // closed after result is set
	result    result
	delivered chan bool // whether the caller has the whole answer; capacity 1
}

// tokenEvent is a part of an answer. Offset counts the tokens before it.
type tokenEvent struct {
	vm     string
	offset uint32
	texts  []string
}

// result is how a completion ended.
type result struct {
	outcome outcome.Outcome
	err     error // nil if completed
	end     *wire.End
}

func newAnswer() *answer {
	return &answer{accepted: make(chan struct{}), tokens: make(chan tokenEvent, 16),
		done: make(chan struct{}), delivered: make(chan bool, 1)}
}

// run is the state of one completion over its attempts. It belongs to one
// goroutine.
type run struct {
	*completion
	answer *answer
	// emitted are the tokens that the caller was sent.
	emitted []string
	// lastToken is when the latest tokens arrived.
	lastToken time.Time
	accepted  bool
	// mayRun is set while some attempt was sent to an agent that has not said
	// that it did not run.
	mayRun   bool
	attempts int
	excluded map[string]bool
	// refusal is the latest reason why an agent did not take the request.
	refusal error
}

// verdict says how an attempt ended.
type verdict int

const (
	attemptEnded   verdict = iota // the agent sent the final result
	attemptNotRun                 // the agent refused; another may take it
	attemptBroken                 // the agent, engine or connection failed
	attemptStopped                // the request's context has ended
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	verdict verdict
	end     *wire.End
	err     error
	stream  *link.Stream // open if the end must be acknowledged
}

// complete runs a completion to its one result.
func (e *Entry) complete(ctx context.Context, c *completion, a *answer) {
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
		"model", c.model, "band", c.band.String(), "prompt_tokens", c.tokens, "tokens", len(r.emitted),
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

// accept tells the caller's side that an agent has taken the request. Several
// agents may take it one after the other.
func (r *run) accept() {
	if !r.accepted {
		r.accepted = true
		close(r.answer.accepted)
	}
}

// acknowledge tells the agent that the caller has the whole answer. Without
// it the agent keeps the answer for a while, so that the caller can fetch it.
func (r *run) acknowledge(stream *link.Stream) {
	defer stream.Close()
	select {
	case ok := <-r.answer.delivered:
		if ok {
			_ = stream.Write(&wire.EntryMessage{Body: &wire.EntryMessage_Acknowledge{
				Acknowledge: &wire.Acknowledge{Offset: uint32(len(r.emitted))}}})
		}
	case <-time.After(deliveryLimit):
	}
}

// attempts tries agents until one has finished the answer, the request cannot
// be repeated or its time is over.
func (e *Entry) attempts(ctx context.Context, r *run) (result, *link.Stream) {
	for {
		vm, err := e.pick(ctx, r)
		if err != nil {
			return r.failure(err), nil
		}
		r.attempts++
		emitted := len(r.emitted)
		got := e.attempt(ctx, r, vm)
		switch got.verdict {
		case attemptEnded:
			return result{outcome: outcome.Completed, end: got.end}, got.stream
		case attemptStopped:
			return r.failure(got.err), nil
		case attemptNotRun:
			r.excluded[vm] = true
			r.refusal = got.err
		case attemptBroken:
			e.agentFailed(vm)
			if len(r.emitted) >= r.max { // only the end of the answer was lost
				return result{outcome: outcome.Completed, end: r.fullEnd()}, nil
			}
			r.excluded = map[string]bool{vm: true}
		}
		if err := e.mayRetry(ctx, r, got, emitted); err != nil {
			return r.failure(err), nil
		}
	}
}

// mayRetry returns nil if another attempt is allowed now; emitted is the
// number of tokens before the last attempt. An attempt that brought tokens
// does not count towards the retry budget, because a server that dies may
// leave many started answers at once, and few requests then feed the budget.
// Each such retry needs progress, so a peak is not amplified. A completion
// that may have run waits for the budget instead of failing, because one crash
// interrupts many at once; one that was only refused fails at once.
func (e *Entry) mayRetry(ctx context.Context, r *run, got attemptResult, emitted int) error {
	if r.attempts >= maxAttempts {
		return got.err
	}
	if len(r.emitted) > emitted {
		e.metrics.retried(r.completion)
		return nil
	}
	for now := time.Now(); !e.budget.TryRetry(now); now = time.Now() {
		if !r.started() {
			return got.err
		}
		if !pause(ctx, min(max(e.budget.Delay(now), retryPause), maxBudgetPause)) {
			return context.Cause(ctx)
		}
	}
	e.metrics.retried(r.completion)
	return nil
}

// started reports whether the completion may have run somewhere.
func (r *run) started() bool { return r.mayRun || len(r.emitted) > 0 }

// fullEnd returns the end of an answer of max_tokens tokens.
func (r *run) fullEnd() *wire.End {
	return &wire.End{Outcome: wire.Outcome_OUTCOME_COMPLETED, FinishReason: "length",
		PromptTokens: uint32(r.tokens), CompletionTokens: uint32(len(r.emitted))}
}

// failure returns the result of a completion that did not complete.
func (r *run) failure(err error) result {
	if r.started() {
		return result{outcome: outcome.Failed, err: err}
	}
	return result{outcome: outcome.NotRun, err: err}
}

// pick chooses the next agent. A completion that has started waits for one.
func (e *Entry) pick(ctx context.Context, r *run) (string, error) {
	for {
		if ctx.Err() != nil {
			return "", context.Cause(ctx)
		}
		now := time.Now()
		e.mu.Lock()
		vm, _, ok := e.table.Pick(now, r.request(e.settings.DataCentre, func(vm string) bool { return r.excluded[vm] }))
		if ok {
			e.table.Sent(now, vm, r.band, r.tokens)
			e.table.Started(now, vm)
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

// pause waits and returns false if ctx ended first.
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

func (e *Entry) agentFailed(vm string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.Failed(time.Now(), vm)
}

// attempt runs a completion on one agent.
func (e *Entry) attempt(ctx context.Context, r *run, vm string) (got attemptResult) {
	ctx, span := e.telemetry.Tracer.Start(ctx, "attempt")
	span.SetAttributes(attribute.String("agent", vm), attribute.Int("offset", len(r.emitted)))
	defer span.End()
	defer func() {
		e.mu.Lock()
		e.table.Ended(time.Now(), vm, got.verdict == attemptEnded)
		e.mu.Unlock()
	}()
	stream, lost, err := e.member.Node.Open(ctx, vm)
	if err != nil {
		return attemptResult{verdict: attemptNotRun, err: outcome.Wrap(err, outcome.NoServer, "VM %s cannot be reached", vm)}
	}
	return e.runAttempt(ctx, lost, r, vm, stream)
}

// runAttempt sends the request and handles the agent's messages.
func (e *Entry) runAttempt(ctx, lost context.Context, r *run, vm string, stream *link.Stream) attemptResult {
	submit := r.submit(ctx)
	hadRun := r.mayRun
	r.mayRun = true
	if err := send(ctx, lost, stream, &wire.StreamHeader{Body: &wire.StreamHeader_Submit{Submit: submit}}); err != nil {
		stream.Close()
		return brokenOrStopped(ctx, vm, err)
	}
	return e.follow(ctx, lost, r, vm, stream, submit.AttemptId, hadRun)
}

// follow handles the messages of an attempt until it has ended. It cancels an
// attempt whose request has ended, and closes the stream unless it is returned.
func (e *Entry) follow(ctx, lost context.Context, r *run, vm string, stream *link.Stream, attempt string, hadRun bool) (got attemptResult) {
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
			return broken(vm, errSuspected)
		case m, ok := <-messages:
			if !ok {
				return broken(vm, errStreamEnded)
			}
			if got, final := e.handle(ctx, r, vm, attempt, m, hadRun); final {
				if got.verdict == attemptEnded {
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

func broken(vm string, err error) attemptResult {
	return attemptResult{verdict: attemptBroken, err: outcome.Wrap(err, outcome.BackendFailed, "the attempt on VM %s broke", vm)}
}

// send writes a message until ctx ends or the agent is lost. The wait for the
// agent's window or connection must not outlast the deadline of the request.
func send(ctx, lost context.Context, stream *link.Stream, m proto.Message) error {
	ctx, cancel := link.Until(ctx, lost)
	defer cancel()
	return stream.WriteContext(ctx, m)
}

// brokenOrStopped is the result of an attempt whose message was not sent.
func brokenOrStopped(ctx context.Context, vm string, err error) attemptResult {
	if ctx.Err() != nil {
		return attemptResult{verdict: attemptStopped, err: context.Cause(ctx)}
	}
	return broken(vm, err)
}

// receive passes the messages of a stream on until it ends or done is closed.
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

// submit returns the message that proposes the rest of the completion.
func (r *run) submit(ctx context.Context) *wire.SubmitRequest {
	s := &wire.SubmitRequest{
		RequestId: r.exchange.requestID, AttemptId: uuid.NewString(), ClientAccount: r.exchange.account,
		Model: r.model, Prompt: r.prompt, PromptTokens: uint32(r.tokens), MaxTokens: uint32(r.max - len(r.emitted)),
		Offset: uint32(len(r.emitted)), RemainingMs: remaining(r.deadline), Weight: uint32(r.exchange.plan.EffectiveWeight()),
		Traceparent: observe.Traceparent(ctx), Prefixes: r.prefixes,
	}
	if len(r.emitted) > 0 {
		s.Prompt = append(append([]byte(nil), r.prompt...), strings.Join(r.emitted, "")...)
		s.PromptTokens += uint32(len(r.emitted))
	}
	return s
}

// handle processes one message; final is true if the attempt has ended.
// Messages of other attempts are dropped.
func (e *Entry) handle(ctx context.Context, r *run, vm, attempt string, m *wire.AgentMessage, hadRun bool) (got attemptResult, final bool) {
	switch body := m.Body.(type) {
	case *wire.AgentMessage_NotRun:
		r.mayRun = hadRun
		return attemptResult{verdict: attemptNotRun, err: fromWire(body.NotRun.Error)}, true
	case *wire.AgentMessage_Accepted:
		if load := body.Accepted.Load; load != nil {
			e.mu.Lock()
			e.report(vm, load)
			e.mu.Unlock()
		}
		r.accept()
	case *wire.AgentMessage_Tokens:
		if body.Tokens.AttemptId == attempt {
			return e.emit(ctx, r, vm, body.Tokens)
		}
	case *wire.AgentMessage_End:
		if body.End.AttemptId == attempt {
			return endOf(r, vm, body.End, hadRun), true
		}
	}
	return attemptResult{}, false
}

// emit passes tokens on to the caller, each once and in order.
func (e *Entry) emit(ctx context.Context, r *run, vm string, t *wire.Tokens) (attemptResult, bool) {
	have := uint32(len(r.emitted))
	if t.Offset > have {
		return broken(vm, errTokenGap), true
	}
	texts := t.Texts[min(have-t.Offset, uint32(len(t.Texts))):]
	if len(texts) == 0 {
		return attemptResult{}, false
	}
	now := time.Now()
	if have == 0 {
		e.metrics.firstToken(r.completion)
	} else {
		e.metrics.nextTokens(r.completion, now.Sub(r.lastToken), len(texts))
	}
	r.lastToken = now
	select {
	case r.answer.tokens <- tokenEvent{vm: vm, offset: have, texts: texts}:
		r.emitted = append(r.emitted, texts...)
		return attemptResult{}, false
	case <-ctx.Done():
		return attemptResult{verdict: attemptStopped, err: context.Cause(ctx)}, true
	}
}

var errTokenGap = errors.New("tokens are missing")

// endOf turns the agent's result into that of the attempt. An End that says
// not_run or failed makes way for another attempt.
func endOf(r *run, vm string, end *wire.End, hadRun bool) attemptResult {
	switch end.Outcome {
	case wire.Outcome_OUTCOME_COMPLETED:
		if int(end.CompletionTokens) != len(r.emitted) {
			return broken(vm, errTokenGap)
		}
		return attemptResult{verdict: attemptEnded, end: end}
	case wire.Outcome_OUTCOME_NOT_RUN:
		r.mayRun = hadRun
		if ownEnd(end) {
			return attemptResult{verdict: attemptStopped, err: fromWire(end.Error)}
		}
		return attemptResult{verdict: attemptNotRun, err: fromWire(end.Error)}
	}
	if ownEnd(end) {
		return attemptResult{verdict: attemptStopped, err: fromWire(end.Error)}
	}
	return attemptResult{verdict: attemptBroken, err: fromWire(end.Error)}
}

// ownEnd reports whether a request ended because its own time was over or it
// was cancelled: no other agent can help, and the agent has not failed.
func ownEnd(end *wire.End) bool {
	code := outcome.Code(end.Error.GetCode())
	return code == outcome.DeadlineExceeded || code == outcome.Cancelled
}

// fromWire returns the error of a message.
func fromWire(e *wire.Error) *outcome.Error {
	if e == nil {
		return outcome.New(outcome.Internal, "the agent gave no reason")
	}
	err := outcome.New(outcome.Code(e.Code), "%s", e.Message)
	return err.WithRetryAfter(time.Duration(e.RetryAfterMs) * time.Millisecond)
}
