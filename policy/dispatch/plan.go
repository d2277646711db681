package dispatch

import (
	"slices"
	"time"
)

// MaxHelpers is the most engines that may help with one prompt.
const MaxHelpers = 16

// Weights of the choice, in milliseconds of expected first token.
const (
	// helperMillis is what one more engine must gain: each helper is one more
	// engine whose failure stalls the request.
	helperMillis = 1.5
	// remoteMillis is what an engine in another data centre must gain.
	remoteMillis = 4
	// writerMillis prefers engines with fewer answers, whose events come
	// faster.
	writerMillis = 0.5
)

// smallestPartTokens is the least that is worth a part of its own.
const smallestPartTokens = 512

// Candidate is an engine that may be chosen.
type Candidate struct {
	// Index identifies the engine for the caller.
	Index int
	Load  Load
	// Local engines are in the data centre of the chooser.
	Local bool
	// PenaltyMillis is added to its expected time, for suspicion and alike.
	PenaltyMillis float64
}

// Prompt is a request that has to be placed.
type Prompt struct {
	Tokens int
	// Answer is the number of tokens that the answer will need.
	Answer int
}

// Plan says which engines a prompt goes to.
type Plan struct {
	First   int
	Helpers []int
	// FirstToken is the expected time to the first token.
	FirstToken time.Duration
}

// partCounts are the numbers of engines that are tried for one prompt.
var partCounts = [...]int{1, 2, 3, 4, 6, 8, 11, 14, 17}

// Chooser chooses engines. It reuses its memory; it is not safe for concurrent
// use.
type Chooser struct {
	order []ranked
}

type ranked struct {
	candidate *Candidate
	millis    float64
	// first says that the engine has a slot and the memory for the answer.
	first bool
}

// Choose places a prompt; ok is false if no engine has a slot and the memory
// for it now.
func (c *Chooser) Choose(e *Engine, p Prompt, candidates []Candidate) (plan Plan, ok bool) {
	best := -1.0
	work := PromptWork(p.Tokens)
	for _, parts := range partCounts {
		if parts > len(candidates) || parts > 1 && p.Tokens < parts*smallestPartTokens {
			break
		}
		c.rank(e, p, candidates, work.Part(parts))
		first, millis := c.take(parts)
		if first < 0 {
			continue
		}
		score := millis + helperMillis*float64(parts-1)
		if best >= 0 && score >= best {
			continue
		}
		best = score
		plan = c.plan(first, parts, plan.Helpers[:0])
		plan.FirstToken = time.Duration(millis * float64(time.Millisecond))
	}
	return plan, best >= 0
}

// rank orders the candidates by the time at which they would have read part.
func (c *Chooser) rank(e *Engine, p Prompt, candidates []Candidate, part Work) {
	c.order = c.order[:0]
	for i := range candidates {
		k := &candidates[i]
		millis := e.FinishMillis(k.Load, part) + k.PenaltyMillis + writerMillis*float64(k.Load.Writers)
		if !k.Local {
			millis += remoteMillis
		}
		if k.Load.Helping >= e.Slots {
			millis += float64(time.Hour / time.Millisecond)
		}
		room := k.Load.Writers+k.Load.Waiting < e.Slots && k.Load.Context+p.Tokens+p.Answer <= e.MemoryTokens
		c.order = append(c.order, ranked{candidate: k, millis: millis, first: room})
	}
	slices.SortFunc(c.order, func(a, b ranked) int {
		switch {
		case a.millis < b.millis:
			return -1
		case a.millis > b.millis:
			return 1
		default:
			return a.candidate.Index - b.candidate.Index
		}
	})
}

// take returns the position of the engine that answers and the time of the
// slowest of parts engines, or -1. The answering engine is the earliest with
// room; the others are the earliest of the rest.
func (c *Chooser) take(parts int) (first int, millis float64) {
	first = -1
	for i := range c.order {
		if c.order[i].first {
			first = i
			break
		}
	}
	if first < 0 {
		return -1, 0
	}
	last := parts - 1
	if first > last {
		last = first
	}
	return first, c.order[last].millis
}

// plan lists the chosen engines.
func (c *Chooser) plan(first, parts int, helpers []int) Plan {
	for i := 0; len(helpers) < parts-1; i++ {
		if i != first {
			helpers = append(helpers, c.order[i].candidate.Index)
		}
	}
	return Plan{First: c.order[first].candidate.Index, Helpers: helpers}
}
