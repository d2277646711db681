package entry

import (
	"context"
	"strconv"
	"strings"
	"time"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/api/wire"
	"camphorwick.dev/observe"
)

// agentQueryTimeout bounds one query to an agent for an answer or an order.
const agentQueryTimeout = 5 * time.Second

// serveResume answers GET /v1/requests/{id} with the rest of a streamed answer
// whose entry or connection was lost. Last-Event-ID contains agent and offset;
// without it, all agents are asked and the answer starts at token 0.
func (e *Entry) serveResume(x *exchange, id string) {
	if !requestIDPattern.MatchString(id) {
		e.refuse(x, outcome.New(outcome.InvalidRequest, "%q is not a request id", id))
		return
	}
	vm, offset, err := parseEventID(string(x.http.Request.Header.Peek("Last-Event-ID")))
	if err != nil {
		e.refuse(x, err)
		return
	}
	x.requestID = id
	x.http.Response.Header.Set(headerRequestID, id)
	deadline := time.Now().Add(time.Duration(e.settings.Entry.MaxTimeoutMillis) * time.Millisecond)
	ctx, cancel := context.WithCancelCause(x.ctx)
	stopWatching := e.watchCaller(x.http.Conn(), cancel)
	c := &completion{exchange: x, deadline: deadline, stream: true}
	a := newAnswer()
	go e.resume(ctx, c, a, vm, offset)
	e.streamAnswer(c, a, cancel, func() {
		stopWatching()
		cancel(nil)
	})
}

// parseEventID splits an event id "<agent VM>/<offset>". For an empty id, it
// returns an empty VM, which stands for any agent, and offset 0.
func parseEventID(id string) (vm string, offset uint32, err error) {
	if id == "" {
		return "", 0, nil
	}
	vm, text, ok := strings.Cut(id, "/")
	n, parseErr := strconv.ParseUint(text, 10, 32)
	if !ok || parseErr != nil || n > maxTokensLimit {
		return "", 0, outcome.New(outcome.InvalidRequest, "Last-Event-ID %q is not an agent and an offset", id)
	}
	return vm, uint32(n), nil
}

// resume reads the rest of an answer from the agent that holds it. This entry
// does not know the prompt, so if that agent fails, it cannot continue the
// answer on another one.
func (e *Entry) resume(ctx context.Context, c *completion, a *answer, vm string, offset uint32) {
	// The caller has the first offset tokens; their texts are not needed here.
	// An agent has accepted the request before, so it may have run.
	r := &run{completion: c, answer: a, emitted: make([]string, offset), mayHaveRun: true}
	last := attemptResult{err: outcome.New(outcome.NotFound, "no agent holds request %q from token %d on", c.exchange.requestID, offset)}
	for _, candidate := range e.resumeCandidates(vm) {
		if ctx.Err() != nil {
			last = attemptResult{verdict: attemptStopped, err: context.Cause(ctx)}
			break
		}
		last = e.resumeFrom(ctx, r, candidate)
		if last.verdict != attemptNotRun {
			break
		}
	}
	if last.verdict == attemptCompleted && last.end != nil {
		a.result = result{outcome: outcome.Completed, end: last.end}
	} else {
		a.result = result{outcome: outcome.Failed, err: last.err}
	}
	close(a.done)
	if last.stream != nil {
		r.acknowledge(last.stream)
	}
	c.exchange.end(a.result.outcome)
}

// resumeCandidates returns the agents to ask for an answer: the given one, or
// all usable agents if vm is empty.
func (e *Entry) resumeCandidates(vm string) []string {
	if vm != "" {
		return []string{vm}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []string
	for name, state := range e.agents {
		if state.usable && state.hello.GetBackend().GetService() == "" {
			all = append(all, name)
		}
	}
	return all
}

// resumeFrom asks one agent for the rest of an answer and forwards it.
func (e *Entry) resumeFrom(ctx context.Context, r *run, vm string) attemptResult {
	queryCtx, cancel := context.WithTimeout(ctx, agentQueryTimeout)
	defer cancel()
	stream, sessionLost, err := e.member.Node.Open(queryCtx, vm)
	if err != nil {
		return attemptResult{verdict: attemptNotRun, err: outcome.Wrap(err, outcome.NoServer, "VM %s cannot be reached", vm)}
	}
	request := &wire.ResumeRequest{RequestId: r.exchange.requestID, ClientAccount: r.exchange.account,
		Offset: uint32(len(r.emitted)), RemainingMs: remainingMillis(r.deadline), Traceparent: observe.Traceparent(ctx)}
	if err := send(queryCtx, sessionLost, stream, &wire.StreamHeader{Body: &wire.StreamHeader_Resume{Resume: request}}); err != nil {
		stream.Close()
		return attemptResult{verdict: attemptNotRun, err: outcome.Wrap(err, outcome.NoServer, "VM %s cannot be reached", vm)}
	}
	stream.SetReadDeadline(time.Now().Add(agentQueryTimeout))
	first := &wire.AgentMessage{}
	if err := stream.Read(first); err != nil {
		stream.Close()
		return attemptResult{verdict: attemptNotRun, err: outcome.Wrap(err, outcome.NoServer, "VM %s did not answer", vm)}
	}
	stream.SetReadDeadline(time.Time{})
	if first.GetAccepted() == nil {
		stream.Close()
		return attemptResult{verdict: attemptNotRun, err: fromWire(first.GetNotRun().GetError())}
	}
	r.accept()
	// The last argument says that the request may have run before.
	return e.followAttempt(ctx, sessionLost, r, vm, stream, first.GetAccepted().AttemptId, true)
}
