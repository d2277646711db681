package dispatch

const (
	// memoryMarginTokens is left free on each engine that stores a part of a
	// prompt, because memory is allocated in blocks and current answers grow.
	memoryMarginTokens = 4096
	// minHelperTokens is the smallest reservation on a helper.
	minHelperTokens = 8192
	// minSpreadPercent is the smallest prompt that is stored on several
	// engines, as a percentage of the memory of one engine.
	minSpreadPercent = 40
)

// spread returns a plan for a prompt for which no engine alone has the memory:
// the primary engine stores what fits beside the answer, and helpers store the
// rest in reserved memory. Choose calls it only if no other plan exists.
func (c *Chooser) spread(e *Engine, p Prompt) (plan Plan, ok bool) {
	if p.Tokens < minSpreadPercent*e.MemoryTokens/100 {
		return plan, false
	}
	work := PromptPrefill(p.Tokens)
	best := 0.0
	for _, shards := range shardCounts[1:] {
		if shards > len(c.byReady) {
			break
		}
		shardMillis := e.PrefillMillis(work.Shard(shards))
		primary := c.primaryWithMostMemory(e, p, shards, shardMillis)
		if primary < 0 {
			continue
		}
		if !c.pickHelpers(primary, shards-1, shardMillis) {
			break
		}
		helperTokens := c.divideMemory(e, p, primary)
		if helperTokens == nil {
			continue
		}
		k := c.cost(p, primary, shardMillis)
		if ok && k.total >= best {
			continue
		}
		ok, best = true, k.total
		plan = c.plan(primary, plan, k)
		plan.HelperTokens = helperTokens
	}
	return plan, ok
}

// freeTokens returns the memory in tokens that the engine at position i has
// free for a part of a prompt.
func (c *Chooser) freeTokens(e *Engine, i int) int {
	return e.MemoryTokens - c.byReady[i].candidate.Load.ReservedTokens - memoryMarginTokens
}

// primaryWithMostMemory returns the position of the engine with the most free
// memory among those that pickHelpers prefers, if it has a free slot, or -1.
func (c *Chooser) primaryWithMostMemory(e *Engine, p Prompt, shards int, shardMillis float64) int {
	c.pickHelpers(-1, shards, shardMillis) // may choose fewer engines, which are enough here
	best := -1
	for _, i := range c.chosen {
		l := &c.byReady[i].candidate.Load
		if l.Decoding+l.Prefilling < e.Slots && c.freeTokens(e, i) > p.AnswerTokens && (best < 0 || c.freeTokens(e, i) > c.freeTokens(e, best)) {
			best = i
		}
	}
	return best
}

// divideMemory divides the prompt's memory among the primary engine and the
// chosen helpers. It returns the tokens that each helper stores, or nil if the
// free memory is not enough.
func (c *Chooser) divideMemory(e *Engine, p Prompt, primary int) []int {
	helperTokens := make([]int, len(c.chosen))
	remaining := p.Tokens - (c.freeTokens(e, primary) - p.AnswerTokens)
	for n, i := range c.chosen {
		if remaining > 0 && c.freeTokens(e, i) >= minHelperTokens {
			helperTokens[n] = max(min(remaining, c.freeTokens(e, i)), minHelperTokens)
			remaining -= helperTokens[n]
		}
	}
	if remaining > 0 {
		return nil
	}
	return helperTokens
}
