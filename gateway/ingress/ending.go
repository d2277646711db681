package ingress

import (
	"errors"
	"log/slog"

	"camphorwick.dev/gateway/upstream"
)

// ending is how a server's answer ended.
type ending string

const (
	// endingWhole is an answer that ends where its framing says. A stream also
	// ends between two events.
	endingWhole ending = "whole"
	// endingInEvent is a stream that ends inside an event.
	endingInEvent ending = "inside_event"
	// endingNoEvent is a stream that ends with its connection before its first
	// event.
	endingNoEvent ending = "before_first_event"
	// endingServerGone is an answer that ends with its connection, a stream between two
	// events, while its server accepts no more connections.
	endingServerGone ending = "server_gone"
	// endingServerUnknown is an answer that ends with its connection, while it is not known
	// whether its server has ended.
	endingServerUnknown ending = "server_unknown"
	// endingReset is an answer that ends with its connection, which was reset, or closed
	// before the server had received the whole request.
	endingReset ending = "reset"
	// endingAtTimeLimit is an answer that ends with its connection, or breaks off, when the
	// server was to stop.
	endingAtTimeLimit ending = "at_time_limit"
	// endingBroken is an answer that breaks off: the connection was closed before
	// the end that the framing states, or was reset.
	endingBroken ending = "broken_off"
	// endingTooLong is an answer or event that exceeds the size limit.
	endingTooLong ending = "too_long"
)

// endingErrors say why an answer does not count as whole although its connection was read
// without an error.
var endingErrors = map[ending]error{
	endingInEvent:       errors.New("the stream ends inside an event"),
	endingNoEvent:       errors.New("the connection ends before the first event"),
	endingServerGone:    errors.New("the connection ends and the server refuses another one"),
	endingServerUnknown: errors.New("the connection ends and the server cannot be asked whether it still runs"),
	endingReset:         errors.New("the connection was reset, or closed before the whole request had arrived"),
	endingAtTimeLimit:   errors.New("the connection ends at the time limit that the server was given"),
	endingTooLong:       errors.New("the answer or an event of it exceeds the size limit"),
}

// err returns why an answer with this ending does not count as whole; nil if it does.
func (e ending) err() error { return endingErrors[e] }

// answerEnd describes the end of a server's answer in logs and metrics.
type answerEnd struct {
	framing upstream.Framing // empty if no answer was read
	ending  ending
	events  int // complete events of a stream
}

// attrs returns the fields of a log line about the end. A group without a name
// adds its fields to the line itself.
func (e answerEnd) attrs() slog.Attr {
	return slog.Group("", "framing", string(e.framing), "ending", string(e.ending), "events", e.events)
}

// recordEnd records the end of a server's answer.
func (x *exchange) recordEnd(e answerEnd) {
	x.end = e
	x.g.Metrics.countAnswer(x.ctx, e)
}
