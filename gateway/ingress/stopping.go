package ingress

import (
	"net/http"
	"time"

	"camphorwick.dev/gateway/routing"
	"camphorwick.dev/gateway/schedule"
)

// RefuseAfter makes the gateway refuse new requests, and those that wait for a server, that
// may last beyond stop, unless their callers may retry them.
func (g *Gateway) RefuseAfter(stop time.Time) {
	g.Scheduler.StopAt(stop)
	g.stopping.Store(true)
}

// checkStop refuses a request that the gateway, which stops, may not be able to finish
// wherever it is placed. It returns false then.
func (x *exchange) checkStop() bool {
	placement := x.placement()
	err := x.g.Scheduler.CheckStop(&placement)
	if err == nil {
		return true
	}
	x.handlePlacementError(err)
	x.refuse(http.StatusServiceUnavailable, reasonStopping, stoppingRetryAfter)
	return false
}

// duration returns how long the request may take from its placement on. An idempotent one may
// be cut: its caller may retry it.
func (x *exchange) duration(now time.Time) schedule.Duration {
	switch x.route.Kind {
	case routing.Idempotent:
		return schedule.Duration{}
	case routing.Stream:
		return schedule.Duration{Whole: x.usualDuration(now, 0), FirstEvent: x.g.times.firstEvent(x.firstEventSeries(), now), AnswerTokens: x.remainingTokens(now)}
	}
	return schedule.Duration{Whole: x.usualDuration(now, hangFactor*x.route.LatencyTarget)}
}

// usualDuration returns how long requests of the route took lately, and at least the given
// time; without either, all the time that the request has.
func (x *exchange) usualDuration(now time.Time, least time.Duration) time.Duration {
	left := max(x.deadline.Sub(now), 1)
	usual := x.g.times.whole(x.route.Name, now)
	if usual > 0 {
		usual += schedule.EndSlack(x.route.LatencyTarget)
	}
	usual = max(usual, least)
	if usual == 0 {
		return left
	}
	return min(usual, left)
}

// remainingTokens returns the tokens of the answer, without the events that the caller has: of
// the longest one, or of as long a part of it as answers of the route had lately. The caller's
// estimate is not used, because it is often too short.
func (x *exchange) remainingTokens(now time.Time) int {
	longest := x.meta.MaxAnswerTokens
	if longest == 0 {
		return 0
	}
	expected := int(x.g.times.answer(x.route.Name, now) * float64(longest))
	return max(expected-x.forwardedTokens(), 1)
}

// forwardedTokens returns the tokens that the caller has received; 0 if the engine of the service
// is not known.
func (x *exchange) forwardedTokens() int {
	s := x.table.Service(x.service)
	if s == nil || s.Engine == nil {
		return 0
	}
	return x.forwardedEvents * s.Engine.StepsPerPass
}

// recordAnswer records the length of a whole stream, unless its caller has resumed it.
func (x *exchange) recordAnswer() {
	if longest := x.meta.MaxAnswerTokens; longest > 0 && x.meta.LastEventID == "" {
		x.g.times.recordAnswer(x.route.Name, float64(x.forwardedTokens())/float64(longest))
	}
}
