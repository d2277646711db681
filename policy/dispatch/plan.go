package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// MaxHelpers is the maximum number of helper engines of one prompt.
const MaxHelpers = 16

// Costs of a plan, in milliseconds. The plan with the lowest sum is chosen.
const (
	// helperCostMillis is the cost of each helper, because the failure of any
	// helper stalls the request.
	helperCostMillis = 2
	// remoteCostMillis is the cost of an engine in another data centre.
	remoteCostMillis = 1
	// tighterGapCostMillis is the cost of a primary engine whose event gap
	// limit the prompt would lower. It keeps short answers on the same engines,
	// so that other engines can prefill long prompts without interference.
	tighterGapCostMillis = 25
	// nonPreferredCostMillis is the cost of a primary engine that another
	// gateway prefers. Gateways choose at the same time and would otherwise all
	// take the same engine.
	nonPreferredCostMillis = 10
	// colocationGainMillis is deducted for each request on the primary engine if
	// the event gap limit there is no longer than that of the prompt. The more
	// short answers share an engine, the more engines are free to prefill long
	// prompts without interference.
	colocationGainMillis = 0.7
	// interferenceFactor times the event gap limit is the cost of exceeding the
	// limit, for each answer on the engine. It grows with the limit, because
	// callers of long answers have longer limits.
	interferenceFactor = 3.2
	// waitWeight is the cost of each millisecond until the first event. Each
	// millisecond beyond safeTargetShare of the latency target costs lateWeight
	// in addition.
	waitWeight      = 0.15
	safeTargetShare = 0.6
	lateWeight      = 2
	// Each millisecond beyond deadlineShare of the time to the deadline costs
	// deadlineWeight in addition to the other two.
	deadlineShare  = 0.6
	deadlineWeight = 3
)

// minShardTokens is the smallest prompt shard worth a helper.
const minShardTokens = 2048

// Candidate is an engine that may be chosen.
type Candidate struct {
	// Index identifies the engine for the caller.
	Index int
	Load  Load
	// Local reports whether the engine is in the data centre of this chooser.
	Local bool
	// Preferred reports whether the engine is one of those that this chooser
	// prefers. Each engine is preferred by one chooser.
	Preferred bool
	// PenaltyMillis is added to the expected time to first token, for example
	// for a suspected engine.
	PenaltyMillis float64
}

// Prompt is a request to place.
type Prompt struct {
	Tokens int
	// AnswerTokens is the number of tokens to reserve for the answer.
	AnswerTokens int
	// TargetMillis is the target for the time to first token; 0 means none.
	TargetMillis float64
	// EventGapLimitMillis is the event gap limit of the answer; 0 means none.
	EventGapLimitMillis float64
	// RemainingMillis is the time until the deadline.
	RemainingMillis float64
}

// Plan says which engines process a prompt.
type Plan struct {
	// Primary is the Index of the primary engine.
	Primary int
	// Helpers are the Indexes of the helper engines.
	Helpers []int
	// HelperTokens are the tokens of the prompt that each helper stores and for
	// which it has to reserve memory; nil if the primary engine stores all of
	// them.
	HelperTokens []int
	// FirstToken is the expected time to first token.
	FirstToken time.Duration
	// InterferenceMillis is the cost of exceeding the event gap limits of other
	// answers.
	InterferenceMillis float64
}

// maxHelperShards is the maximum number of shards for other engines that an
// engine prefills at a time. The newest shard is processed first, so with a
// higher maximum the oldest shard would starve while new ones arrive.
const maxHelperShards = 3

// shardCounts are the numbers of shards that are tried for one prompt.
var shardCounts = [...]int{1, 2, 3, 4, 6, 8, 11, 14, 17}

// Chooser chooses engines. It reuses its memory and is not safe for concurrent
// use.
type Chooser struct {
	byReady []ranked // candidates by readyMillis
	// byInterference holds the positions in byReady, sorted by the cost of a
	// shard that exceeds the slack.
	byInterference []int
	chosen         []int // positions in byReady of the helpers
}

// ranked is a candidate with what its choice would cost.
type ranked struct {
	candidate *Candidate
	// readyMillis is the expected time to first token without the prefill of the
	// prompt itself.
	readyMillis float64
	// slackMillis is the prefill time of the longest shard that exceeds no event
	// gap limit. A longer shard has the cost interference.
	slackMillis, interference float64
	// primaryCost is the cost of choosing the engine as primary.
	primaryCost float64
	// canAnswer reports whether the engine has a free slot and the memory for
	// prompt and answer, canHelp whether it can take another shard of the
	// prompts of other engines.
	canAnswer, canHelp bool
}

// interferenceOf returns the cost of the interference of a shard.
func (r *ranked) interferenceOf(shardMillis float64) float64 {
	if shardMillis > r.slackMillis {
		return r.interference
	}
	return 0
}

// Choose returns the plan with the lowest cost for a prompt; ok is false if no
// engine has a free slot and enough free memory now.
func (c *Chooser) Choose(e *Engine, p Prompt, candidates []Candidate) (plan Plan, ok bool) {
	c.rank(e, p, candidates)
	found := false
	best := 0.0
	work := PromptPrefill(p.Tokens)
	for _, shards := range shardCounts {
		if shards > len(candidates) || shards > 1 && p.Tokens < shards*minShardTokens {
			break
		}
		shardMillis := e.PrefillMillis(work.Shard(shards))
		primary := c.primary(&p, shardMillis)
		if primary < 0 {
			break
		}
		if !c.pickHelpers(primary, shards-1, shardMillis) {
			break
		}
		k := c.cost(p, primary, shardMillis)
		if found && k.total >= best {
			continue
		}
		found, best = true, k.total
		plan = c.plan(primary, plan, k)
	}
	if !found {
		return c.spread(e, p)
	}
	return plan, true
}

// rank sorts the candidates by readyMillis, and their positions by the cost of
// a shard that exceeds the slack.
func (c *Chooser) rank(e *Engine, p Prompt, candidates []Candidate) {
	c.byReady = c.byReady[:0]
	for i := range candidates {
		k := &candidates[i]
		l := &k.Load
		r := ranked{candidate: k, readyMillis: e.FirstEventMillis(*l, 0) + k.PenaltyMillis, slackMillis: e.SlackMillis(*l),
			interference: interferenceFactor * l.EventGapLimitMillis * float64(l.Decoding+l.Prefilling)}
		if !k.Local {
			r.readyMillis += remoteCostMillis
		}
		r.canHelp = l.Helping < min(maxHelperShards, e.Slots)
		if p.EventGapLimitMillis > 0 && (l.EventGapLimitMillis == 0 || l.EventGapLimitMillis > p.EventGapLimitMillis) {
			r.primaryCost = tighterGapCostMillis
		}
		if p.EventGapLimitMillis > 0 && l.EventGapLimitMillis > 0 && l.EventGapLimitMillis <= p.EventGapLimitMillis {
			r.primaryCost -= colocationGainMillis * float64(l.Decoding+l.Prefilling)
		}
		if !k.Preferred {
			r.primaryCost += nonPreferredCostMillis
		}
		r.canAnswer = l.Decoding+l.Prefilling < e.Slots && l.ReservedTokens+p.Tokens+p.AnswerTokens <= e.MemoryTokens
		c.byReady = append(c.byReady, r)
	}
	slices.SortFunc(c.byReady, func(a, b ranked) int {
		if byReadyMillis := cmp.Compare(a.readyMillis, b.readyMillis); byReadyMillis != 0 {
			return byReadyMillis
		}
		return a.candidate.Index - b.candidate.Index
	})
	c.byInterference = c.byInterference[:0]
	for i := range c.byReady {
		c.byInterference = append(c.byInterference, i)
	}
	slices.SortFunc(c.byInterference, func(i, j int) int {
		a, b := &c.byReady[i], &c.byReady[j]
		if byCost := cmp.Compare(a.interference+a.readyMillis, b.interference+b.readyMillis); byCost != 0 {
			return byCost
		}
		return i - j
	})
}

// primary returns the position of the best primary engine, or -1.
func (c *Chooser) primary(p *Prompt, shardMillis float64) int {
	best, bestCost := -1, 0.0
	for i := range c.byReady {
		r := &c.byReady[i]
		if !r.canAnswer {
			continue
		}
		if cost := p.waitCost(r.readyMillis+shardMillis) + r.interferenceOf(shardMillis) + r.primaryCost; best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// pickHelpers stores the given number of helpers in c.chosen: first the engines
// that are ready first and where the shard causes no interference, then those
// with the least interference. It reports whether there are enough.
func (c *Chooser) pickHelpers(primary, helpers int, shardMillis float64) bool {
	c.chosen = c.chosen[:0]
	for i := 0; i < len(c.byReady) && len(c.chosen) < helpers; i++ {
		if r := &c.byReady[i]; i != primary && r.canHelp && r.interferenceOf(shardMillis) == 0 {
			c.chosen = append(c.chosen, i)
		}
	}
	for n := 0; n < len(c.byInterference) && len(c.chosen) < helpers; n++ {
		i := c.byInterference[n]
		if r := &c.byReady[i]; i != primary && r.canHelp && r.interferenceOf(shardMillis) > 0 {
			c.chosen = append(c.chosen, i)
		}
	}
	return len(c.chosen) == helpers
}

// cost is the expected cost of a plan, in milliseconds.
type cost struct {
	// firstEventMillis is the expected time to first token.
	firstEventMillis float64
	// interference is the cost of exceeding the event gap limits of other
	// answers, total the sum of all costs.
	interference, total float64
}

// cost returns the cost of the plan with the given primary engine and the
// chosen helpers.
func (c *Chooser) cost(p Prompt, primary int, shardMillis float64) cost {
	r := &c.byReady[primary]
	k := cost{firstEventMillis: r.readyMillis, interference: r.interferenceOf(shardMillis)}
	for _, i := range c.chosen {
		k.firstEventMillis = max(k.firstEventMillis, c.byReady[i].readyMillis)
		k.interference += c.byReady[i].interferenceOf(shardMillis)
	}
	k.firstEventMillis += shardMillis
	k.total = r.primaryCost + k.interference + helperCostMillis*float64(len(c.chosen)) + p.waitCost(k.firstEventMillis)
	return k
}

// waitCost returns the cost of a first event after the given time. The cost per
// millisecond rises near the latency target and again near the deadline.
func (p *Prompt) waitCost(firstEventMillis float64) float64 {
	cost := firstEventMillis * waitWeight
	if late := firstEventMillis - safeTargetShare*p.TargetMillis; p.TargetMillis > 0 && late > 0 {
		cost += late * lateWeight
	}
	if over := firstEventMillis - deadlineShare*p.RemainingMillis; p.RemainingMillis > 0 && over > 0 {
		cost += over * deadlineWeight
	}
	return cost
}

// plan returns the plan with the chosen engines; it reuses the memory of old.
func (c *Chooser) plan(primary int, old Plan, k cost) Plan {
	helpers := old.Helpers[:0]
	for _, i := range c.chosen {
		helpers = append(helpers, c.byReady[i].candidate.Index)
	}
	return Plan{Primary: c.byReady[primary].candidate.Index, Helpers: helpers, InterferenceMillis: k.interference,
		FirstToken: time.Duration(k.firstEventMillis * float64(time.Millisecond))}
}
