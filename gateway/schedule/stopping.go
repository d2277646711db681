package schedule

import (
	"fmt"
	"slices"
	"time"

	"camphorwick.dev/policy/dispatch"
)

// Duration says how long a request may take from its placement on. A gateway that stops uses it
// to refuse what it could not finish.
type Duration struct {
	// Whole is the time of a request that does not follow from the model of an engine. It is 0
	// for a request that may be cut, because its caller repeats it.
	Whole time.Duration
	// FirstEvent is how long such requests took lately until the first event of their answer;
	// 0 if that is not known.
	FirstEvent time.Duration
	// AnswerTokens is the length of the longest answer, from which its time follows if the
	// model of the engine is known; 0 if Whole decides.
	AnswerTokens int
}

// StoppingError means that a request may not end before its gateway does.
type StoppingError struct {
	// Needed is how long the request may take, Left how long the gateway still runs.
	Needed, Left time.Duration
}

func (e *StoppingError) Error() string {
	return fmt.Sprintf("the request may take %v, and the gateway stops in %v", e.Needed.Round(time.Millisecond), e.Left.Round(time.Millisecond))
}

const (
	// endMargin is the factor by which an estimate is exceeded now and then. A request that is
	// refused is served elsewhere at once; one that is cut has lost its time.
	endMargin = 1.1
	// maxEndSlack bounds EndSlack.
	maxEndSlack = time.Second
	// unseenFirstFactor and unseenTargets bound the time to the first event where no such request,
	// or no answer of the engine, was seen lately: as a multiple of the plan of the placement, and
	// as a number of latency targets.
	unseenFirstFactor = 2
	unseenTargets     = 2
)

// EndSlack returns what is added to a time that was learned or follows from a model, because a
// stream may stall, and processes that are busy take longer to write it.
func EndSlack(latencyTarget time.Duration) time.Duration {
	return min(unseenTargets*latencyTarget, maxEndSlack)
}

// StopAt makes the scheduler refuse requests that may not end by t, those that wait included.
func (s *Scheduler) StopAt(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopAt = t
	s.placeWaiting(time.Now())
}

// CheckStop returns a StoppingError if the gateway stops and a request could not end before
// wherever it was placed now.
func (s *Scheduler) CheckStop(r *Request) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checkStop(r, time.Now())
}

// checkStop is CheckStop. mu is held.
func (s *Scheduler) checkStop(r *Request, now time.Time) error {
	if !s.mustEndInTime(r) {
		return nil
	}
	return s.checkEnd(s.leastTime(r, now), now)
}

// mustEndInTime reports whether the gateway stops and r must not be cut by that. mu is held.
func (s *Scheduler) mustEndInTime(r *Request) bool { return !s.stopAt.IsZero() && r.Duration != nil }

// checkEnd returns a StoppingError if a request that is sent now and takes needed ends too
// late. mu is held.
func (s *Scheduler) checkEnd(needed time.Duration, now time.Time) error {
	left := s.stopAt.Sub(now)
	if needed == 0 || needed <= left {
		return nil
	}
	return &StoppingError{Needed: needed, Left: left}
}

// leastTime returns how long a request takes at least on the engines of its service. mu is
// held.
func (s *Scheduler) leastTime(r *Request, now time.Time) time.Duration {
	d := r.Duration(now)
	if !d.followsFrom(r.Engine) {
		return d.Whole
	}
	first := d.FirstEvent
	if first == 0 {
		first = duration(r.Engine.LeastFirstEventMillis(r.Prompt.Tokens))
	}
	pace, _ := s.answerPace.ofService(r.Service, fastPaceQuantile, now)
	return r.untilDeadline(now, first+d.answerTime(r.Engine, r.Prompt.Tokens, pace))
}

// plannedTime returns how long a request may take that was placed as a says. mu is held.
func (s *Scheduler) plannedTime(r *Request, a *Assignment) time.Duration {
	d := r.Duration(a.placed)
	if !d.followsFrom(r.Engine) {
		return d.Whole
	}
	first := time.Duration(float64(a.Expected) * max(1, s.pace.Factor(a.Server.ID, a.placed)))
	pace, known := s.answerPace.ofServer(r.Service, a.Server.ID, a.placed)
	if known && d.FirstEvent > 0 {
		first = max(first, d.FirstEvent) + EndSlack(r.LatencyTarget)
	} else { // the model alone says little
		first = max(unseenFirstFactor*first, d.FirstEvent, unseenTargets*r.LatencyTarget)
	}
	return r.untilDeadline(a.placed, first+d.answerTime(r.Engine, a.contextTokens, pace))
}

// withoutSlow removes the engines that write too slowly to end the answer before the gateway
// stops. The error is a StoppingError if none is left. mu is held.
func (s *Scheduler) withoutSlow(r *Request, servers []option, now time.Time) ([]option, error) {
	if !s.mustEndInTime(r) || len(servers) == 0 {
		return servers, nil
	}
	d := r.Duration(now)
	if !d.followsFrom(r.Engine) {
		return servers, nil
	}
	var late error
	servers = slices.DeleteFunc(servers, func(o option) bool {
		pace, _ := s.answerPace.ofServer(r.Service, o.server.ID, now)
		err := s.checkEnd(r.untilDeadline(now, d.FirstEvent+d.answerTime(r.Engine, r.Prompt.Tokens, pace)), now)
		if err != nil {
			late = err
		}
		return err != nil
	})
	if len(servers) == 0 {
		return nil, late
	}
	return servers, nil
}

// untilDeadline returns needed, or the time until the deadline of r if that comes first: r ends
// there whatever its gateway does.
func (r *Request) untilDeadline(now time.Time, needed time.Duration) time.Duration {
	return min(needed, max(r.Deadline.Sub(now), 1))
}

// followsFrom reports whether the model of an engine, which may be nil, says how long a request
// takes.
func (d Duration) followsFrom(e *dispatch.Engine) bool {
	return e != nil && e.HasTimes() && d.AnswerTokens > 0
}

// answerTime returns how long the answer may be written after its first event.
func (d Duration) answerTime(e *dispatch.Engine, contextTokens int, pace float64) time.Duration {
	return duration(e.AnswerMillis(d.AnswerTokens, contextTokens) * pace * endMargin)
}

func duration(millis float64) time.Duration {
	return time.Duration(millis * float64(time.Millisecond))
}

// contextTokens returns the tokens in the contexts of an engine that gets a prompt.
func contextTokens(l dispatch.Load, p dispatch.Prompt) int {
	return l.ReservedTokens + p.Tokens + p.AnswerTokens
}
