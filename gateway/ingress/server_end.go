package ingress

import (
	"context"
	"errors"
	"log/slog"
	"net/http"

	"camphorwick.dev/cloud/tcpprobe"
	"camphorwick.dev/gateway/quarantine"
	"camphorwick.dev/gateway/schedule"
)

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 8

// checkServer finds out whether the server of an answer that broke off or did not come has
// ended, and records that for the parts of the prompt if the request was sent. It returns
// the fields of a log line, none for a prompt without shared parts.
func (x *exchange) checkServer(a *schedule.Assignment, sent bool) slog.Attr {
	if len(x.meta.SharedParts) == 0 {
		return slog.Attr{}
	}
	if !sent || !x.tracked.Suspicious() {
		return x.partsAttr()
	}
	ended := x.serverEnded(a)
	if ended {
		x.tracked.ServerCrashed()
	}
	return slog.Group("", "server_ended", ended, x.partsAttr())
}

// serverEnded reports whether the process of a server has ended, though not as planned. It
// asks by a connection, because a connection may also end alone.
func (x *exchange) serverEnded(a *schedule.Assignment) bool {
	if a.ServerEndsAsPlanned() {
		return false
	}
	switch x.end.ending {
	case endingServerGone:
		return true
	case endingServerUnknown: // it was asked just now
		return false
	}
	return x.g.Client.Probe(x.ctx, a.Server.Address) == tcpprobe.Refusing
}

// partsAttr returns the field of a log line with the parts of the prompt, none if it has
// no shared parts.
func (x *exchange) partsAttr() slog.Attr {
	parts := x.meta.SharedParts
	if len(parts) == 0 {
		return slog.Attr{}
	}
	return slog.Any("shared_parts", parts[:min(len(parts), maxLoggedParts)])
}

// quarantineError returns why the request was ended by a verdict on its prompt, or nil.
func (x *exchange) quarantineError() *quarantine.RefusedError {
	var refused *quarantine.RefusedError
	if errors.As(context.Cause(x.ctx), &refused) {
		return refused
	}
	return nil
}

// endedByQuarantine reports whether the request was ended by a verdict on its prompt.
func (x *exchange) endedByQuarantine() bool { return x.quarantineError() != nil }

// failQuarantined ends a request that was ended by a verdict on its prompt. It is refused
// if it has not run.
func (x *exchange) failQuarantined() {
	refused := x.quarantineError()
	x.log.Info("request ended by quarantine", "part", refused.Part, "since", refused.Since, "server", x.server, "ran", x.possibleRuns)
	if x.possibleRuns > 0 {
		x.respond(http.StatusBadGateway, reasonQuarantined)
		return
	}
	x.refuse(http.StatusServiceUnavailable, reasonQuarantined, refused.RetryAfter)
}
