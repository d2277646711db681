package ingress

import (
	"math/bits"
	"net/http"
	"strconv"
	"sync"
	"time"

	"camphorwick.dev/gateway/routing"
	"camphorwick.dev/gateway/schedule"
	"camphorwick.dev/policy/recent"
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
		return schedule.Duration{Whole: x.usualDuration(now, 0), FirstEvent: x.g.times.firstEvent(x.firstEventSeries(), now), AnswerTokens: x.remainingTokens()}
	}
	return schedule.Duration{Whole: x.usualDuration(now, hangFactor*x.route.LatencyTarget)}
}

// usualDuration returns how long requests of the route took lately, and at least the given
// time; without either, all the time that the request has.
func (x *exchange) usualDuration(now time.Time, least time.Duration) time.Duration {
	left := max(x.deadline.Sub(now), 1)
	usual := max(x.g.times.whole(x.route.Name, now), least)
	if usual == 0 {
		return left
	}
	return min(usual, left)
}

// remainingTokens returns the tokens of the longest answer, without the events that the caller
// has. The caller's estimate is not used, because it is often too short.
func (x *exchange) remainingTokens() int {
	tokens := x.meta.MaxAnswerTokens
	if tokens == 0 {
		return 0
	}
	if s := x.table.Service(x.service); s != nil && s.Engine != nil {
		tokens -= x.forwardedEvents * s.Engine.StepsPerPass
	}
	return max(tokens, 1)
}

// firstEventSeries names the requests whose time to the first event is alike: those of a route
// with prompts of similar length.
func (x *exchange) firstEventSeries() string {
	const lengthsPerDoubling = 2 // the length is told by factors of 4
	return x.route.Name + "/" + strconv.Itoa(bits.Len(uint(x.meta.PromptTokens))/lengthsPerDoubling)
}

// paceInterval is the time of a stream after which its pace is recorded, minPaceEvents the
// number of events without which the rest of a stream says nothing of it.
const (
	paceInterval  = 500 * time.Millisecond
	minPaceEvents = 4
)

// eventPace measures how fast a server writes the events of a stream after the first ones.
type eventPace struct {
	assignment *schedule.Assignment
	since      time.Time // of the last recorded event; zero before the first one
	events     int       // after since
}

// add counts events that have arrived at now.
func (p *eventPace) add(events int, now time.Time) {
	if events == 0 {
		return
	}
	if p.since.IsZero() {
		p.since = now
		return
	}
	p.events += events
	if now.Sub(p.since) >= paceInterval {
		p.record(now)
	}
}

// end records the rest of the stream.
func (p *eventPace) end(now time.Time) {
	if p.events >= minPaceEvents {
		p.record(now)
	}
}

func (p *eventPace) record(now time.Time) {
	p.assignment.ObserveEvents(p.events, now.Sub(p.since))
	p.since, p.events = now, 0
}

// recordDuration records how long the request took from its last send to its end, which is
// also told of one that reached its time limit.
func (x *exchange) recordDuration() {
	if x.route != nil && x.route.Kind != routing.Idempotent && !x.sentAt.IsZero() {
		x.g.times.recordWhole(x.route.Name, time.Since(x.sentAt))
	}
}

const (
	// timesKept and timesMaxAge bound the durations of a route that count.
	timesKept   = 64
	timesMaxAge = 10 * time.Minute
	// minWholes and minFirstEvents are the numbers of durations without which those of a route
	// are not known. A first event counts alone: without any, a plan decides, not the deadline.
	minWholes      = 3
	minFirstEvents = 1
	// wholeQuantile and firstEventQuantile are the shares of the requests that are within the
	// times on which a gateway that stops relies.
	wholeQuantile      = 0.95
	firstEventQuantile = 0.9
)

// routeTimes learns how long the requests of each route take. It is safe for concurrent use.
type routeTimes struct {
	mu          sync.Mutex
	wholes      *recent.Tracker // in seconds, by route
	firstEvents *recent.Tracker // in seconds, by firstEventSeries
}

func newRouteTimes() *routeTimes {
	return &routeTimes{wholes: recent.NewTracker(timesKept, timesMaxAge), firstEvents: recent.NewTracker(timesKept, timesMaxAge)}
}

func (t *routeTimes) recordWhole(route string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wholes.Observe(route, took.Seconds(), time.Now())
}

func (t *routeTimes) recordFirstEvent(series string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.firstEvents.Observe(series, took.Seconds(), time.Now())
}

// whole returns the time in which requests of a route ended lately; 0 if it is not known.
func (t *routeTimes) whole(route string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return quantile(t.wholes, route, wholeQuantile, minWholes, now)
}

// firstEvent returns the time in which requests of a series had their first event lately; 0 if
// it is not known.
func (t *routeTimes) firstEvent(series string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return quantile(t.firstEvents, series, firstEventQuantile, minFirstEvents, now)
}

func quantile(t *recent.Tracker, series string, q float64, least int, now time.Time) time.Duration {
	seconds, _ := t.Quantile(series, q, least, now)
	return time.Duration(seconds * float64(time.Second))
}
