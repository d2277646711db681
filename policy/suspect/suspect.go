// Package suspect finds failing backend servers. A server is ejected, so that it
// gets no requests for a while, if this process cannot reach it or too many of
// its requests fail. If a peer reports a server as unreachable, the server is
// suspected: it gets requests only if the others are clearly worse. The package
// performs no I/O and takes the time as an argument.
package suspect

import "time"

const (
	// firstEjection is the time for which a server is ejected that could not be
	// reached. Each further consecutive failure doubles it, up to maxEjection.
	firstEjection = 500 * time.Millisecond
	maxEjection   = 4 * time.Second
	// failureShareEjection is the time for which a server is ejected because of
	// its failure share.
	failureShareEjection = 3 * time.Second
	// smoothingFactor is the weight of the newest request in a failure share.
	smoothingFactor = 0.15
	// A server is ejected if its failure share exceeds maxFailureShare and is
	// more than serviceFailureFactor times that of all servers of the service.
	// If the requests of a service fail on all servers, no ejection can help.
	maxFailureShare      = 0.3
	serviceFailureFactor = 2.5
	// minRequests is the number of requests from which a failure share is used.
	minRequests = 4
	// recentContact is the time after this process reached a server for which it
	// ignores reports of peers about the server, because the links of the peers
	// may be at fault.
	recentContact = time.Second
)

// AttemptResult is the result of one attempt to run a request on a server. It
// is coarser than the outcome codes that callers get.
type AttemptResult uint8

// Results of attempts.
const (
	// Success means that the server sent a complete answer.
	Success AttemptResult = iota
	// Failure means that the server answered with an error of its own or broke
	// off the answer.
	Failure
	// Unreachable means that the connection failed or no answer came.
	Unreachable
)

// Tracker ejects and suspects servers of one service. It is not safe for
// concurrent use.
type Tracker struct {
	servers             map[string]*record
	serviceFailureShare float64 // smoothed share of failures at all servers
	// usualDuration is the smoothed duration of successful attempts; 0 before the first.
	usualDuration time.Duration
}

// record is the state of one server.
type record struct {
	failureShare        float64 // smoothed share of failures among the recent requests
	requests            int     // number of requests observed
	consecutiveFailures int
	ejectedUntil        time.Time
	// unreachableUntil is the end of the latest ejection of a server that this
	// process could not reach and has not reached since. suspectedUntil is the time until which the latest
	// report of a peer counts.
	unreachableUntil, suspectedUntil time.Time
	lastReached                      time.Time // last time that the server answered

	// The following fields are those of FailureCost.

	recentFailures float64 // smoothed share of failures, with recentSmoothing
	failureSpeed   float64 // of the last failure, from 0 (slow) to 1 (at once)
	lastFailure    time.Time
}

// NewTracker returns a tracker that neither ejects nor suspects a server.
func NewTracker() *Tracker { return &Tracker{servers: map[string]*record{}} }

// Observe records the result of an attempt. It returns whether the server is
// ejected because of it and was not ejected before. A success ends the count of
// consecutive failures and the reports to peers, but not an ejection, which lasts
// its time: requests of a partly failing server succeed now and then.
func (t *Tracker) Observe(id string, o AttemptResult, now time.Time) bool {
	r := t.record(id)
	failed := 0.0
	if o != Success {
		failed = 1
	}
	r.requests++
	r.failureShare += (failed - r.failureShare) * smoothingFactor
	// The service gets len(servers) times as many requests as one server, so its
	// share must change as many times more slowly to cover the same period.
	t.serviceFailureShare += (failed - t.serviceFailureShare) * smoothingFactor / float64(max(len(t.servers), 1))
	if o == Success {
		r.consecutiveFailures = 0
		r.markReachable(now)
		return false
	}
	wasEjected := now.Before(r.ejectedUntil)
	r.consecutiveFailures++
	switch {
	case o == Unreachable:
		// Eight doublings are more than maxEjection and do not overflow.
		eject := min(firstEjection<<min(r.consecutiveFailures-1, 8), maxEjection)
		r.eject(now.Add(eject))
		r.unreachableUntil = r.ejectedUntil
	case r.requests >= minRequests && r.failureShare > maxFailureShare && r.failureShare > serviceFailureFactor*t.serviceFailureShare:
		r.eject(now.Add(failureShareEjection))
		r.failureShare = maxFailureShare / 2 // a readmitted server starts below the limit
	}
	return !wasEjected && now.Before(r.ejectedUntil)
}

// MarkReachable records that a server has begun to answer.
func (t *Tracker) MarkReachable(id string, now time.Time) { t.record(id).markReachable(now) }

func (r *record) markReachable(now time.Time) {
	r.lastReached, r.suspectedUntil, r.unreachableUntil = now, time.Time{}, time.Time{}
}

func (t *Tracker) record(id string) *record {
	r := t.servers[id]
	if r == nil {
		r = &record{}
		t.servers[id] = r
	}
	return r
}

func (r *record) eject(ejectedUntil time.Time) {
	if ejectedUntil.After(r.ejectedUntil) {
		r.ejectedUntil = ejectedUntil
	}
}

// Ejected reports whether a server should get no requests now.
func (t *Tracker) Ejected(id string, now time.Time) bool {
	r := t.servers[id]
	return r != nil && now.Before(r.ejectedUntil)
}

// Status is what a tracker knows of a server.
type Status struct {
	// Ejected and Suspected are the results of the methods with these names.
	Ejected, Suspected bool
	// FailureCost is the result of the method with this name, in requests in flight.
	FailureCost float64
}

// Status returns what is known of a server.
func (t *Tracker) Status(id string, now time.Time) Status {
	r := t.servers[id]
	if r == nil {
		return Status{}
	}
	return Status{Ejected: now.Before(r.ejectedUntil), Suspected: now.Before(r.suspectedUntil), FailureCost: r.failureCost(now)}
}

// ReportUnreachable records the report of a peer that a server is unreachable.
// The server is suspected for the given time, or for maxEjection if that is
// shorter. It returns whether the server was not suspected before.
func (t *Tracker) ReportUnreachable(id string, remaining time.Duration, now time.Time) bool {
	r := t.record(id)
	if now.Sub(r.lastReached) < recentContact {
		return false
	}
	wasSuspected := now.Before(r.suspectedUntil)
	r.suspectedUntil = now.Add(min(remaining, maxEjection))
	return !wasSuspected
}

// Suspected reports whether a peer reported a server as unreachable. The links
// of the peer may be at fault, so a suspected server is still used if the
// others are clearly worse.
func (t *Tracker) Suspected(id string, now time.Time) bool {
	r := t.servers[id]
	return r != nil && now.Before(r.suspectedUntil)
}

// Unreachable calls f for each server that is ejected because this process
// could not reach it, and that it has not reached since, with the remaining time
// of the ejection.
func (t *Tracker) Unreachable(now time.Time, f func(id string, remaining time.Duration)) {
	for id, r := range t.servers {
		if remaining := r.unreachableUntil.Sub(now); remaining > 0 {
			f(id, remaining)
		}
	}
}

// Forget drops the state of a server.
func (t *Tracker) Forget(id string) { delete(t.servers, id) }
