package ingress

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"camphorwick.dev/gateway/reserve"
	"camphorwick.dev/gateway/routing"
	"camphorwick.dev/gateway/schedule"
	"camphorwick.dev/gateway/upstream"
	"camphorwick.dev/policy/dispatch"
	"camphorwick.dev/policy/suspect"
)

const (
	// maxSends bounds the servers that are tried, refusals included.
	maxSends = 4
	// maxBuffered is the largest answer that is read whole before the caller
	// gets its first byte, so that a broken one can be replaced.
	maxBuffered = 1 << 20
	// statusCallerGone is logged for callers that went away; it is not sent.
	statusCallerGone = 499
)

// exchange is one request of a caller.
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
	account  *routing.Account // nil on public routes and without accounts
	body     []byte

	service  string
	sends    int
	ran      int // sends that may have run
	excluded []string
	begun    bool      // the head of the answer was written
	firstAt  time.Time // when the first byte was written
	lastAt   time.Time // when the last events of a stream were written
	// longestPause is the longest time between events of a stream.
	longestPause time.Duration
	resume       string // last event that the caller has
	lastID       int64
	server       string
	reason       string        // why the last send did not succeed
	expected     time.Duration // estimate of the last placement
	helpers      int
	load         dispatch.Load // of the chosen engine at the last placement
	waited       time.Duration
	retry        time.Duration
}

// verdict says how to go on after a send.
type verdict uint8

const (
	done     verdict = iota // the caller has its answer
	again                   // another server may be tried
	unplaced                // nothing was sent; another placement may do
	giveUp                  // the request ends without an answer of a server
	pending                 // a failure of the server is at hand, to be passed on if no other server helps
)

// run sends the request to servers until one has answered or none may be
// tried.
func (x *exchange) run() {
	x.service = x.route.PickService()
	x.resume = x.meta.LastEventID
	if id, err := strconv.ParseInt(x.resume, 10, 64); err == nil {
		x.lastID = id
	}
	x.g.countRequest(x.service)
	var held *heldAnswer
	for {
		v, answer := x.send()
		if answer != nil {
			held = answer
		}
		if v == done {
			return
		}
		if v == giveUp || !x.mayRepeat(v) {
			break
		}
	}
	if held != nil && !x.begun && x.ctx.Err() == nil {
		x.passOn(held)
		return
	}
	x.fail()
}

// mayRepeat reports whether another server may get the request.
func (x *exchange) mayRepeat(v verdict) bool {
	switch {
	case x.ctx.Err() != nil, x.sends >= maxSends:
		return false
	case x.ran > 0 && !x.route.Repeatable():
		return false
	case x.ran >= x.route.MaxServers:
		return false
	}
	if v == unplaced {
		x.excluded = x.excluded[:len(x.excluded)-1]
		return x.pause()
	}
	if x.reason == reasonUnreachable {
		return true // nothing arrived, so nothing is repeated
	}
	if !x.g.tryRepeat(x.service) {
		x.log.Warn("repeat refused by the budget", "service", x.service, "reason", x.reason)
		x.g.Metrics.count(x.g.Metrics.budgetRefusals, x.service)
		return false
	}
	x.g.Metrics.count(x.g.Metrics.repeats, x.reason)
	return true
}

// reservePause is the time after which memory that was not free is asked for
// again: about a pass of an engine.
const reservePause = 60 * time.Millisecond

// pause waits before another placement; false if the time is over.
func (x *exchange) pause() bool {
	select {
	case <-x.ctx.Done():
		return false
	case <-time.After(reservePause):
		return true
	}
}

// Reasons why a send did not succeed.
const (
	reasonUnreachable = "server_unreachable"
	reasonNoAnswer    = "no_answer"
	reasonNotRun      = "server_refused"
	reasonForeign     = "answer_not_genuine"
	reasonServerError = "server_error"
	reasonBroken      = "answer_broken"
	reasonOverload    = "overloaded"
	reasonNoServer    = "no_server"
	reasonTooLarge    = "prompt_too_large"
	reasonMemory      = "memory_not_reserved"
	reasonTimeout     = "timeout"
	reasonGone        = "caller_gone"
)

// send assigns the request to a server, sends it there and passes the answer
// on.
func (x *exchange) send() (verdict, *heldAnswer) {
	a, err := x.g.Scheduler.Acquire(x.ctx, x.placement())
	if err != nil {
		x.notPlaced(err)
		return giveUp, nil
	}
	defer a.End()
	x.sends++
	x.server = a.Server.ID
	x.expected, x.helpers, x.load, x.waited = a.Expected, len(a.Helpers), a.Load, time.Since(x.arrived)
	x.excluded = append(x.excluded, a.Server.ID)
	x.g.Metrics.wait(x.ctx, time.Since(x.arrived))
	ctx, cancel := x.sendContext()
	defer cancel()
	hold, err := x.g.Reserver.Reserve(ctx, a)
	if err != nil {
		x.reason, x.retry = reasonMemory, refusedRetryAfter
		x.log.Info("memory not reserved", "server", a.Server.ID, "helpers", len(a.Helpers), "error", err.Error())
		return unplaced, nil
	}
	defer hold.Release()
	ctx, answered := x.limitUnused(ctx, hold)
	heard := x.doubtWhenSilent(a)
	answer, err := x.g.Client.Do(ctx, a.Server.Address, x.request(a, hold))
	answered()
	heard()
	if err != nil {
		return x.noAnswer(ctx, a, err), nil
	}
	return x.take(a, answer)
}

// request builds the request for the assigned server.
func (x *exchange) request(a *schedule.Assignment, hold *reserve.Hold) *upstream.Request {
	h := forwardable(x.r.Header)
	out := Outbound{ServerID: a.Server.ID, Account: x.accountName(), LastEventID: x.resume, TimeLeft: time.Until(x.deadline)}
	for i, helper := range a.Helpers {
		out.Helpers = append(out.Helpers, Helper{Address: helper.Address, Ticket: hold.Ticket(i)})
	}
	x.g.Wire.EncodeRequest(h, out)
	if len(x.body) > 0 || x.r.ContentLength != 0 {
		h["Content-Length"] = []string{strconv.Itoa(len(x.body))}
	}
	var head bytes.Buffer
	head.WriteString(x.r.Method + " " + x.r.RequestURI + " HTTP/1.1\r\nHost: " + x.r.Host + "\r\n")
	_ = h.Write(&head) // a bytes.Buffer takes all bytes
	head.WriteString("\r\n")
	return &upstream.Request{Method: x.r.Method, Head: head.Bytes(), Body: x.body, Once: !x.route.Repeatable(),
		Belongs: func(h http.Header) bool {
			id := x.g.Wire.DecodeAnswer(0, h).RequestID
			return id == "" || id == x.meta.ID
		}}
}

// noAnswer judges a send without an answer.
func (x *exchange) noAnswer(ctx context.Context, a *schedule.Assignment, err error) verdict {
	var failed *upstream.Error
	sent := !errors.As(err, &failed) || failed.Sent
	x.reason = reasonUnreachable
	if sent {
		x.reason = reasonNoAnswer
		x.ran++
	}
	if x.callerGone() {
		x.log.Info("caller gone before the answer", "server", a.Server.ID, "sent", sent)
		return giveUp
	}
	if x.ctx.Err() != nil {
		x.log.Info("no answer in time", "server", a.Server.ID, "sent", sent, "error", err.Error())
		return giveUp
	}
	if errors.Is(context.Cause(ctx), errUnused) {
		x.reason = reasonMemory
		x.log.Warn("reserved memory given up", "server", a.Server.ID, "helpers", len(a.Helpers), "error", errUnused.Error())
		return again
	}
	a.Observe(suspect.Unreachable)
	x.log.Warn("send failed", "server", a.Server.ID, "sent", sent, "error", err.Error())
	return again
}

// take judges the head of an answer and passes it on.
func (x *exchange) take(a *schedule.Assignment, answer *upstream.Response) (verdict, *heldAnswer) {
	whole := false
	defer func() { answer.Close(whole) }()
	m := x.g.Wire.DecodeAnswer(answer.Status, answer.Header)
	if m.NotRun {
		_, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxBuffered))
		whole = err == nil
		x.reason = reasonNotRun
		if helper := a.RecordHelperFailure(m.AtServer); helper != nil {
			x.excluded[len(x.excluded)-1] = helper.ID // the first server may well do
		} else {
			a.Observe(suspect.Failure)
		}
		x.log.Info("server refused", "server", a.Server.ID, "status", answer.Status, "at_server", m.AtServer, "misrouted", m.Misrouted)
		return again, nil
	}
	x.ran++
	if !m.Signed || answer.Header.Get("Content-Encoding") != "" {
		x.reason = reasonForeign
		a.Observe(suspect.Failure)
		x.log.Warn("answer not genuine", "server", a.Server.ID, "status", answer.Status)
		return again, nil
	}
	if x.route.Kind == routing.Stream && answer.Status < http.StatusMultipleChoices {
		v := x.relay(a, answer)
		whole = v == done
		return v, nil
	}
	return x.buffer(a, answer, &whole)
}

// buffer reads an answer whole and passes it on, or holds a server's failure
// while another server may do better.
func (x *exchange) buffer(a *schedule.Assignment, answer *upstream.Response, whole *bool) (verdict, *heldAnswer) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBuffered+1))
	if err != nil || len(body) > maxBuffered {
		x.reason = reasonBroken
		if x.ctx.Err() == nil {
			a.Observe(suspect.Failure)
			x.log.Warn("answer broken", "server", a.Server.ID, "bytes", len(body), "error", errorText(err))
		}
		return again, nil
	}
	*whole = true
	held := &heldAnswer{status: answer.Status, header: answer.Header, body: body}
	if answer.Status >= http.StatusInternalServerError {
		a.Observe(suspect.Failure)
		x.reason = reasonServerError
		return pending, held
	}
	a.Observe(suspect.Success)
	x.passOn(held)
	return done, nil
}

func errorText(err error) string {
	if err == nil {
		return "too long"
	}
	return err.Error()
}
