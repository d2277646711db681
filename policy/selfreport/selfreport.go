// Package selfreport tracks what backend servers report of themselves in the heads of
// their answers: that they leave, that they want no requests for some time, and how loaded
// they are. It complements package suspect, which judges servers by the results of their
// requests. The package performs no I/O and takes the time as an argument.
//
// A report is about one incarnation of a server, so the next process at the same address
// or with the same ID is not affected by it. Reports end with the process that holds them.
package selfreport

import (
	"math"
	"time"
)

const (
	// MaxPause bounds the time for which a server may want no requests. A server that
	// reports a longer one is asked again after this time.
	MaxPause = time.Hour
	// maxPauseSpread and pauseSpreadShare bound the random time by which a pause is
	// extended, so that gateways that were told the same time do not return together.
	maxPauseSpread   = 400 * time.Millisecond
	pauseSpreadShare = 0.1
	// After a pause a server gets one request at a time from this process. Every rampStep
	// the limit doubles, and after rampSteps there is none.
	rampStep  = 200 * time.Millisecond
	rampSteps = 5
	// loadLife is the time constant with which a reported load loses its weight. Most
	// requests of plain services take less.
	loadLife = 300 * time.Millisecond
	// maxLoadAge is the age from which a reported load has no weight.
	maxLoadAge = 5 * loadLife
	// hintLife is how long the report of a peer that a server leaves counts, and
	// maxHintAge the age from which it is ignored. Peers repeat it for maxHintAge.
	hintLife   = 2 * time.Second
	maxHintAge = 30 * time.Second
	// recordLife is how long a server is remembered that has reported nothing since. It
	// exceeds the time for which the registration of a live server may be missing.
	recordLife = 2 * MaxPause
	// maxRecords bounds the servers that are remembered.
	maxRecords = 16384
)

// Server identifies one incarnation of a backend server.
type Server struct {
	ID      string
	Address string
	// Started is the server's own clock at its start, in Unix milliseconds; 0 if not
	// stated.
	Started int64
}

// Load is the load that a server reports, in requests.
type Load struct {
	Running, Waiting int
	// Slots is the number of requests that the server processes concurrently.
	Slots int
}

// IgnoredReason says why a part of a report is not used.
type IgnoredReason string

// Reasons to ignore a part of a report.
const (
	MalformedLeaving IgnoredReason = "malformed_leaving"
	MalformedPause   IgnoredReason = "malformed_pause"
	MalformedLoad    IgnoredReason = "malformed_load"
)

// Report is what the head of one answer says of its server.
type Report struct {
	// Leaving is set if the server is about to end.
	Leaving bool
	// Pause is how long the server wants no requests; 0 for none.
	Pause time.Duration
	// Load is valid if HasLoad is set.
	Load    Load
	HasLoad bool
	// Ignored lists the parts that are not used; nil for a valid report.
	Ignored []IgnoredReason
}

// Empty reports whether the answer says nothing of its server.
func (r *Report) Empty() bool { return !r.Leaving && r.Pause <= 0 && !r.HasLoad }

// State is what is known of a server from its reports.
type State struct {
	// Leaving and Paused servers must not get requests.
	Leaving, Paused bool
	// PausedUntil is the end of the pause.
	PausedUntil time.Time
	// MaxInFlight is the number of requests that this process may have in flight on the
	// server; 0 for no limit.
	MaxInFlight int
	// UnknownRequests is the number of requests on the server that were not known to this
	// process when the server last reported its load, reduced with the age of the report.
	UnknownRequests float64
	// LeavingHint is set if a peer has reported that the server leaves. The peer may be
	// wrong, so such a server is only avoided.
	LeavingHint bool
}

// Usable reports whether the server may get requests.
func (s State) Usable() bool { return !s.Leaving && !s.Paused }

// Event is a change of what is known of a server.
type Event string

// Events of servers.
const (
	Leaves      Event = "leaves"
	LeavingHint Event = "leaving_hint"
	Pauses      Event = "pauses"
	Resumes     Event = "resumes"
)

// Change is an event of one server.
type Change struct {
	Server Server
	Event  Event
	// Until is the end of a pause, zero for other events.
	Until time.Time
	// Age is how long ago the server reported it.
	Age time.Duration
}

// Tracker holds the reports of all servers. It is not safe for concurrent use.
type Tracker struct {
	servers map[string]*record // by ID
	random  func() float64     // from 0 to 1, below 1
}

// record is what one incarnation has reported.
type record struct {
	server       Server
	leavingSince time.Time // zero if it has not reported that it leaves
	pausedUntil  time.Time // zero without a pause whose end or ramp is still to come
	resumed      bool      // the end of the pause was returned as an event
	unknown      float64   // requests that were not known at loadAt
	loadAt       time.Time
	hintedUntil  time.Time
	lastReport   time.Time
}

// NewTracker returns a tracker that knows no server. random returns numbers from 0 to 1
// that spread the ends of pauses.
func NewTracker(random func() float64) *Tracker {
	return &Tracker{servers: map[string]*record{}, random: random}
}

// Observe records a report. inFlight is the number of requests on the server that this
// process and its peers know of, including the one that was answered. It returns what has
// changed.
func (t *Tracker) Observe(s Server, report *Report, inFlight int, now time.Time) []Change {
	if report.Empty() {
		return nil
	}
	r := t.record(s)
	if r == nil {
		return nil
	}
	r.lastReport = now
	var changes []Change
	if report.Leaving && r.leavingSince.IsZero() {
		r.leavingSince = now
		changes = append(changes, Change{Server: s, Event: Leaves})
	}
	if report.Pause > 0 && t.pause(r, report.Pause, now) {
		changes = append(changes, Change{Server: s, Event: Pauses, Until: r.pausedUntil})
	}
	if report.HasLoad {
		r.unknown = max(0, float64(report.Load.Running+report.Load.Waiting-inFlight))
		r.loadAt = now
	}
	return changes
}

// record returns the record of a server, or nil for an older incarnation than the one that
// is known.
func (t *Tracker) record(s Server) *record {
	r := t.servers[s.ID]
	switch {
	case r == nil && len(t.servers) >= maxRecords:
		t.dropOldest()
	case r != nil && r.server == s:
		return r
	case r != nil && s.Started < r.server.Started:
		return nil
	}
	r = &record{server: s}
	t.servers[s.ID] = r
	return r
}

// pause extends the pause of a server. It reports whether the server was not paused
// before.
func (t *Tracker) pause(r *record, d time.Duration, now time.Time) bool {
	wasPaused := now.Before(r.pausedUntil)
	d = min(d, MaxPause)
	spread := min(time.Duration(float64(d)*pauseSpreadShare), maxPauseSpread)
	until := now.Add(d + time.Duration(t.random()*float64(spread)))
	if until.After(r.pausedUntil) {
		r.pausedUntil, r.resumed = until, false
	}
	return !wasPaused
}

// Empty reports whether no server has reported anything.
func (t *Tracker) Empty() bool { return len(t.servers) == 0 }

// State returns what is known of a server.
func (t *Tracker) State(s Server, now time.Time) State {
	r := t.servers[s.ID]
	if r == nil || r.server != s {
		return State{}
	}
	state := State{Leaving: !r.leavingSince.IsZero(), LeavingHint: now.Before(r.hintedUntil), UnknownRequests: r.unknownRequests(now)}
	if r.pausedUntil.IsZero() {
		return state
	}
	if now.Before(r.pausedUntil) {
		state.Paused, state.PausedUntil = true, r.pausedUntil
		return state
	}
	if steps := int(now.Sub(r.pausedUntil) / rampStep); steps < rampSteps {
		state.MaxInFlight = 1 << steps
	}
	return state
}

func (r *record) unknownRequests(now time.Time) float64 {
	if r.unknown == 0 {
		return 0
	}
	age := now.Sub(r.loadAt)
	if age >= maxLoadAge {
		return 0
	}
	return r.unknown * math.Exp(-float64(age)/float64(loadLife))
}

// HintLeaving records the report of a peer that a server has said age ago that it leaves.
// It returns whether the server was not known to leave.
func (t *Tracker) HintLeaving(s Server, age time.Duration, now time.Time) bool {
	if age < 0 || age > maxHintAge {
		return false
	}
	r := t.record(s)
	if r == nil || !r.leavingSince.IsZero() {
		return false
	}
	wasHinted := now.Before(r.hintedUntil)
	r.hintedUntil, r.lastReport = now.Add(hintLife), now
	return !wasHinted
}

// EachLeaving calls f for each server that has lately reported to this process that it
// leaves, with the age of the first report. The peers are told of them.
func (t *Tracker) EachLeaving(now time.Time, f func(s Server, age time.Duration)) {
	for _, r := range t.servers {
		if age := now.Sub(r.leavingSince); !r.leavingSince.IsZero() && age <= maxHintAge {
			f(r.server, age)
		}
	}
}

// Each calls f for each server that has a state other than the usual one.
func (t *Tracker) Each(now time.Time, f func(s Server, state State, age time.Duration)) {
	for _, r := range t.servers {
		if state := t.State(r.server, now); state != (State{}) {
			f(r.server, state, now.Sub(r.lastReport))
		}
	}
}

// Forget drops what is known of a server that was removed, unless another process of it
// could not be told from this one by its start: the registration of a live server may be
// missing for a while.
func (t *Tracker) Forget(s Server) {
	if r := t.servers[s.ID]; r != nil && r.server == s && s.Started == 0 {
		delete(t.servers, s.ID)
	}
}

// Expire drops old records. It returns the pauses that have ended since the last call.
func (t *Tracker) Expire(now time.Time) []Change {
	var ended []Change
	for id, r := range t.servers {
		if !r.pausedUntil.IsZero() && !now.Before(r.pausedUntil) {
			if !r.resumed {
				r.resumed = true
				ended = append(ended, Change{Server: r.server, Event: Resumes, Age: now.Sub(r.lastReport)})
			}
			if now.Sub(r.pausedUntil) >= rampSteps*rampStep {
				r.pausedUntil = time.Time{}
			}
		}
		if now.Sub(r.lastReport) > recordLife {
			delete(t.servers, id)
		}
	}
	return ended
}

// dropOldest drops the record whose server has reported nothing for the longest time,
// before all others one that does not keep requests from its server.
func (t *Tracker) dropOldest() {
	var oldest *record
	for _, r := range t.servers {
		if oldest == nil || r.droppedBefore(oldest) {
			oldest = r
		}
	}
	delete(t.servers, oldest.server.ID)
}

func (r *record) droppedBefore(other *record) bool {
	blocks, otherBlocks := r.blocks(), other.blocks()
	if blocks != otherBlocks {
		return !blocks
	}
	return r.lastReport.Before(other.lastReport)
}

// blocks reports whether the record may keep requests from its server.
func (r *record) blocks() bool { return !r.leavingSince.IsZero() || !r.pausedUntil.IsZero() }
