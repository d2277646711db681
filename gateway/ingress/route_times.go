package ingress

import (
	"math/bits"
	"strconv"
	"sync"
	"time"

	"camphorwick.dev/gateway/routing"
	"camphorwick.dev/policy/recent"
)

const (
	// wholesKept, answersKept, firstEventsKept and timesMaxAge bound the values of a route that
	// count.
	wholesKept      = 256
	answersKept     = 256
	firstEventsKept = 64
	timesMaxAge     = 10 * time.Minute
	// minWholes and minFirstEvents are the numbers of durations without which those of a route
	// are not known. A first event counts alone: without any, a plan decides, not the deadline.
	minWholes      = 3
	minFirstEvents = 1
	// wholeQuantile and firstEventQuantile are the shares of the requests that are within the
	// times on which a gateway that stops relies.
	wholeQuantile      = 0.99
	firstEventQuantile = 0.9
	// answerQuantile is the share of the answers that are not longer than a gateway that stops
	// expects: all of them, since few answers are far longer than most, and one that is refused
	// is served elsewhere. Without minAnswers answers the longest allowed is expected.
	answerQuantile = 1
	minAnswers     = 32
)

// routeTimes learns how long the requests of each route take. It is safe for concurrent use.
type routeTimes struct {
	mu          sync.Mutex
	wholes      *recent.Tracker // in seconds, by route
	firstEvents *recent.Tracker // in seconds, by firstEventSeries
	answers     *recent.Tracker // lengths as shares of the longest answer that was asked for, by route
}

func newRouteTimes() *routeTimes {
	return &routeTimes{wholes: recent.NewTracker(wholesKept, timesMaxAge), firstEvents: recent.NewTracker(firstEventsKept, timesMaxAge),
		answers: recent.NewTracker(answersKept, timesMaxAge)}
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

func (t *routeTimes) recordAnswer(route string, share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers.Observe(route, share, time.Now())
}

// answer returns how long the answers of a route are, as a share of the longest that is asked
// for; 1 if that is not known.
func (t *routeTimes) answer(route string, now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	share, ok := t.answers.Quantile(route, answerQuantile, minAnswers, now)
	if !ok {
		return 1
	}
	return min(share, 1)
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

// firstEventSeries names the requests whose time to the first event is alike: those of a route
// with prompts of similar length.
func (x *exchange) firstEventSeries() string {
	const lengthsPerDoubling = 2 // the length is told by factors of 4
	return x.route.Name + "/" + strconv.Itoa(bits.Len(uint(x.meta.PromptTokens))/lengthsPerDoubling)
}

// recordDuration records how long the request took from its last send to its end, which is
// also told of one that reached its time limit.
func (x *exchange) recordDuration() {
	if x.route != nil && x.route.Kind != routing.Idempotent && !x.sentAt.IsZero() {
		x.g.times.recordWhole(x.route.Name, time.Since(x.sentAt))
	}
}
