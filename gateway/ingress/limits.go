package ingress

import (
	"context"
	"errors"
	"time"

	"camphorwick.dev/gateway/reserve"
	"camphorwick.dev/gateway/routing"
	"camphorwick.dev/gateway/schedule"
)

// hangFactor times the latency target is how long an idempotent request waits
// for a server if it may go to another.
const hangFactor = 3

// sendContext bounds one send. An idempotent request leaves a server that
// hangs while it may still go to another.
func (x *exchange) sendContext() (context.Context, context.CancelFunc) {
	if x.route.Kind == routing.Idempotent && x.route.LatencyTarget > 0 && x.possibleRuns+1 < x.route.MaxServers {
		return context.WithTimeoutCause(x.ctx, hangFactor*x.route.LatencyTarget, errServerHangs)
	}
	return context.WithCancel(x.ctx)
}

var errServerHangs = errors.New("the server does not answer in several times the latency target")

// unusedMargin is how long before the platform's limit unused memory is given
// up; its release takes a call to each engine.
const unusedMargin = 1500 * time.Millisecond

var errUnused = errors.New("reserved memory was not used in its time")

// limitUnused ends a send with reserved memory that is not answered before the
// memory counts as unused. The returned function must be called at the answer.
func (x *exchange) limitUnused(ctx context.Context, hold *reserve.Reservation) (context.Context, func()) {
	if hold == nil || x.g.UnusedMemory <= unusedMargin {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(x.g.UnusedMemory-unusedMargin, func() { cancel(errUnused) })
	return ctx, func() { timer.Stop() }
}

const (
	// unresponsiveFactor times the expected time to the first token, and at least
	// minSilence, is the silence from which an engine is doubted. Engines in
	// long passes are silent, too.
	unresponsiveFactor  = 3
	minUnresponsiveTime = time.Second
)

// suspectWhenUnresponsive makes other requests prefer other engines if this one stays
// silent. The returned function must be called at the answer.
func (x *exchange) suspectWhenUnresponsive(a *schedule.Assignment) (stop func()) {
	if a.Expected == 0 {
		return func() {}
	}
	timer := time.AfterFunc(max(minUnresponsiveTime, unresponsiveFactor*a.Expected), func() {
		if a.SuspectUnresponsive() {
			x.log.Info("server doubted, it is silent", "server", a.Server.ID, "expected_ms", a.Expected.Milliseconds())
		}
	})
	return func() { timer.Stop() }
}
