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
	awayMillis = 10
	// joinMillis is what an engine may be slower for each answer there that
	// allows no longer pauses: the fuller engines with short answers are, the
	// more of the others read long prompts without harm.
	joinMillis = 0.7
	// harmPerGap times the longest pause that an answer allows is the price of
	// exceeding it, for each answer of the engine: callers of long answers
	// allow longer pauses.
	harmPerGap = 3.2
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
const smallestPartTokens = 2048

// Candidate is an engine that may be chosen.
type Candidate struct {
	// Index identifies the engine for the caller.
	Index int
	Load  Load
	// Local engines are in the data centre of the chooser.
	Local bool
	// Preferred engines are those that this chooser prefers and no other does.
	Preferred bool
	// PenaltyMillis is added to its expected time, for suspicion and alike.
	PenaltyMillis float64
}

// Prompt is a request that has to be placed.
type Prompt struct {
	Tokens int
	// AnswerTokens is the number of tokens that the answer will need.
	AnswerTokens int
	// TargetMillis is the wanted time to the first event, EventGapMillis the longest
	// pause between events of an answer in time; 0 if there is none.
	TargetMillis   float64
	EventGapMillis float64
	// RemainingMillis is the time until the deadline.
	RemainingMillis float64
}

// Plan says which engines a prompt goes to.
type Plan struct {
	Primary int
	Helpers []int
	// HelperTokens are the tokens of the prompt that are stored at each helper, in
	// memory that has to be reserved there; nil if all of it is stored at the
	// first engine.
	HelperTokens []int
	// FirstToken is the expected time to the first token.
	FirstToken time.Duration
	// InterferenceMillis is the price of the pauses that become too long in other answers.
	InterferenceMillis float64
}

// maxHelping is the number of parts for other engines that an engine reads at
// a time. The newest part is read first, so with more of them the older ones
// would wait for as long as new ones come.
const maxHelping = 3

// partCounts are the numbers of engines that are tried for one prompt.
var partCounts = [...]int{1, 2, 3, 4, 6, 8, 11, 14, 17}

// Chooser chooses engines. It reuses its memory; it is not safe for concurrent
// use.
type Chooser struct {
	// order holds the candidates by base; byHarm holds the positions in it by
	// the harm of a part that makes pauses too long, chosen those of helpers.
	order  []ranked
	byHarm []int
	chosen []int
}

type ranked struct {
	candidate *Candidate
	// base is the expected time of an empty part, to which the time of the part
	// is added.
	base float64
	// slack is the longest part that makes no pause too long, harm the price of
	// a longer one.
	slack, harm float64
	// open is the price of answering there.
	open float64
	// room says that the engine has a slot and the memory for the answer, helps
	// that it may read a part of another engine's prompt.
	room, helps bool
}

// harmOf returns the price of the pauses that a part causes.
func (r *ranked) harmOf(partMillis float64) float64 {
	if partMillis > r.slack {
		return r.harm
	}
	return 0
}

// Choose places a prompt; ok is false if no engine has a slot and the memory
// for it now.
func (c *Chooser) Choose(e *Engine, p Prompt, candidates []Candidate) (plan Plan, ok bool) {
	c.rank(e, p, candidates)
	found := false
	best := 0.0
	work := PromptPrefill(p.Tokens)
	for _, parts := range partCounts {
		if parts > len(candidates) || parts > 1 && p.Tokens < parts*smallestPartTokens {
			break
		}
		partMillis := e.PrefillMillis(work.Shard(parts))
		first := c.first(&p, partMillis)
		if first < 0 {
			break
		}
		if !c.pickHelpers(first, parts-1, partMillis) {
			break
		}
		k := c.cost(p, first, partMillis)
		if found && k.price >= best {
			continue
		}
		found, best = true, k.price
		plan = c.plan(first, plan, k)
	}
	if !found {
		return c.spread(e, p)
	}
	return plan, true
}

// rank orders the candidates by the time at which they could have read a part,
// and by the harm of one that is too long.
func (c *Chooser) rank(e *Engine, p Prompt, candidates []Candidate) {
	c.order = c.order[:0]
	for i := range candidates {
		k := &candidates[i]
		l := &k.Load
		r := ranked{candidate: k, base: e.FinishMillis(*l, 0) + k.PenaltyMillis, slack: e.SlackMillis(*l),
			harm: harmPerGap * l.EventGapMillis * float64(l.Decoding+l.Prefilling)}
		if !k.Local {
			r.base += remoteMillis
		}
		r.helps = l.Helping < min(maxHelping, e.Slots)
		if p.EventGapMillis > 0 && (l.EventGapMillis == 0 || l.EventGapMillis > p.EventGapMillis) {
			r.open = openMillis
		}
		if p.EventGapMillis > 0 && l.EventGapMillis > 0 && l.EventGapMillis <= p.EventGapMillis {
			r.open -= joinMillis * float64(l.Decoding+l.Prefilling)
		}
		if !k.Preferred {
			r.open += awayMillis
		}
		r.room = l.Decoding+l.Prefilling < e.Slots && l.ContextTokens+p.Tokens+p.AnswerTokens <= e.MemoryTokens
		c.order = append(c.order, r)
	}
	slices.SortFunc(c.order, func(a, b ranked) int {
		if byBase := cmp.Compare(a.base, b.base); byBase != 0 {
			return byBase
		}
		return a.candidate.Index - b.candidate.Index
	})
	c.byHarm = c.byHarm[:0]
	for i := range c.order {
		c.byHarm = append(c.byHarm, i)
	}
	slices.SortFunc(c.byHarm, func(i, j int) int {
		a, b := &c.order[i], &c.order[j]
		if byCost := cmp.Compare(a.harm+a.base, b.harm+b.base); byCost != 0 {
			return byCost
		}
		return i - j
	})
}

// first returns the position of the engine that answers, or -1.
func (c *Chooser) first(p *Prompt, partMillis float64) int {
	best, bestPrice := -1, 0.0
	for i := range c.order {
		r := &c.order[i]
		if !r.room {
			continue
		}
		if price := p.waitPrice(r.base+partMillis) + r.harmOf(partMillis) + r.open; best < 0 || price < bestPrice {
			best, bestPrice = i, price
		}
	}
	return best
}

// pickHelpers chooses engines besides first: the earliest ones where the part
// makes no pause too long, then those with the least harm. It reports whether
// there are enough.
func (c *Chooser) pickHelpers(first, helpers int, partMillis float64) bool {
	c.chosen = c.chosen[:0]
	for i := 0; i < len(c.order) && len(c.chosen) < helpers; i++ {
		if r := &c.order[i]; i != first && r.helps && r.harmOf(partMillis) == 0 {
			c.chosen = append(c.chosen, i)
		}
	}
	for n := 0; n < len(c.byHarm) && len(c.chosen) < helpers; n++ {
		i := c.byHarm[n]
		if r := &c.order[i]; i != first && r.helps && r.harmOf(partMillis) > 0 {
			c.chosen = append(c.chosen, i)
		}
	}
	return len(c.chosen) == helpers
}

// cost is what is expected of a plan, in milliseconds.
type cost struct {
	// finish is the time to the first event.
	finish float64
	// harm is the price of the pauses that become too long, price the whole.
	harm, price float64
}

// cost returns what the plan that consists of first and the chosen helpers
// costs.
func (c *Chooser) cost(p Prompt, first int, partMillis float64) cost {
	r := &c.order[first]
	k := cost{finish: r.base, harm: r.harmOf(partMillis)}
	for _, i := range c.chosen {
		k.finish = max(k.finish, c.order[i].base)
		k.harm += c.order[i].harmOf(partMillis)
	}
	k.finish += partMillis
	k.price = r.open + k.harm + helperMillis*float64(len(c.chosen)) + p.waitPrice(k.finish)
	return k
}

// waitPrice returns the price of a first event after the given time.
func (p *Prompt) waitPrice(finish float64) float64 {
	price := finish * waitShare
	if late := finish - safeShare*p.TargetMillis; p.TargetMillis > 0 && late > 0 {
		price += late * lateWeight
	}
	if over := finish - deadlineShare*p.RemainingMillis; p.RemainingMillis > 0 && over > 0 {
		price += over * deadlineWeight
	}
	return price
}

// plan lists the chosen engines; it reuses the memory of old.
func (c *Chooser) plan(first int, old Plan, k cost) Plan {
	helpers := old.Helpers[:0]
	for _, i := range c.chosen {
		helpers = append(helpers, c.order[i].candidate.Index)
	}
	return Plan{Primary: c.order[first].candidate.Index, Helpers: helpers, InterferenceMillis: k.harm,
		FirstToken: time.Duration(k.finish * float64(time.Millisecond))}
}

const (
	// memoryMarginTokens is left free on each engine that stores a part of a
	// prompt: memory is given out in blocks, and running answers grow.
	memoryMarginTokens = 4096
	// smallestHeldTokens is the least that is worth a reservation.
	smallestHeldTokens = 8192
	// smallestSpreadShare is the share of an engine's memory, in percent, from
	// which a prompt is stored on several engines.
	smallestSpreadShare = 40
)

// spread places a prompt whose memory no engine has alone: the first engine
// stores what it can beside the answer, helpers store the rest in reserved
// memory. It is used only for prompts that must wait for memory otherwise.
func (c *Chooser) spread(e *Engine, p Prompt) (plan Plan, ok bool) {
	if p.Tokens < smallestSpreadShare*e.MemoryTokens/100 {
		return plan, false
	}
	work := PromptPrefill(p.Tokens)
	best := 0.0
	for _, parts := range partCounts[1:] {
		if parts > len(c.order) {
			break
		}
		partMillis := e.PrefillMillis(work.Shard(parts))
		first := c.roomiest(e, p, parts, partMillis)
		if first < 0 {
			continue
		}
		if !c.pickHelpers(first, parts-1, partMillis) {
			break
		}
		held := c.store(e, p, first)
		if held == nil {
			continue
		}
		k := c.cost(p, first, partMillis)
		if ok && k.price >= best {
			continue
		}
		ok, best = true, k.price
		plan = c.plan(first, plan, k)
		plan.HelperTokens = held
	}
	return plan, ok
}

// free returns the memory that an engine can give to a prompt.
func (c *Chooser) free(e *Engine, i int) int {
	return e.MemoryTokens - c.order[i].candidate.Load.ContextTokens - memoryMarginTokens
}

// roomiest returns the position of the engine with the most memory among the
// earliest ones with a slot, or -1.
func (c *Chooser) roomiest(e *Engine, p Prompt, parts int, partMillis float64) int {
	c.pickHelpers(-1, parts, partMillis) // fewer engines are looked at if some may not help
	best := -1
	for _, i := range c.chosen {
		l := &c.order[i].candidate.Load
		if l.Decoding+l.Prefilling < e.Slots && c.free(e, i) > p.AnswerTokens && (best < 0 || c.free(e, i) > c.free(e, best)) {
			best = i
		}
	}
	return best
}

// store divides the prompt's memory among first and the chosen helpers. It
// returns what each helper stores, or nil if their memory does not suffice.
func (c *Chooser) store(e *Engine, p Prompt, first int) []int {
	held := make([]int, len(c.chosen))
	rest := p.Tokens - (c.free(e, first) - p.AnswerTokens)
	for n, i := range c.chosen {
		if rest > 0 && c.free(e, i) >= smallestHeldTokens {
			held[n] = max(min(rest, c.free(e, i)), smallestHeldTokens)
			rest -= held[n]
		}
	}
	if rest > 0 {
		return nil
	}
	return held
}
