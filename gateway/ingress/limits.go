package ingress

import (
	"context"
	"errors"
	"time"

	"camphorwick.dev/gateway/reserve"
	"camphorwick.dev/gateway/routing"
	"camphorwick.dev/gateway/schedule"
)

// hangFactor is how long an idempotent request that may be sent to another server
// waits for the answer of the first, as a multiple of the latency target.
const hangFactor = 3

// sendContext bounds one send. An idempotent request abandons a server that
// hangs if it may be sent to another one.
func (x *exchange) sendContext() (context.Context, context.CancelFunc) {
	if x.route.Kind == routing.Idempotent && x.route.LatencyTarget > 0 && x.possibleRuns+1 < x.route.MaxServers {
		return context.WithTimeoutCause(x.ctx, hangFactor*x.route.LatencyTarget, errServerHangs)
	}
	return context.WithCancel(x.ctx)
}

var errServerHangs = errors.New("no answer within several times the latency target")

// unusedMargin is the time between the release of unused memory and the
// platform's limit. It leaves time for the release, which takes one call per
// engine.
const unusedMargin = 1500 * time.Millisecond

var errUnused = errors.New("reserved memory not used in time")

// limitUnused cancels a send with reserved memory unless the answer begins
// before the memory counts as unused. The returned function must be called when
// the answer begins.
func (x *exchange) limitUnused(ctx context.Context, reservation *reserve.Reservation) (context.Context, func()) {
	if reservation == nil || x.g.UnusedMemory <= unusedMargin {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(x.g.UnusedMemory-unusedMargin, func() { cancel(errUnused) })
	return ctx, func() { timer.Stop() }
}

const (
	// An engine is suspected if it has not answered for unresponsiveFactor
	// times the expected time to first token, and at least for
	// minUnresponsiveTime. Shorter times would also be reached by engines in
	// long passes.
	unresponsiveFactor  = 3
	minUnresponsiveTime = time.Second
)

// suspectWhenUnresponsive marks the server as suspected if it does not answer,
// so that other requests prefer other engines. The returned function must be
// called when the answer begins.
func (x *exchange) suspectWhenUnresponsive(a *schedule.Assignment) (stop func()) {
	if a.Expected == 0 {
		return func() {}
	}
	timer := time.AfterFunc(max(minUnresponsiveTime, unresponsiveFactor*a.Expected), func() {
		if a.SuspectUnresponsive() {
			x.log.Info("server suspected, it is unresponsive", "server", a.Server.ID, "expected_ms", a.Expected.Milliseconds())
		}
	})
	return func() { timer.Stop() }
}
