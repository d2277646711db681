// Package suspect ejects failing backend servers, judged by the outcomes of the
// requests that were sent to them and by reports of peers. It performs no I/O
// and takes the time as an argument.
package suspect

import "time"

const (
	// firstEjection is how long a server that could not be reached is ejected.
	// Each further consecutive failure doubles it, up to maxEjection.
	firstEjection = 500 * time.Millisecond
	maxEjection   = 4 * time.Second
	// failureShareEjection is how long a server is ejected for a high failure
	// share.
	failureShareEjection = 3 * time.Second
	// smoothingFactor is the weight of the newest outcome in a failure share.
	smoothingFactor = 0.15
	// A server is ejected if its failure share exceeds maxFailureShare and is
	// more than groupFailureFactor times that of the whole group.
	maxFailureShare    = 0.3
	groupFailureFactor = 2.5
	// minOutcomes is the number of outcomes from which a failure share is used.
	minOutcomes = 4
	// recentSuccess is how long a success of this process overrides reports of
	// peers, whose own links may be at fault.
	recentSuccess = time.Second
)

// Outcome is the result of a request at a server.
type Outcome uint8

// Outcomes.
const (
	// Success means that the server sent a complete answer.
	Success Outcome = iota
	// Failure means that the server answered with an error of its own or broke
	// off the answer.
	Failure
	// Unreachable means that the connection failed or no answer came.
	Unreachable
)

// Tracker judges the servers of one service. It is not safe for concurrent use.
type Tracker struct {
	servers           map[string]*record
	groupFailureShare float64 // of all servers
}

type record struct {
	failureShare        float64
	outcomes            int
	consecutiveFailures int
	ejectedUntil        time.Time
	// unreachableUntil is the end of the ejection of a server that this process
	// could not reach, suspectedUntil the end of the suspicion reported by
	// peers.
	unreachableUntil, suspectedUntil time.Time
	lastReached                      time.Time // last success
}

// NewTracker returns a tracker that neither ejects nor suspects a server.
func NewTracker() *Tracker { return &Tracker{servers: map[string]*record{}} }

// Observe records an outcome and returns whether it causes the ejection of a
// server that was not ejected before.
func (t *Tracker) Observe(id string, o Outcome, now time.Time) bool {
	r := t.record(id)
	failed := 0.0
	if o != Success {
		failed = 1
	}
	r.outcomes++
	r.failureShare += (failed - r.failureShare) * smoothingFactor
	t.groupFailureShare += (failed - t.groupFailureShare) * smoothingFactor / float64(max(len(t.servers), 1))
	if o == Success {
		r.consecutiveFailures = 0
		r.markReachable(now)
		return false
	}
	before := now.Before(r.ejectedUntil)
	r.consecutiveFailures++
	switch {
	case o == Unreachable:
		hold := min(firstEjection<<min(r.consecutiveFailures-1, 8), maxEjection)
		r.hold(now.Add(hold))
		r.unreachableUntil = r.ejectedUntil
	case r.outcomes >= minOutcomes && r.failureShare > maxFailureShare && r.failureShare > groupFailureFactor*t.groupFailureShare:
		r.hold(now.Add(failureShareEjection))
		r.failureShare = maxFailureShare / 2 // a readmitted server starts below the limit
	}
	return !before && now.Before(r.ejectedUntil)
}

// MarkReachable records that a server has begun to answer.
func (t *Tracker) MarkReachable(id string, now time.Time) { t.record(id).markReachable(now) }

func (r *record) markReachable(now time.Time) { r.lastReached, r.suspectedUntil = now, time.Time{} }

func (t *Tracker) record(id string) *record {
	r := t.servers[id]
	if r == nil {
		r = &record{}
		t.servers[id] = r
	}
	return r
}

func (r *record) hold(ejectedUntil time.Time) {
	if ejectedUntil.After(r.ejectedUntil) {
		r.ejectedUntil = ejectedUntil
	}
}

// Ejected reports whether a server should get no requests now.
func (t *Tracker) Ejected(id string, now time.Time) bool {
	r := t.servers[id]
	return r != nil && now.Before(r.ejectedUntil)
}

// ReportUnreachable records the report that a server is unreachable and
// suspects the server for hold. It returns whether the server was not suspected
// before.
func (t *Tracker) ReportUnreachable(id string, hold time.Duration, now time.Time) bool {
	r := t.record(id)
	if now.Sub(r.lastReached) < recentSuccess {
		return false
	}
	before := now.Before(r.suspectedUntil)
	r.suspectedUntil = now.Add(min(hold, maxEjection))
	return !before
}

// Suspected reports whether a peer reported a server as unreachable. The links
// of the peer may be at fault, so a suspected server is still used if the
// others are clearly worse.
func (t *Tracker) Suspected(id string, now time.Time) bool {
	r := t.servers[id]
	return r != nil && now.Before(r.suspectedUntil)
}

// Unreachable calls f for each server that is ejected because this process
// could not reach it, with the remaining time.
func (t *Tracker) Unreachable(now time.Time, f func(id string, hold time.Duration)) {
	for id, r := range t.servers {
		if hold := r.unreachableUntil.Sub(now); hold > 0 {
			f(id, hold)
		}
	}
}

// Forget drops the state of a server.
func (t *Tracker) Forget(id string) { delete(t.servers, id) }
