package entry

import (
	"context"
	"time"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/api/wire"
	"camphorwick.dev/link"
	"camphorwick.dev/observe"
)

const (
	// maxAttempts bounds the attempts of one completion.
	maxAttempts = 12
	// maxFailuresInARow bounds the failed attempts in a row of one completion that brought
	// no token: its prompt may be what ends the engines.
	maxFailuresInARow = 4
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
	// failuresInARow is the number of the latest attempts that failed without a token.
	failuresInARow int
	// excluded contains the VMs that are not tried next.
	excluded map[string]bool
	// refusal is the latest reason why an agent did not accept the request.
	refusal error
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
	if !r.mayTryAgain(last, len(r.emitted) > emitted) {
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

// mayTryAgain records the last attempt, which brought tokens if progressed is set, and
// reports whether another one may follow.
func (r *run) mayTryAgain(last attemptResult, progressed bool) bool {
	switch {
	case progressed:
		r.failuresInARow = 0
	case last.verdict == attemptFailed:
		r.failuresInARow++
	}
	return r.attempts < maxAttempts && r.failuresInARow < maxFailuresInARow
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
