package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// MaxHelpers is the most engines that may help with one prompt.
const MaxHelpers = 16

// Weights of the choice, in milliseconds of expected first token.
const (
	// helperMillis is what one more engine must gain: each helper is one more
	// engine whose failure stalls the request.
	helperMillis = 2
	// remoteMillis is what an engine in another data centre must gain.
	remoteMillis = 1
	// openMillis is what an engine must gain whose answers would have to make
	// shorter pauses from now on: short answers are kept together, so that
	// other engines can read long prompts without harm.
	openMillis = 25
	// harmMillis is the price of a pause that is too long, for each answer
	// that suffers it.
	harmMillis = 400
	// promptShare of the wait counts while it is well inside the latency
	// target; from lateShare of the target on each millisecond counts
	// lateWeight.
	promptShare = 0.15
	lateShare   = 0.6
	lateWeight  = 2
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
	// TargetMillis is the wanted time to the first event, GapMillis the longest
	// pause between events of an answer in time; 0 if there is none.
	TargetMillis float64
	GapMillis    float64
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
	// finish is the expected time of its part, harm the price of the pauses
	// that it causes.
	finish, harm float64
	// open is the price of the first answer of its kind there.
	open float64
	// room says that the engine has a slot and the memory for the answer.
	room bool
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
		c.rank(e, p, candidates, e.ReadMillis(work.Part(parts)))
		first := c.first()
		if first < 0 {
			return plan, false
		}
		finish, price := c.price(p, first, parts)
		if best >= 0 && price >= best {
			continue
		}
		best = price
		plan = c.plan(first, parts, plan.Helpers[:0])
		plan.FirstToken = time.Duration(finish * float64(time.Millisecond))
	}
	return plan, best >= 0
}

// rank orders the candidates by the time and the harm of reading a part.
func (c *Chooser) rank(e *Engine, p Prompt, candidates []Candidate, partMillis float64) {
	c.order = c.order[:0]
	for i := range candidates {
		k := &candidates[i]
		r := ranked{candidate: k, finish: e.FinishMillis(k.Load, partMillis) + k.PenaltyMillis}
		if !k.Local {
			r.finish += remoteMillis
		}
		if k.Load.Helping >= e.Slots {
			r.finish += unlimitedMillis
		}
		if slack := e.SlackMillis(k.Load); partMillis > slack {
			r.harm = harmMillis * float64(k.Load.Writers+k.Load.Waiting)
		}
		if p.GapMillis > 0 && (k.Load.GapMillis == 0 || k.Load.GapMillis > p.GapMillis) {
			r.open = openMillis
		}
		r.room = k.Load.Writers+k.Load.Waiting < e.Slots && k.Load.Context+p.Tokens+p.Answer <= e.MemoryTokens
		c.order = append(c.order, r)
	}
	slices.SortFunc(c.order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.finish+a.harm, b.finish+b.harm), a.candidate.Index-b.candidate.Index)
	})
}

// first returns the position of the engine that answers, or -1.
func (c *Chooser) first() int {
	best := -1
	for i := range c.order {
		r := &c.order[i]
		if r.room && (best < 0 || r.finish*promptShare+r.harm+r.open < c.order[best].finish*promptShare+c.order[best].harm+c.order[best].open) {
			best = i
		}
	}
	return best
}

// price returns the expected time to the first event and the price of a plan.
// The helpers are the earliest engines besides the first.
func (c *Chooser) price(p Prompt, first, parts int) (finish, price float64) {
	r := &c.order[first]
	finish, price = r.finish, r.open+r.harm+helperMillis*float64(parts-1)
	for i, helpers := 0, 0; helpers < parts-1; i++ {
		if i == first {
			continue
		}
		helpers++
		finish = max(finish, c.order[i].finish)
		price += c.order[i].harm
	}
	price += finish * promptShare
	if late := finish - lateShare*p.TargetMillis; p.TargetMillis > 0 && late > 0 {
		price += late * lateWeight
	}
	return finish, price
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
