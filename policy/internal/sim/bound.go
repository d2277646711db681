package sim

import (
	"slices"
	"time"

	"camphorwick.dev/api/outcome"
)

// idealFleet is a fleet that serves only short requests, as if all its servers
// were one large server. It starts the request with the shortest prefill first,
// drops requests that can no longer be in time, and finds every shared prefix in
// the cache. Its result estimates the best that a policy can reach.
type idealFleet struct {
	scenario Scenario
	now      time.Duration
	waiting  []*idealRequest // not started, shortest prefill first
	prefill  []*idealRequest
	decode   []*idealRequest
	reserved int // KV-cache memory in tokens
	inTime   int // number of requests at peaks with the first token in time
}

// idealRequest is the state of a request in an idealFleet.
type idealRequest struct {
	request   *request
	remaining int // prefill tokens
	answer    int // tokens to generate
}

// idealInTimeShare returns the share of the short requests at peaks that the
// ideal fleet serves within FirstTokenTarget. It counts prefill, decoding and
// memory of short requests, and only the servers that are up. It ignores all
// other requests and the work lost in crashes.
func idealInTimeShare(s Scenario, requests []*request) float64 {
	f := &idealFleet{scenario: s}
	peakRequests, next := 0, 0
	for next < len(requests) || len(f.waiting)+len(f.prefill)+len(f.decode) > 0 {
		if len(f.waiting)+len(f.prefill)+len(f.decode) == 0 {
			f.now = max(f.now, requests[next].arrival)
		}
		for ; next < len(requests) && requests[next].arrival <= f.now; next++ {
			if q := requests[next]; q.band == outcome.Short {
				f.enqueue(q)
				if q.atPeak {
					peakRequests++
				}
			}
		}
		f.step()
	}
	return float64(f.inTime) / float64(max(peakRequests, 1))
}

// step runs one step of the servers that are up.
func (f *idealFleet) step() {
	capacity := f.scenario.capacityAt(f.now)
	f.waiting = slices.DeleteFunc(f.waiting, f.tooLate)
	for len(f.waiting) > 0 && f.reserved+f.waiting[0].kvTokens() <= int(capacity*engineKVTokens) {
		f.reserved += f.waiting[0].kvTokens()
		f.prefill, f.waiting = append(f.prefill, f.waiting[0]), f.waiting[1:]
	}
	budget := int(capacity * engineStepTokens)
	planned := 0
	for _, r := range f.prefill {
		chunk := min(r.remaining, engineStepTokens, budget-planned)
		r.remaining -= chunk
		planned += chunk
	}
	prefillTime := time.Duration(float64(planned) / enginePrefillInStep / capacity * float64(time.Second))
	f.now += engineStepBase + prefillTime + time.Duration(float64(len(f.decode))/capacity*float64(engineDecodeCost))
	f.generate()
	f.endPrefills()
}

func (f *idealFleet) enqueue(q *request) {
	r := &idealRequest{request: q, remaining: max(1, q.tokens-q.prefix()), answer: q.answer}
	i, _ := slices.BinarySearchFunc(f.waiting, r, func(a, b *idealRequest) int { return a.remaining - b.remaining })
	f.waiting = slices.Insert(f.waiting, i, r)
}

// tooLate reports whether a waiting request can no longer get its first token in
// time.
func (f *idealFleet) tooLate(r *idealRequest) bool {
	return f.now-r.request.arrival+r.prefillTime()+2*networkDelay > FirstTokenTarget
}

// kvTokens is the KV-cache memory of a request in tokens.
func (r *idealRequest) kvTokens() int { return r.request.tokens + r.request.answer }

func (f *idealFleet) generate() {
	kept := f.decode[:0]
	for _, r := range f.decode {
		if r.answer--; r.answer > 0 {
			kept = append(kept, r)
		} else {
			f.reserved -= r.kvTokens()
		}
	}
	f.decode = kept
}

func (f *idealFleet) endPrefills() {
	kept := f.prefill[:0]
	for _, r := range f.prefill {
		if r.remaining > 0 {
			kept = append(kept, r)
			continue
		}
		if q := r.request; q.atPeak && f.now-q.arrival+2*networkDelay <= FirstTokenTarget {
			f.inTime++
		}
		if r.answer--; r.answer > 0 { // the last prefill step gives a token
			f.decode = append(f.decode, r)
		} else {
			f.reserved -= r.kvTokens()
		}
	}
	f.prefill = kept
}

// prefillTime is the time that the remaining prefill takes on an idle engine.
func (r *idealRequest) prefillTime() time.Duration {
	steps := (r.remaining + engineStepTokens - 1) / engineStepTokens
	return time.Duration(float64(r.remaining)/enginePrefillInStep*float64(time.Second)) + time.Duration(steps)*engineStepBase
}
