package ingress

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"camphorwick.dev/gateway/schedule"
	"camphorwick.dev/gateway/upstream"
	"camphorwick.dev/policy/suspect"
)

const relayBuffer = 4 << 10

// relay forwards the complete events of a stream, so that another server can
// resume it after the last of them if it ends early.
func (x *exchange) relay(a *schedule.Assignment, answer *upstream.Response) nextStep {
	var events eventBuffer
	buffer := make([]byte, relayBuffer) // bytes of one read from the server
	pace := eventPace{assignment: a}
	started := false
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			if !started {
				started = true
				a.RecordFirstToken()
				x.g.times.recordFirstEvent(x.firstEventSeries(), time.Since(x.sentAt))
			}
			events.add(buffer[:n])
			before := events.count
			if writeErr := x.forwardEvents(answer, &events); writeErr != nil {
				x.reason = reasonDisconnected
				return endUnanswered
			}
			pace.add(events.count-before, time.Now())
			if len(events.rest()) > maxEventBytes {
				x.recordEnd(answerEnd{answer.Framing, endingTooLong, events.count})
				return x.handleBrokenStream(a, endingTooLong.err())
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			pace.end(time.Now())
			return x.endStream(a, answer, &events)
		default:
			x.recordEnd(answerEnd{answer.Framing, x.incompleteEnding(endingBroken), events.count})
			return x.handleBrokenStream(a, err)
		}
	}
}

// forwardEvents writes the complete events of the buffer, without those that the
// caller already has, and flushes once. The head of the answer, if it is not
// written, is that of the server's answer.
func (x *exchange) forwardEvents(answer *upstream.Response, events *eventBuffer) error {
	wrote := false
	for event := events.next(); event != nil; event = events.next() {
		if id, ok := eventID(event); ok {
			if x.resumeAfter != "" && id <= x.lastNumericID {
				continue // the caller already has this event
			}
			x.lastNumericID = id
			x.resumeAfter = strconv.FormatInt(id, 10)
			x.eventsWithoutID = false
			x.forwardedEvents++
		} else if hasField(event) {
			x.eventsWithoutID = true
		}
		x.writeStreamHead(answer)
		if _, err := x.w.Write(event); err != nil {
			return err
		}
		wrote = true
	}
	if !wrote {
		return nil
	}
	x.tracked.Event()
	now := time.Now()
	x.longestEventGap = max(x.longestEventGap, now.Sub(x.lastEventsAt))
	x.lastEventsAt = now
	return http.NewResponseController(x.w).Flush()
}

// writeStreamHead writes the head of the answer before the first event. Until then
// nothing of a server's header is kept: it may break off, and its header must not
// be on the answer of the gateway or of another server.
func (x *exchange) writeStreamHead(answer *upstream.Response) {
	if x.headWritten {
		return
	}
	x.copyHeaders(answer.Header)
	x.headWritten = true
	x.status = answer.Status
	x.writeHead(answer.Status)
	x.firstByteAt = time.Now()
	x.lastEventsAt = x.firstByteAt
	x.g.Metrics.recordFirstToken(x.ctx, x.meta.PromptTokens, x.firstByteAt.Sub(x.arrived))
}

// streamEnding returns how a stream ended whose body was read to its end.
func (x *exchange) streamEnding(a *schedule.Assignment, answer *upstream.Response, events *eventBuffer) ending {
	switch {
	case len(events.rest()) > 0:
		return x.incompleteEnding(endingInEvent)
	case answer.Framing == upstream.FramedByClose && events.count == 0:
		return x.incompleteEnding(endingNoEvent)
	}
	return x.unframedEnding(a, answer)
}

// endStream completes the answer if the stream is whole. The end of the body does
// not show that: a server that fails may end its connection in good order.
func (x *exchange) endStream(a *schedule.Assignment, answer *upstream.Response, events *eventBuffer) nextStep {
	x.recordEnd(answerEnd{answer.Framing, x.streamEnding(a, answer, events), events.count})
	if x.end.ending != endingWhole {
		return x.handleBrokenStream(a, x.end.ending.err())
	}
	a.Observe(suspect.Success)
	x.tracked.Answered()
	x.recordAnswer()
	x.writeStreamHead(answer)
	x.finish(x.status, "")
	return answered
}

// handleBrokenStream decides what to do after a stream that ended early.
func (x *exchange) handleBrokenStream(a *schedule.Assignment, err error) nextStep {
	if x.end.ending == endingAtTimeLimit {
		return x.handleTimeLimit(a)
	}
	x.reason = reasonBroken
	if x.ctx.Err() != nil {
		x.reason = x.endReason()
		return endUnanswered
	}
	a.Observe(suspect.Failure)
	x.log.Warn("stream broken", "server", a.Server.ID, "last_event", x.resumeAfter, x.end.attrs(), x.checkServer(a, true), "error", err.Error())
	return tryOtherServer
}
