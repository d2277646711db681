package schedule

import (
	"slices"
	"time"
)

type waiter struct {
	request Request
	result  chan result
}

type result struct {
	assignment *Assignment
	err        error
}

// latestStart returns the time after which starting r is pointless.
func (r *Request) latestStart() time.Time {
	wait := r.Deadline.Sub(r.Arrived)
	if !r.Resumed { // the remainder of an answer takes less than the complete answer
		wait = time.Duration(float64(wait) * (1 - minRemainingShare))
	}
	if r.EventTimeout > 0 {
		wait = min(wait, time.Duration(float64(r.EventTimeout)*eventTimeoutShare))
	}
	return r.Arrived.Add(wait)
}

// waitedShare returns the elapsed share of the time between arrival and latest
// start.
func (r *Request) waitedShare(now time.Time) float64 {
	return float64(now.Sub(r.Arrived)) / float64(max(r.latestStart().Sub(r.Arrived), 1))
}

// firstEventShare is the share of its latency target that a request takes from
// placement to the first event on nearly full engines: the rest of the current
// pass, its prefill, and one pass of its own.
const firstEventShare = 0.6

// priorityStep is the delay in the queue order per rank of priority. It is a
// time, so that requests of low priority are not starved.
const priorityStep = 500 * time.Millisecond

// sortTime returns the position of a request in the queue: requests that can
// still meet their target come first, by the end of the target, then the others
// by their latest start. Lower priority counts as later arrival.
func (r *Request) sortTime(now time.Time) time.Time {
	due := r.Arrived.Add(r.LatencyTarget)
	rank := time.Duration(r.Priority) * priorityStep
	if now.Add(time.Duration(float64(r.LatencyTarget) * firstEventShare)).Before(due) {
		return due.Add(rank)
	}
	return r.latestStart().Add(lateOffset + rank)
}

// lateOffset sorts requests that will miss their target behind the others.
const lateOffset = time.Hour

// cancelWait removes a waiter from the queue, or ends the assignment that it
// received in the meantime.
func (s *Scheduler) cancelWait(w *waiter, err error) (*Assignment, error) {
	s.mu.Lock()
	i := slices.Index(s.waiting, w)
	if i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
	s.mu.Unlock()
	if i >= 0 {
		return nil, err
	}
	got := <-w.result
	if got.assignment != nil {
		got.assignment.End()
	}
	return nil, err
}

// checkForecast refuses a request that the queue cannot serve in time. mu is
// held.
func (s *Scheduler) checkForecast(r Request, now time.Time) error {
	if len(s.waiting) == 0 || s.placementInterval == 0 {
		return nil
	}
	due := r.sortTime(now)
	ahead := 0
	for _, w := range s.waiting {
		if !w.request.sortTime(now).After(due) {
			ahead++
		}
	}
	wait := time.Duration(ahead) * s.placementInterval
	if now.Add(wait).Before(r.latestStart()) {
		return nil
	}
	return &OverloadError{Waiting: ahead, Forecast: wait, RetryAfter: min(max(wait/2, minRetryAfter), maxRetryAfter)}
}

// drainQueue places the waiting requests that can be placed now. mu is held.
func (s *Scheduler) drainQueue(now time.Time) {
	if len(s.waiting) == 0 {
		return
	}
	slices.SortStableFunc(s.waiting, func(a, b *waiter) int { return a.request.sortTime(now).Compare(b.request.sortTime(now)) })
	kept := s.waiting[:0]
	for i, w := range s.waiting {
		if i >= maxScan {
			kept = append(kept, w)
			continue
		}
		a, err := s.place(w.request, now)
		if a == nil && err == nil {
			kept = append(kept, w)
			continue
		}
		s.observePlacement(now)
		w.result <- result{assignment: a, err: err}
	}
	clear(s.waiting[len(kept):])
	s.waiting = kept
}

func (s *Scheduler) observePlacement(now time.Time) {
	if !s.lastPlaced.IsZero() {
		interval := min(now.Sub(s.lastPlaced), time.Second)
		s.placementInterval += time.Duration(float64(interval-s.placementInterval) * intervalSmoothing)
	}
	s.lastPlaced = now
}
