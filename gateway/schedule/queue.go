package schedule

import (
	"slices"
	"time"
)

type waiter struct {
	request Request
	result  chan result // receives one value when the request is placed or refused
}

type result struct {
	assignment *Assignment
	err        error
}

// latestStart returns the time after which r is refused instead of placed,
// because it could no longer be served in time.
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

// firstEventShare is the time from placement to the first event on nearly full
// engines, as a share of the latency target: the rest of the current pass, the
// prefill of the request, and its first pass.
const firstEventShare = 0.6

// priorityStep is added to the sort time of a request for each rank of priority.
// Because it is a time, a request of low priority is not starved: it goes before
// those of the next higher priority that arrive more than priorityStep later.
const priorityStep = 500 * time.Millisecond

// sortTime returns the time by which the queue is sorted: requests that can
// still meet their target come first, by the end of the target, then the others
// by their latest start. A lower priority counts as a later arrival.
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
// received in the meantime. It returns err.
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

// checkForecast refuses a request whose expected wait in the queue ends after
// its latest start. mu is held.
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

// placeWaiting sorts the waiting requests and places those that can be placed
// now. mu is held.
func (s *Scheduler) placeWaiting(now time.Time) {
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
		interval := min(now.Sub(s.lastPlaced), time.Second) // bounds the effect of a time without placements
		s.placementInterval += time.Duration(float64(interval-s.placementInterval) * intervalSmoothing)
	}
	s.lastPlaced = now
}
