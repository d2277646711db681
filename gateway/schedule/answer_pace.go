package schedule

import (
	"time"

	"camphorwick.dev/policy/recent"
)

const (
	// defaultAnswerPace applies to engines of which nothing was seen lately: other prompts are
	// prefilled between the passes of an answer.
	defaultAnswerPace = 1.3
	// paceMaxAge is how long an observation counts.
	paceMaxAge = 30 * time.Second
	// serverPaceValues and servicePaceValues are the numbers of observations that count.
	serverPaceValues  = 32
	servicePaceValues = 128
	// minPaceValues is the number of observations without which a pace is not known.
	minPaceValues = 3
	// serverPaceQuantile is above the median, so that a slow engine is not overlooked.
	serverPaceQuantile = 0.75
	// fastPaceQuantile is the pace of the faster engines of a service, as long as none is
	// chosen; usualPaceQuantile that of an engine of which nothing is known.
	fastPaceQuantile  = 0.25
	usualPaceQuantile = 0.5
)

// answerPace learns how many times as long as their model, with all slots in use, engines write
// answers.
type answerPace struct{ servers, services *recent.Tracker }

func newAnswerPace() answerPace {
	return answerPace{servers: recent.NewTracker(serverPaceValues, paceMaxAge), services: recent.NewTracker(servicePaceValues, paceMaxAge)}
}

func (p answerPace) observe(service, server string, pace float64, now time.Time) {
	p.servers.Observe(server, pace, now)
	p.services.Observe(service, pace, now)
}

// ofServer returns the pace of one engine, and whether it, or another one of its service, was
// seen.
func (p answerPace) ofServer(service, server string, now time.Time) (pace float64, known bool) {
	if pace, ok := p.servers.Quantile(server, serverPaceQuantile, minPaceValues, now); ok {
		return pace, true
	}
	return p.ofService(service, usualPaceQuantile, now)
}

// ofService returns a quantile of the pace of the engines of a service, and whether any was seen.
func (p answerPace) ofService(service string, q float64, now time.Time) (pace float64, known bool) {
	if pace, ok := p.services.Quantile(service, q, minPaceValues, now); ok {
		return pace, true
	}
	return defaultAnswerPace, false
}

// ObserveEvents records that the server took some time for events of one answer, without the
// first one. Each holds the tokens of one pass.
func (a *Assignment) ObserveEvents(events int, took time.Duration) {
	if a.engine == nil || !a.engine.HasTimes() {
		return
	}
	model := a.engine.AnswerMillis(events*a.engine.StepsPerPass, a.contextTokens)
	if model <= 0 {
		return
	}
	s := a.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answerPace.observe(a.service, a.Server.ID, float64(took)/float64(duration(model)), time.Now())
}
