package ingress

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"camphorwick.dev/gateway/quarantine"
	"camphorwick.dev/gateway/schedule"
)

func (x *exchange) handlePlacementError(err error) {
	var overload *schedule.OverloadError
	var none *schedule.NoServerError
	var large *schedule.TooLargeError
	var unavailable *schedule.UnavailableError
	var refused *quarantine.RefusedError
	var unknown *quarantine.UnknownError
	var stopping *schedule.StoppingError
	switch {
	case errors.As(err, &stopping):
		x.reason, x.retryAfter = reasonStopping, stoppingRetryAfter
	case errors.As(err, &overload):
		x.reason, x.retryAfter = reasonOverload, overload.RetryAfter
	case errors.As(err, &none):
		x.reason, x.retryAfter = reasonNoServer, startRetryAfter
	case errors.As(err, &unavailable):
		x.reason, x.retryAfter = reasonUnavailable, unavailable.RetryAfter
	case errors.As(err, &large):
		x.reason = reasonTooLarge
	case errors.As(err, &refused):
		x.reason, x.retryAfter = reasonQuarantined, refused.RetryAfter
	case errors.As(err, &unknown):
		x.reason, x.retryAfter = reasonQuarantineUnknown, unknown.RetryAfter
	}
	x.log.Info("request not placed", "service", x.service, "reason", x.reason, "error", err.Error(), "config", x.table.Version)
}

// serverAnswer is a complete answer of a server. An error answer is kept while
// another server is tried, and forwarded if no server succeeds.
type serverAnswer struct {
	server string // ID
	end    answerEnd
	status int
	header http.Header
	body   []byte
}

// forwardAnswer sends a server's answer to the caller unchanged.
func (x *exchange) forwardAnswer(answer *serverAnswer) {
	x.copyHeaders(answer.header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(answer.body)))
	x.writeHead(answer.status)
	x.firstByteAt = time.Now()
	if x.r.Method != http.MethodHead {
		_, _ = x.w.Write(answer.body) // the caller may have disconnected
	}
	x.server, x.end = answer.server, answer.end // not those of a send after it
	x.finish(answer.status, "")
}

// guaranteesNotRun reports whether a status tells the caller that its request has
// not run and never will. A server that answers with it must also state that, or
// the request may have run.
func guaranteesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// copyHeaders copies the forwardable headers of a server's answer to the answer
// for the caller. A nil value keeps net/http from adding a header of its own.
func (x *exchange) copyHeaders(from http.Header) {
	h := x.w.Header()
	for name, values := range forwardable(from) {
		h[name] = values
	}
	if _, ok := from["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	if _, ok := from["Date"]; !ok {
		h["Date"] = nil
	}
}

// fail ends a request without a complete answer of a server. It refuses the
// request only if it has not run and never will, which means that possibleRuns
// is 0.
func (x *exchange) fail() {
	switch {
	case x.callerDisconnected():
		x.finish(statusCallerDisconnected, x.disconnectReason())
		panic(http.ErrAbortHandler)
	case x.headWritten:
		x.finish(http.StatusBadGateway, x.reason)
		x.markBroken()
		panic(http.ErrAbortHandler) // a partial answer must not look complete
	case x.endedByQuarantine():
		x.failQuarantined()
	case x.possibleRuns > 0 && (x.aborted() || x.ctx.Err() != nil || x.end.ending == endingAtTimeLimit):
		x.respond(http.StatusGatewayTimeout, x.endReason())
	case x.possibleRuns > 0:
		x.respond(http.StatusBadGateway, x.reason)
	case x.aborted(), x.reason == reasonStopping:
		x.refuse(http.StatusServiceUnavailable, reasonStopping, stoppingRetryAfter)
	case x.ctx.Err() != nil:
		x.refuse(http.StatusServiceUnavailable, reasonTimeout, 0)
	default:
		x.refuse(http.StatusServiceUnavailable, x.reason, max(x.retryAfter, refusedRetryAfter))
	}
}

// callerDisconnected reports whether the caller has closed its connection or
// could not be written to.
func (x *exchange) callerDisconnected() bool {
	return x.reason == reasonDisconnected || x.r.Context().Err() != nil && !x.aborted()
}

// aborted reports whether the request ends because the gateway stops. The
// contexts of the requests end one after the other, so this does not look at them.
func (x *exchange) aborted() bool { return x.g.requests.Err() != nil }

// endReason returns why the context of the request has ended, if the caller is
// still there.
func (x *exchange) endReason() string {
	switch {
	case x.aborted():
		return reasonStopping
	case x.endedByQuarantine():
		return reasonQuarantined
	}
	return reasonTimeout
}

// disconnectReason returns the reason of a request that ends unanswered because
// its connection was closed.
func (x *exchange) disconnectReason() string {
	cause := closeCause(x.r.Context())
	if cause == "" {
		return reasonDisconnected
	}
	x.log.Error("connection closed by the gateway before the answer", "cause", cause, "server", x.server, "ran", x.possibleRuns)
	return reasonConnectionClosed
}

// finish records metrics and logs the end of the request. The line of a request
// that succeeded at the first send may be omitted.
func (x *exchange) finish(status int, reason string) {
	route, version := "", int64(0)
	if x.route != nil {
		route = x.route.Name
	}
	if x.table != nil {
		version = x.table.Version
	}
	if status < http.StatusBadRequest || reason == reasonTimeout {
		x.recordDuration()
	}
	took := time.Since(x.arrived)
	first := int64(-1) // no answer has begun
	if !x.firstByteAt.IsZero() {
		first = x.firstByteAt.Sub(x.arrived).Milliseconds()
	}
	x.g.Metrics.recordRequest(x.r.Context(), status, reason, took)
	if status < http.StatusBadRequest && x.sends == 1 {
		write, omitted := x.g.lineLimiter.admit(time.Now())
		if omitted > 0 {
			// These are log lines of requests that succeeded at the first send.
			x.g.Log.Info("lines of served requests left out", "lines", omitted)
		}
		if !write {
			return
		}
	}
	x.log.Info("request ended", "status", status, "reason", reason, "route", route, "config", version, "account", x.accountName(),
		"server", x.server, x.end.attrs(), "sends", x.sends, "ran", x.possibleRuns, "prompt_tokens", x.meta.PromptTokens, x.partsAttr(),
		"waited_ms", x.queueWait.Milliseconds(), "expected_ms", x.expectedFirstToken.Milliseconds(), "helpers", x.helpers,
		"writers", x.load.Decoding, "reading_tokens", int(x.load.Prefill.Tokens), "first_ms", first, "longest_pause_ms", x.longestEventGap.Milliseconds(), "took_ms", took.Milliseconds())
}
