package ingress

import (
	"time"

	"camphorwick.dev/gateway/schedule"
)

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
