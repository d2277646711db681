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
		wait = time.Duration(float64(wait) * (1 - minServeShare))
	}
	if r.Patience > 0 {
		wait = min(wait, time.Duration(float64(r.Patience)*patienceShare))
	}
	return r.Arrived.Add(wait)
}

// waited returns the share of the time until the latest start that is over.
func (r *Request) waited(now time.Time) float64 {
	return float64(now.Sub(r.Arrived)) / float64(max(r.latestStart().Sub(r.Arrived), 1))
}

// serveShare of its latency target is what a request takes from its placement
// to its first event on engines that are nearly full: the rest of the pass in
// progress, its reading, and a pass of its own.
const serveShare = 0.6

// rankTime is what each rank of priority counts for in the order of the queue.
// As time it is bounded: a request of low priority waits longer, not for ever.
const rankTime = 500 * time.Millisecond

// key orders the waiting requests: those that can still meet their target by
// when it ends, then the others by when they must start; a less urgent one
// counts as one that came later.
func (r *Request) key(now time.Time) time.Time {
	due := r.Arrived.Add(r.LatencyTarget)
	rank := time.Duration(r.Priority) * rankTime
	if now.Add(time.Duration(float64(r.LatencyTarget) * serveShare)).Before(due) {
		return due.Add(rank)
	}
	return r.latestStart().Add(lateRank + rank)
}

// lateRank puts requests that will be late behind those that can be in time.
const lateRank = time.Hour

// leave takes a waiter out of the queue, or hands out what it was given
// meanwhile.
func (s *Scheduler) leave(w *waiter, err error) (*Assignment, error) {
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

// forecast refuses a request that the queue cannot serve in time. mu is held.
func (s *Scheduler) forecast(r Request, now time.Time) error {
	if len(s.waiting) == 0 || s.interval == 0 {
		return nil
	}
	due := r.key(now)
	ahead := 0
	for _, w := range s.waiting {
		if !w.request.key(now).After(due) {
			ahead++
		}
	}
	wait := time.Duration(ahead) * s.interval
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
	slices.SortStableFunc(s.waiting, func(a, b *waiter) int { return a.request.key(now).Compare(b.request.key(now)) })
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
		gap := min(now.Sub(s.lastPlaced), time.Second)
		s.interval += time.Duration(float64(gap-s.interval) * rateWeight)
	}
	s.lastPlaced = now
}
