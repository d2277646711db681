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
	// awayMillis is what an engine must gain that another gateway prefers:
	// gateways choose at the same time, and would all take the same engine.
	awayMillis = 15
	// harmPerGap times the longest pause that an answer allows is the price of
	// exceeding it, for each answer of the engine: callers of long answers
	// allow longer pauses.
	harmPerGap = 1.6
	// waitShare of the wait counts while it is well inside the latency target;
	// from safeShare of the target on each millisecond counts lateWeight.
	waitShare  = 0.15
	safeShare  = 0.6
	lateWeight = 2
	// deadlineShare of the time left is how long a plan may take at the most,
	// deadlineWeight the price of each millisecond beyond.
	deadlineShare  = 0.6
	deadlineWeight = 3
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
	// Home engines are those that this chooser prefers and no other does.
	Home bool
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
	// LeftMillis is the time until the deadline.
	LeftMillis float64
}

// Plan says which engines a prompt goes to.
type Plan struct {
	First   int
	Helpers []int
	// Held are the tokens of the prompt that are stored at each helper, in
	// memory that has to be reserved there; nil if all of it is stored at the
	// first engine.
	Held []int
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
			break
		}
		finish, price := c.price(p, first, parts)
		if best >= 0 && price >= best {
			continue
		}
		best = price
		plan = c.plan(first, parts, plan)
		plan.FirstToken = time.Duration(finish * float64(time.Millisecond))
	}
	if best < 0 {
		return c.spread(e, p, candidates)
	}
	return plan, true
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
			r.harm = harmPerGap * k.Load.GapMillis * float64(k.Load.Writers+k.Load.Waiting)
		}
		if p.GapMillis > 0 && (k.Load.GapMillis == 0 || k.Load.GapMillis > p.GapMillis) {
			r.open = openMillis
		}
		if !k.Home {
			r.open += awayMillis
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
		if r.room && (best < 0 || r.firstPrice() < c.order[best].firstPrice()) {
			best = i
		}
	}
	return best
}

func (r *ranked) firstPrice() float64 { return r.finish*waitShare + r.harm + r.open }

// price returns the expected time to the first event and the price of a plan.
// The helpers are the earliest engines besides the first.
func (c *Chooser) price(p Prompt, first, parts int) (finish, price float64) {
	r := &c.order[first]
	finish, price = r.finish, r.open+r.harm
	for i, helpers := 0, 0; helpers < parts-1; i++ {
		if i == first {
			continue
		}
		helpers++
		finish = max(finish, c.order[i].finish)
		price += c.order[i].harm + helperMillis
	}
	return finish, price + p.waitPrice(finish)
}

// waitPrice returns the price of a first event after the given time.
func (p *Prompt) waitPrice(finish float64) float64 {
	price := finish * waitShare
	if late := finish - safeShare*p.TargetMillis; p.TargetMillis > 0 && late > 0 {
		price += late * lateWeight
	}
	if over := finish - deadlineShare*p.LeftMillis; p.LeftMillis > 0 && over > 0 {
		price += over * deadlineWeight
	}
	return price
}

// plan lists the chosen engines; it reuses the memory of old.
func (c *Chooser) plan(first, parts int, old Plan) Plan {
	helpers := old.Helpers[:0]
	for i := 0; len(helpers) < parts-1; i++ {
		if i != first {
			helpers = append(helpers, c.order[i].candidate.Index)
		}
	}
	return Plan{First: c.order[first].candidate.Index, Helpers: helpers}
}

const (
	// memoryMarginTokens is left free on each engine that stores a part of a
	// prompt: memory is given out in blocks, and running answers grow.
	memoryMarginTokens = 4096
	// smallestHeldTokens is the least that is worth a reservation.
	smallestHeldTokens = 8192
)

// spread places a prompt whose memory no engine has alone: the first engine
// stores what it can beside the answer, helpers store the rest in reserved
// memory. It is used only for prompts that must wait for memory otherwise.
func (c *Chooser) spread(e *Engine, p Prompt, candidates []Candidate) (plan Plan, ok bool) {
	if p.Tokens < smallestSpreadShare*e.MemoryTokens/100 {
		return plan, false
	}
	work := PromptWork(p.Tokens)
	best := -1.0
	for _, parts := range partCounts[1:] {
		if parts > len(candidates) {
			break
		}
		c.rank(e, p, candidates, e.ReadMillis(work.Part(parts)))
		first, held := c.store(e, p, parts)
		if first < 0 {
			continue
		}
		finish, price := c.price(p, first, parts)
		if best >= 0 && price >= best {
			continue
		}
		best = price
		plan = c.plan(first, parts, plan)
		plan.Held = held
		plan.FirstToken = time.Duration(finish * float64(time.Millisecond))
	}
	return plan, best >= 0
}

// smallestSpreadShare is the share of an engine's memory, in percent, from
// which a prompt is stored on several engines.
const smallestSpreadShare = 40

// store divides the prompt's memory among the first engines of the order. It
// returns the position of the answering engine and what each helper stores, or
// -1 if their memory does not suffice.
func (c *Chooser) store(e *Engine, p Prompt, parts int) (first int, held []int) {
	free := func(i int) int { return e.MemoryTokens - c.order[i].candidate.Load.Context - memoryMarginTokens }
	first = -1
	for i := range parts {
		l := &c.order[i].candidate.Load
		if l.Writers+l.Waiting < e.Slots && free(i) > p.Answer && (first < 0 || free(i) > free(first)) {
			first = i
		}
	}
	if first < 0 {
		return -1, nil
	}
	rest := p.Tokens - (free(first) - p.Answer)
	for i := range parts {
		if i == first {
			continue
		}
		tokens := 0
		if rest > 0 && free(i) >= smallestHeldTokens {
			tokens = max(min(rest, free(i)), smallestHeldTokens)
			rest -= tokens
		}
		held = append(held, tokens)
	}
	if rest > 0 {
		return -1, nil
	}
	return first, held
}
