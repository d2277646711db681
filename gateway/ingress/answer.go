package ingress

import (
	"io"
	"net/http"
	"time"

	"camphorwick.dev/gateway/routing"
	"camphorwick.dev/gateway/schedule"
	"camphorwick.dev/gateway/upstream"
	"camphorwick.dev/policy/suspect"
)

const (
	// maxBuffered is the largest answer that is buffered before the caller
	// receives its first byte, so that a broken answer can be replaced.
	maxBuffered = 1 << 20
	// refusalBodyTime is how long the body of a refusal is awaited, so that its
	// connection can be used again. It mostly arrives together with the head, which
	// says all that matters.
	refusalBodyTime = 50 * time.Millisecond
)

// handleAnswer checks the head of an answer and forwards the answer if it is
// valid.
func (x *exchange) handleAnswer(a *schedule.Assignment, answer *upstream.Response) (nextStep, *serverAnswer) {
	m := x.g.Wire.DecodeAnswer(answer.Status, answer.Header)
	x.observeReport(a, &m)
	if m.NotRun && m.RequestID == x.meta.ID {
		return x.handleRefusal(a, answer, m), nil
	}
	defer func() { answer.Close(x.end.ending == endingWhole) }()
	x.possibleRuns++
	if !m.Signed || m.NotRun || answer.Header.Get("Content-Encoding") != "" {
		x.reason = reasonNotGenuine
		a.Observe(suspect.Failure)
		x.log.Warn("answer not genuine", "server", a.Server.ID, "status", answer.Status)
		return tryOtherServer, nil
	}
	if !x.route.Retryable() && guaranteesNotRun(answer.Status) {
		x.reason = reasonNotStated
		a.Observe(suspect.Failure)
		x.log.Warn("refusal not stated", "server", a.Server.ID, "status", answer.Status)
		return tryOtherServer, nil
	}
	if x.route.Kind == routing.Stream && answer.Status < http.StatusMultipleChoices {
		return x.relay(a, answer), nil
	}
	return x.handleBuffered(a, answer)
}

// observeReport records what the server of an answer says of itself. A misdirected request
// was answered by another server than the one that it was sent to.
func (x *exchange) observeReport(a *schedule.Assignment, m *AnswerMeta) {
	x.g.Metrics.countReport(&m.Report)
	if len(m.Report.Ignored) > 0 {
		x.log.Info("report of a server ignored", "server", a.Server.ID, "reasons", m.Report.Ignored)
	}
	if !m.Misrouted {
		a.ObserveReport(&m.Report)
	}
}

// handleRefusal records that a server has not run the request, or that it could not
// because of a helper.
func (x *exchange) handleRefusal(a *schedule.Assignment, answer *upstream.Response, m AnswerMeta) nextStep {
	ended := answer.Discard(maxBuffered, refusalBodyTime)
	x.reason = reasonNotRun
	x.tracked.NotRun()
	helper := a.RecordHelperFailure(m.AtServer)
	// A misrouted connection leads to another server. After the failure of a helper this
	// server may get the request again, and the refusal sent once more would have its ID.
	answer.Close(ended && !m.Misrouted && helper == nil)
	if helper != nil {
		x.excluded[len(x.excluded)-1] = helper.ID // instead of the primary engine, which may still succeed
	} else {
		a.Observe(suspect.Failure)
	}
	x.log.Info("server refused", "server", a.Server.ID, "status", answer.Status, "at_server", m.AtServer, "misrouted", m.Misrouted)
	return tryOtherServer
}

// handleBuffered reads a complete answer and forwards it, or returns it if it is
// a server error, because another server may still succeed.
func (x *exchange) handleBuffered(a *schedule.Assignment, answer *upstream.Response) (nextStep, *serverAnswer) {
	body, end, err := x.readBuffered(a, answer)
	x.recordEnd(answerEnd{framing: answer.Framing, ending: end})
	switch {
	case end == endingAtTimeLimit:
		return x.handleTimeLimit(a), nil
	case err != nil:
		x.reason = reasonBroken
		if x.ctx.Err() == nil {
			a.Observe(suspect.Failure)
			x.log.Warn("answer broken", "server", a.Server.ID, "bytes", len(body), x.end.attrs(), x.checkServer(a, true), "error", err.Error())
		}
		return tryOtherServer, nil
	}
	received := &serverAnswer{server: a.Server.ID, end: x.end, status: answer.Status, header: answer.Header, body: body}
	switch {
	case answer.Status >= http.StatusInternalServerError:
		a.Observe(suspect.Failure)
		x.reason = reasonServerError
		x.log.Info("server error", "server", a.Server.ID, "status", answer.Status)
		return failureHeld, received
	case x.headWritten: // the events of a stream cannot be followed by another answer
		x.reason = reasonServerError
		x.log.Warn("stream not resumed", "server", a.Server.ID, "status", answer.Status, "last_event", x.resumeAfter)
		return tryOtherServer, nil
	}
	a.Observe(suspect.Success)
	if answer.Status < http.StatusMultipleChoices {
		x.tracked.Answered()
	}
	x.forwardAnswer(received)
	return answered, nil
}

// readBuffered reads the body of an answer that is forwarded as a whole. Unless it is whole,
// it returns the part that has arrived and an error.
func (x *exchange) readBuffered(a *schedule.Assignment, answer *upstream.Response) ([]byte, ending, error) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBuffered+1))
	if err != nil {
		return body, x.incompleteEnding(endingBroken), err
	}
	end := endingTooLong
	if len(body) <= maxBuffered {
		end = x.unframedEnding(a, answer)
	}
	return body, end, end.err()
}
