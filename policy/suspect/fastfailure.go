package suspect

import (
	"math"
	"time"
)

// A server that fails its requests sooner than others answer them always has the fewest
// requests in flight, so a choice by load alone sends it ever more of them. FailureCost
// makes up for that.
const (
	// maxFailureCost is the cost of a server that has just failed all its requests at once,
	// in requests in flight.
	maxFailureCost = 12
	// failureCostLife is the time constant with which the cost falls after a failure.
	failureCostLife = time.Second
	// minFailureCost is the cost below which failures cost nothing: under low load any cost
	// keeps all requests from a server, also after it has recovered.
	minFailureCost = 0.5
	// recentSmoothing is the weight of the newest request in the recent failure share. It
	// is higher than smoothingFactor, because a cost does less harm than an ejection.
	recentSmoothing = 0.3
	// durationSmoothing is the weight of the newest success in the usual duration.
	durationSmoothing = 0.05
)

// ObserveDuration records how long an attempt took whose result Observe records.
func (t *Tracker) ObserveDuration(id string, o AttemptResult, took time.Duration, now time.Time) {
	r := t.record(id)
	if o == Success {
		r.recentFailures -= r.recentFailures * recentSmoothing
		t.usualDuration += time.Duration(float64(took-t.usualDuration) * durationSmoothing)
		return
	}
	r.recentFailures += (1 - r.recentFailures) * recentSmoothing
	// Without a success yet, each failure counts as fast.
	r.failureSpeed = float64(t.usualDuration) / float64(max(t.usualDuration+took, 1))
	if t.usualDuration == 0 {
		r.failureSpeed = 1
	}
	r.lastFailure = now
}

// FailureCost returns the cost of choosing a server because of its recent failures, in
// requests in flight. It rises with the share of failures and with their speed.
func (t *Tracker) FailureCost(id string, now time.Time) float64 {
	return t.servers[id].failureCost(now)
}

func (r *record) failureCost(now time.Time) float64 {
	if r == nil || r.lastFailure.IsZero() {
		return 0
	}
	age := now.Sub(r.lastFailure)
	cost := maxFailureCost * r.recentFailures * r.failureSpeed * math.Exp(-float64(age)/float64(failureCostLife))
	if cost < minFailureCost {
		return 0
	}
	return cost
}
