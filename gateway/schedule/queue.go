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

// latestStart returns the time after which it makes no sense to start r.
func (r *Request) latestStart() time.Time {
	wait := r.Deadline.Sub(r.Arrived)
	if !r.Resumed { // what is left of an answer takes less than all of it
		wait = time.Duration(float64(wait) * (1 - minRemainingShare))
	}
	if r.EventTimeout > 0 {
		wait = min(wait, time.Duration(float64(r.EventTimeout)*eventTimeoutShare))
	}
	return r.Arrived.Add(wait)
}

// waitedShare returns the share of the time until the latest start that is over.
func (r *Request) waitedShare(now time.Time) float64 {
	return float64(now.Sub(r.Arrived)) / float64(max(r.latestStart().Sub(r.Arrived), 1))
}

// firstEventShare of its latency target is what a request takes from its placement
// to its first event on engines that are nearly full: the rest of the pass in
// progress, its reading, and a pass of its own.
const firstEventShare = 0.6

// priorityStep is what each rank of priority counts for in the order of the queue.
// As time it is bounded: a request of low priority waits longer, not for ever.
const priorityStep = 500 * time.Millisecond

// sortTime orders the waiting requests: those that can still meet their target by
// when it ends, then the others by when they must start; a less urgent one
// counts as one that came later.
func (r *Request) sortTime(now time.Time) time.Time {
	due := r.Arrived.Add(r.LatencyTarget)
	rank := time.Duration(r.Priority) * priorityStep
	if now.Add(time.Duration(float64(r.LatencyTarget) * firstEventShare)).Before(due) {
		return due.Add(rank)
	}
	return r.latestStart().Add(lateOffset + rank)
}

// lateOffset puts requests that will be late behind those that can be in time.
const lateOffset = time.Hour

// cancelWait takes a waiter out of the queue, or hands out what it was given
// meanwhile.
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

// checkForecast refuses a request that the queue cannot serve in time. mu is held.
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

// drainQueue places the waiting requests that fit now. mu is held.
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
