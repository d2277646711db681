package sim

import (
	"slices"
	"time"

	"camphorwick.dev/api/outcome"
)

// pool is a fleet that serves only short requests, as if a request could use
// the prefill, memory and steps of any server. It starts the shortest request
// first, drops those that can no longer be in time, and finds every shared
// prefix in the cache. This is an estimate of the best that a policy can reach.
type pool struct {
	scenario Scenario
	now      time.Duration
	waiting  []*pooled // not started, shortest prefill first
	prefill  []*pooled
	decode   []*pooled
	reserved int // KV-cache memory in tokens
	inTime   int
}

// pooled is the state of a request in a pool.
type pooled struct {
	request *request
	left    int // prefill tokens
	answer  int // tokens to generate
}

// bound returns the share of the short requests at peaks that the pool serves
// inside FirstTokenTarget. It counts prefill, generation and memory of short
// requests, and only the servers that are up. It leaves out all other work and
// the work lost in crashes.
func bound(s Scenario, requests []*request) float64 {
	p := &pool{scenario: s}
	all, next := 0, 0
	for next < len(requests) || len(p.waiting)+len(p.prefill)+len(p.decode) > 0 {
		if len(p.waiting)+len(p.prefill)+len(p.decode) == 0 {
			p.now = max(p.now, requests[next].at)
		}
		for ; next < len(requests) && requests[next].at <= p.now; next++ {
			if q := requests[next]; q.band == outcome.Short {
				p.wait(q)
				if q.peak {
					all++
				}
			}
		}
		p.step()
	}
	return float64(p.inTime) / float64(max(all, 1))
}

// step runs one step of the servers that are up.
func (p *pool) step() {
	up := p.scenario.capacityAt(p.now)
	p.waiting = slices.DeleteFunc(p.waiting, p.late)
	for len(p.waiting) > 0 && p.reserved+p.waiting[0].need() <= int(up*engineKV) {
		p.reserved += p.waiting[0].need()
		p.prefill, p.waiting = append(p.prefill, p.waiting[0]), p.waiting[1:]
	}
	budget := int(up * engineStep)
	planned := 0
	for _, r := range p.prefill {
		part := min(r.left, engineStep, budget-planned)
		r.left -= part
		planned += part
	}
	busy := time.Duration(float64(planned) / engineRaw / up * float64(time.Second))
	p.now += engineStepBase + busy + time.Duration(float64(len(p.decode))/up*float64(engineDecodeCost))
	p.generate()
	p.endPrefills()
}

func (p *pool) wait(q *request) {
	r := &pooled{request: q, left: max(1, q.tokens-q.prefix()), answer: q.answer}
	i, _ := slices.BinarySearchFunc(p.waiting, r, func(a, b *pooled) int { return a.left - b.left })
	p.waiting = slices.Insert(p.waiting, i, r)
}

// late reports whether a waiting request can no longer be in time.
func (p *pool) late(r *pooled) bool {
	return p.now-r.request.at+r.alone()+2*networkDelay > FirstTokenTarget
}

// need is the memory of a request in tokens.
func (r *pooled) need() int { return r.request.tokens + r.request.answer }

func (p *pool) generate() {
	kept := p.decode[:0]
	for _, r := range p.decode {
		if r.answer--; r.answer > 0 {
			kept = append(kept, r)
		} else {
			p.reserved -= r.need()
		}
	}
	p.decode = kept
}

func (p *pool) endPrefills() {
	kept := p.prefill[:0]
	for _, r := range p.prefill {
		if r.left > 0 {
			kept = append(kept, r)
			continue
		}
		if q := r.request; q.peak && p.now-q.at+2*networkDelay <= FirstTokenTarget {
			p.inTime++
		}
		if r.answer--; r.answer > 0 { // the last prefill step gives a token
			p.decode = append(p.decode, r)
		} else {
			p.reserved -= r.need()
		}
	}
	p.prefill = kept
}

// alone is the time that the rest of the prefill takes on an idle engine.
func (r *pooled) alone() time.Duration {
	steps := (r.left + engineStep - 1) / engineStep
	return time.Duration(float64(r.left)/engineRaw*float64(time.Second)) + time.Duration(steps)*engineStepBase
}
