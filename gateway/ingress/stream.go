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

var errEventTooLong = errors.New("an event of the stream has no end")

// relay passes a stream on, event by event, so that another server can go on
// after the last whole event.
func (x *exchange) relay(a *schedule.Assignment, answer *upstream.Response) verdict {
	if !x.begun {
		x.writeHead(answer.Header)
	}
	var events eventBuffer
	buffer := make([]byte, relayBuffer)
	read := false
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			if !read {
				read = true
				a.RecordFirstToken()
			}
			events.add(buffer[:n])
			if writeErr := x.passEvents(&events); writeErr != nil {
				x.reason = reasonGone
				return giveUp
			}
			if len(events.rest()) > maxEventBytes {
				return x.broken(a, errEventTooLong)
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return x.endStream(a, &events)
		default:
			return x.broken(a, err)
		}
	}
}

// passEvents writes the whole events of the buffer in one piece.
func (x *exchange) passEvents(events *eventBuffer) error {
	wrote := false
	for event := events.next(); event != nil; event = events.next() {
		if id, ok := eventID(event); ok {
			if x.resume != "" && id <= x.lastID {
				continue // the caller has it already
			}
			x.lastID = id
			x.resume = strconv.FormatInt(id, 10)
		}
		x.begin()
		if _, err := x.w.Write(event); err != nil {
			return err
		}
		wrote = true
	}
	if !wrote {
		return nil
	}
	now := time.Now()
	x.longestPause = max(x.longestPause, now.Sub(x.lastAt))
	x.lastAt = now
	return http.NewResponseController(x.w).Flush()
}

// begin writes the head of the answer.
func (x *exchange) begin() {
	if x.begun {
		return
	}
	x.begun = true
	x.w.WriteHeader(http.StatusOK)
	x.firstAt = time.Now()
	x.lastAt = x.firstAt
	x.g.Metrics.firstToken(x.ctx, x.meta.PromptTokens, x.firstAt.Sub(x.arrived))
}

// endStream ends an answer whose end the server has marked.
func (x *exchange) endStream(a *schedule.Assignment, events *eventBuffer) verdict {
	a.Observe(suspect.Success)
	x.begin()
	if rest := events.rest(); len(rest) > 0 {
		if _, err := x.w.Write(rest); err != nil {
			x.reason = reasonGone
			return giveUp
		}
	}
	x.finish(http.StatusOK, "")
	return done
}

// broken judges a stream that ended early.
func (x *exchange) broken(a *schedule.Assignment, err error) verdict {
	x.reason = reasonBroken
	if x.ctx.Err() != nil {
		x.reason = reasonTimeout
		return giveUp
	}
	a.Observe(suspect.Failure)
	x.log.Warn("stream broken", "server", a.Server.ID, "last_event", x.resume, "error", err.Error())
	return again
}
