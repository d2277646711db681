// Package suspect tracks which backend servers fail, from the outcomes of the
// requests that were sent to them, and says which ones to avoid. It performs
// no I/O and takes the time as an argument.
package suspect

import "time"

const (
	// firstHold is how long a server that could not be reached is avoided;
	// each further failure in a row doubles it up to maxHold.
	firstHold = 500 * time.Millisecond
	maxHold   = 4 * time.Second
	// shareHold is how long a server that fails much of its requests is
	// avoided.
	shareHold = 3 * time.Second
	// weight is the share of the newest outcome in the failure share.
	weight = 0.15
	// failingShare is the failure share from which a server is avoided if the
	// whole group fails far less.
	failingShare = 0.3
	groupFactor  = 2.5
	// minOutcomes is how many outcomes a judgement needs.
	minOutcomes = 4
	// reachedRecently is how long a success of this process counts for more
	// than the word of another one, whose own links may be at fault.
	reachedRecently = time.Second
)

// Outcome is what became of a request at a server.
type Outcome uint8

// Outcomes.
const (
	// Success means that the server answered in full.
	Success Outcome = iota
	// Failure means that the server answered with an error of its own or
	// broke off.
	Failure
	// Unreachable means that no connection or no answer came.
	Unreachable
)

// Tracker judges the servers of one service. It is not safe for concurrent use.
type Tracker struct {
	servers map[string]*record
	group   float64 // failure share of all servers
}

type record struct {
	share    float64
	outcomes int
	row      int
	until    time.Time
	// unreachable is the end of the time for which the server is avoided
	// because it could not be reached from here, heard from elsewhere.
	unreachable, heard time.Time
	reached            time.Time // the last success
}

// NewTracker returns a tracker without suspicions.
func NewTracker() *Tracker { return &Tracker{servers: map[string]*record{}} }

// Observe records an outcome and returns whether the server is avoided from
// now on that was not before.
func (t *Tracker) Observe(id string, o Outcome, now time.Time) bool {
	r := t.record(id)
	failed := 0.0
	if o != Success {
		failed = 1
	}
	r.outcomes++
	r.share += (failed - r.share) * weight
	t.group += (failed - t.group) * weight / float64(max(len(t.servers), 1))
	if o == Success {
		r.row = 0
		r.reach(now)
		return false
	}
	before := now.Before(r.until)
	r.row++
	switch {
	case o == Unreachable:
		hold := min(firstHold<<min(r.row-1, 8), maxHold)
		r.hold(now.Add(hold))
		r.unreachable = r.until
	case r.outcomes >= minOutcomes && r.share > failingShare && r.share > groupFactor*t.group:
		r.hold(now.Add(shareHold))
		r.share = failingShare / 2 // a readmitted server is judged anew
	}
	return !before && now.Before(r.until)
}

// MarkReachable records a sign of life of a server: it has begun to answer.
func (t *Tracker) MarkReachable(id string, now time.Time) { t.record(id).reach(now) }

func (r *record) reach(now time.Time) { r.reached, r.heard = now, time.Time{} }

func (t *Tracker) record(id string) *record {
	r := t.servers[id]
	if r == nil {
		r = &record{}
		t.servers[id] = r
	}
	return r
}

func (r *record) hold(until time.Time) {
	if until.After(r.until) {
		r.until = until
	}
}

// Ejected reports whether a server should get no work now.
func (t *Tracker) Ejected(id string, now time.Time) bool {
	r := t.servers[id]
	return r != nil && now.Before(r.until)
}

// ReportUnreachable records that another process cannot reach a server and avoids it for
// hold. It returns whether the server is doubtful from now on that was not
// before.
func (t *Tracker) ReportUnreachable(id string, hold time.Duration, now time.Time) bool {
	r := t.record(id)
	if now.Sub(r.reached) < reachedRecently {
		return false
	}
	before := now.Before(r.heard)
	r.heard = now.Add(min(hold, maxHold))
	return !before
}

// Suspected reports whether another process cannot reach a server. It may be
// that process whose links are at fault, so such a server is used when others
// are clearly worse.
func (t *Tracker) Suspected(id string, now time.Time) bool {
	r := t.servers[id]
	return r != nil && now.Before(r.heard)
}

// Unreachable calls f for each server that is avoided because this process
// could not reach it, with the time that is left.
func (t *Tracker) Unreachable(now time.Time, f func(id string, hold time.Duration)) {
	for id, r := range t.servers {
		if hold := r.unreachable.Sub(now); hold > 0 {
			f(id, hold)
		}
	}
}

// Forget drops what is known of a server.
func (t *Tracker) Forget(id string) { delete(t.servers, id) }
