package ingress

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"camphorwick.dev/gateway/quarantine"
	"camphorwick.dev/gateway/reserve"
	"camphorwick.dev/gateway/routing"
	"camphorwick.dev/gateway/schedule"
	"camphorwick.dev/gateway/upstream"
	"camphorwick.dev/policy/dispatch"
	"camphorwick.dev/policy/footprint"
	"camphorwick.dev/policy/suspect"
)

const (
	// maxSends bounds the sends per request, including those that a server
	// refuses.
	maxSends = 4
	// statusCallerDisconnected is logged when the caller has disconnected; it
	// is never sent.
	statusCallerDisconnected = 499
)

// exchange handles one request of a caller.
type exchange struct {
	g        *Gateway
	w        http.ResponseWriter
	r        *http.Request
	log      *slog.Logger
	ctx      context.Context
	arrived  time.Time
	deadline time.Time
	table    *routing.Table
	route    *routing.Route
	meta     Meta
	account  *routing.Account // nil on public routes and if no accounts are configured
	body     []byte
	// bodyBegun is set if a part of the body may have been read, bodyRead if it is complete.
	bodyBegun, bodyRead bool
	// bodyRoom is the memory of the body, holder that of the connection.
	bodyRoom footprint.Room
	holder   *footprint.Holder
	tracked  *quarantine.Request // nil for a prompt without shared parts

	service      string
	sends        int
	possibleRuns int       // sends after which the request may have run
	excluded     []string  // servers that must not get the request again
	sentAt       time.Time // when the request was placed for the last send
	headWritten  bool      // the head of a stream was written
	status       int       // status of a stream whose head was written
	firstByteAt  time.Time // when the first byte was written
	lastEventsAt time.Time // when the last events of a stream were written
	// longestEventGap is the longest time between events of a stream.
	longestEventGap time.Duration
	// forwardedEvents counts the events that the caller has received.
	forwardedEvents    int
	resumeAfter        string        // ID of the last event that the caller has received
	lastNumericID      int64         // resumeAfter as a number
	eventsWithoutID    bool          // the caller has received events without an ID after that event
	server             string        // server of the last send
	limit              timeLimit     // that the server of the last send was given
	end                answerEnd     // end of the answer to the last send; zero if none was read
	reason             string        // why the last send did not succeed
	expectedFirstToken time.Duration // estimate at the last placement
	helpers            int           // number of helpers at the last placement
	load               dispatch.Load // load of the chosen engine at the last placement
	queueWait          time.Duration // from arrival to the last placement
	retryAfter         time.Duration // for the Retry-After of a refusal
}

// nextStep is what to do after a send.
type nextStep uint8

const (
	answered       nextStep = iota // the caller has its answer
	tryOtherServer                 // another server may be tried
	placeAgain                     // nothing was sent; the request may be placed again, also on the same server
	endUnanswered                  // the request ends without an answer of a server
	failureHeld                    // a server's error answer is kept and forwarded if no other server succeeds
)

// run sends the request to servers until one has answered or no further server
// may be tried.
func (x *exchange) run() {
	x.resumeAfter = x.meta.LastEventID
	if id, err := strconv.ParseInt(x.resumeAfter, 10, 64); err == nil {
		x.lastNumericID = id
	}
	x.g.countRequest(x.service)
	var held *serverAnswer
	for {
		next, answer := x.send()
		if answer != nil {
			held = answer
		}
		if next == answered {
			return
		}
		if next == endUnanswered || !x.mayRetry(next) {
			break
		}
	}
	if held != nil && !x.headWritten && x.ctx.Err() == nil {
		x.forwardAnswer(held)
		return
	}
	x.fail()
}

// mayRetry reports whether the request may be sent to another server.
func (x *exchange) mayRetry(next nextStep) bool {
	switch {
	case x.ctx.Err() != nil, x.aborted(), x.sends >= maxSends:
		return false
	case x.possibleRuns > 0 && !x.route.Retryable():
		return false
	case x.possibleRuns >= x.route.MaxServers:
		return false
	case x.eventsWithoutID: // another server would send them again
		x.log.Warn("stream cannot be resumed, its last events have no id", "last_event", x.resumeAfter)
		return false
	}
	if next == placeAgain { // the server has not failed, so it is not excluded
		x.excluded = x.excluded[:len(x.excluded)-1]
		return x.waitForMemory()
	}
	if x.reason == reasonUnreachable {
		return true // the request did not arrive, so this is not a second run
	}
	if !x.g.tryRetry(x.service) {
		x.log.Warn("retry refused by the budget", "service", x.service, "reason", x.reason)
		x.g.Metrics.count(x.g.Metrics.budgetRefusals, x.service)
		return false
	}
	x.g.Metrics.count(x.g.Metrics.retries, x.reason)
	return true
}

// memoryRetryDelay is the time before a request is placed again because memory
// could not be reserved. It is about one pass of an engine.
const memoryRetryDelay = 60 * time.Millisecond

// waitForMemory waits for memoryRetryDelay. It returns false if the request ends
// in the meantime.
func (x *exchange) waitForMemory() bool {
	select {
	case <-x.ctx.Done():
		return false
	case <-time.After(memoryRetryDelay):
		return true
	}
}

// Reasons for which a send did not succeed.
const (
	reasonUnreachable = "server_unreachable"
	reasonNoAnswer    = "no_answer"
	reasonNotRun      = "server_refused"
	reasonNotGenuine  = "answer_not_genuine"
	reasonNotStated   = "refusal_not_stated"
	reasonServerError = "server_error"
	reasonBroken      = "answer_broken"
	reasonOverload    = "overloaded"
	reasonNoServer    = "no_server"
	// reasonUnavailable means that all servers leave or want no requests.
	reasonUnavailable = "servers_unavailable"
	reasonTooLarge    = "prompt_too_large"
	reasonMemory      = "memory_not_reserved"
	reasonBodyMemory  = "body_memory_taken"
	reasonTimeout     = "timeout"
	reasonStopping    = "stopping"
	reasonBehind      = "configuration_behind"
	// reasonQuarantined means that servers crash on a part of the prompt.
	reasonQuarantined = "part_quarantined"
	// reasonQuarantineUnknown means that the gateway has not read the quarantined parts.
	reasonQuarantineUnknown = "quarantine_unknown"
	reasonDisconnected      = "caller_gone"
	// reasonConnectionClosed means that the gateway closed the caller's
	// connection while the request was in flight.
	reasonConnectionClosed = "connection_closed"
)

// send assigns the request to a server, sends it there and forwards the answer.
func (x *exchange) send() (nextStep, *serverAnswer) {
	if err := x.tracked.Admit(x.ctx); err != nil {
		x.handlePlacementError(err)
		return endUnanswered, nil
	}
	a, err := x.g.Scheduler.Acquire(x.ctx, x.placement())
	if err != nil {
		x.handlePlacementError(err)
		return endUnanswered, nil
	}
	defer a.End()
	if x.aborted() { // the place became free because another request was aborted
		return endUnanswered, nil
	}
	x.sends++
	x.sentAt = time.Now()
	x.server, x.end = a.Server.ID, answerEnd{}
	x.expectedFirstToken, x.helpers, x.load, x.queueWait = a.Expected, len(a.Helpers), a.Load, time.Since(x.arrived)
	x.excluded = append(x.excluded, a.Server.ID)
	x.g.Metrics.recordQueueWait(x.ctx, time.Since(x.arrived))
	ctx, cancel := x.sendContext()
	defer cancel()
	reservation, err := x.g.Reserver.Reserve(ctx, a)
	if err != nil {
		x.reason, x.retryAfter = reasonMemory, refusedRetryAfter
		x.log.Info("memory not reserved", "server", a.Server.ID, "helpers", len(a.Helpers), "error", err.Error())
		return placeAgain, nil
	}
	defer reservation.Release()
	if reservation != nil && !a.MaySend() { // it has taken a while
		x.reason, x.retryAfter = reasonUnavailable, refusedRetryAfter
		x.log.Info("request not sent, a server has reported that it leaves or wants no requests", "server", a.Server.ID, "helpers", len(a.Helpers))
		return placeAgain, nil
	}
	ctx, stopUnused := x.limitUnused(ctx, reservation)
	stopUnresponsive := x.suspectWhenUnresponsive(a)
	x.tracked.Sent(a.Server.ID)
	answer, err := x.g.Client.Do(ctx, a.Server.Address, x.request(a, reservation))
	stopUnused()
	stopUnresponsive()
	if err != nil {
		return x.handleNoAnswer(ctx, a, err), nil
	}
	return x.handleAnswer(a, answer)
}

// request builds the request for the assigned server.
func (x *exchange) request(a *schedule.Assignment, reservation *reserve.Reservation) *upstream.Request {
	h := forwardable(x.r.Header)
	x.limit = newTimeLimit(time.Now(), x.deadline)
	out := Outbound{ServerID: a.Server.ID, Account: x.accountName(), LastEventID: x.resumeAfter, TimeLeft: x.limit.left}
	for i, helper := range a.Helpers {
		out.Helpers = append(out.Helpers, Helper{Address: helper.Address, ReservationID: reservation.ReservationID(i)})
	}
	x.g.Wire.EncodeRequest(h, out)
	if len(x.body) > 0 || x.r.ContentLength != 0 {
		h["Content-Length"] = []string{strconv.Itoa(len(x.body))}
	}
	var head bytes.Buffer
	head.WriteString(x.r.Method + " " + x.r.RequestURI + " HTTP/1.1\r\nHost: " + x.r.Host + "\r\n")
	_ = h.Write(&head) // a write to a bytes.Buffer never fails
	head.WriteString("\r\n")
	return &upstream.Request{Method: x.r.Method, Head: head.Bytes(), Body: x.body, AtMostOnce: !x.route.Retryable(),
		IsAnswer: x.isAnswer}
}

// isAnswer reports whether an answer may be that to the request. Servers repeat the ID of
// a request in its answer. Without it, an answer on a kept connection may be that to an
// earlier request, sent once more.
func (x *exchange) isAnswer(h http.Header, kept bool) bool {
	id := x.g.Wire.DecodeAnswer(0, h).RequestID
	return id == x.meta.ID || id == "" && !kept
}

// handleNoAnswer records a send without an answer and decides what to do next.
func (x *exchange) handleNoAnswer(ctx context.Context, a *schedule.Assignment, err error) nextStep {
	var failed *upstream.Error
	sent := !errors.As(err, &failed) || failed.Sent
	x.reason = reasonUnreachable
	if sent {
		x.reason = reasonNoAnswer
		x.possibleRuns++
	} else {
		x.tracked.NotRun()
	}
	if x.callerDisconnected() {
		if closeCause(x.r.Context()) == "" {
			x.log.Info("caller disconnected before the answer", "server", a.Server.ID, "sent", sent)
		}
		return endUnanswered
	}
	if x.ctx.Err() != nil {
		x.log.Info("no answer in time", "server", a.Server.ID, "sent", sent, "error", err.Error())
		return endUnanswered
	}
	if errors.Is(context.Cause(ctx), errUnused) {
		x.reason = reasonMemory
		x.log.Warn("reserved memory given up", "server", a.Server.ID, "helpers", len(a.Helpers), "error", errUnused.Error())
		return tryOtherServer
	}
	if sent && x.limit.reached(time.Now()) {
		x.end = answerEnd{ending: endingAtTimeLimit} // without a head there is no answer to count
		return x.handleTimeLimit(a)
	}
	a.Observe(suspect.Unreachable)
	x.log.Warn("send failed", "server", a.Server.ID, "sent", sent, x.checkServer(a, sent), "error", err.Error())
	return tryOtherServer
}
