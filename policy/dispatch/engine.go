// Package dispatch decides which model engines prefill a prompt and which one
// generates the answer. It performs no I/O and takes the time as an argument.
//
// An engine works in passes. A pass with decoding sequences runs a fixed number
// of token steps, prefills pending prompts between them, and ends with one
// event of each answer. A long prompt therefore stretches the event gaps of all
// answers on its engine. A prompt may be split into even shards for several
// engines. Shards are prefilled ahead of whole prompts, and the first token
// follows the last shard. Splitting a prompt shortens its time to first token
// and the event gaps that it causes, but the request then depends on more
// engines.
package dispatch

// Engine describes the speed and the size of the engines of one service. Times
// are in milliseconds.
type Engine struct {
	// Slots is the number of requests that an engine processes at once.
	Slots int
	// MemoryTokens is the KV cache size of an engine.
	MemoryTokens int
	// ChunkTokens is the maximum number of tokens that a pass prefills.
	ChunkTokens int
	// StepsPerPass is the number of token steps of a pass with decoding
	// sequences.
	StepsPerPass int
	// StepMillis is the time of a token step. Each decoding sequence adds
	// StepMillisPerSequence and each thousand tokens of its context
	// StepMillisPerKContext.
	StepMillis            float64
	StepMillisPerSequence float64
	StepMillisPerKContext float64
	// PrefillTokensPerMilli is the prefill speed. Each million pairs of a token
	// and an earlier token adds PairMillisPerMillion, the cost of attention.
	PrefillTokensPerMilli float64
	PairMillisPerMillion  float64
	// HelperHopMillis is added to each token step of an answer whose prompt is
	// stored on several engines.
	HelperHopMillis float64
}

// PrefillWork is an amount of prompt to prefill.
type PrefillWork struct {
	Tokens float64
	// MillionPairs counts the pairs of a token and an earlier token, in
	// millions.
	MillionPairs float64
}

// PromptPrefill returns the work of prefilling a complete prompt.
func PromptPrefill(tokens int) PrefillWork {
	n := float64(tokens)
	return PrefillWork{Tokens: n, MillionPairs: n * n / 2e6}
}

// Shard returns one of n even shards of w.
func (w PrefillWork) Shard(n int) PrefillWork {
	return PrefillWork{Tokens: w.Tokens / float64(n), MillionPairs: w.MillionPairs / float64(n)}
}

// Scale returns the given share of w.
func (w PrefillWork) Scale(share float64) PrefillWork {
	return PrefillWork{Tokens: w.Tokens * share, MillionPairs: w.MillionPairs * share}
}

// Add returns the sum of w and o.
func (w PrefillWork) Add(o PrefillWork) PrefillWork {
	return PrefillWork{Tokens: w.Tokens + o.Tokens, MillionPairs: w.MillionPairs + o.MillionPairs}
}

// Load is the work in flight on an engine.
type Load struct {
	// Decoding is the number of decoding sequences. ContextTokens is the memory
	// that they and the prompts in prefill will need at their end.
	Decoding      int
	ContextTokens int
	// Prefilling is the number of requests in prefill whose answer this engine
	// will generate.
	Prefilling int
	// Helping is the number of prompts of other engines of which this engine
	// prefills a shard.
	Helping int
	// Prefill is the pending prefill, including shards for other engines.
	Prefill PrefillWork
	// EventGapMillis is the shortest event gap limit of the answers that are
	// generated or pending here; 0 if there is none.
	EventGapMillis float64
}

// Add returns the sum of l and o.
func (l Load) Add(o Load) Load {
	return Load{Decoding: l.Decoding + o.Decoding, ContextTokens: l.ContextTokens + o.ContextTokens, Prefilling: l.Prefilling + o.Prefilling,
		Helping: l.Helping + o.Helping, Prefill: l.Prefill.Add(o.Prefill), EventGapMillis: shorterGap(l.EventGapMillis, o.EventGapMillis)}
}

// shorterGap returns the shorter of two event gap limits; 0 means no limit.
func shorterGap(a, b float64) float64 {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// stepsMillis returns the time of the token steps of a pass.
func (e *Engine) stepsMillis(sequences, contextTokens int) float64 {
	step := e.StepMillis + e.StepMillisPerSequence*float64(sequences) + e.StepMillisPerKContext*float64(contextTokens)/1000
	return step * float64(e.StepsPerPass)
}

// PrefillMillis returns the time to prefill w without queueing or decoding.
func (e *Engine) PrefillMillis(w PrefillWork) float64 {
	return w.Tokens/e.PrefillTokensPerMilli + w.MillionPairs*e.PairMillisPerMillion
}

// FinishMillis estimates the time until an engine with load l has prefilled a
// shard of shardMillis after its pending prefill and has sent the first event
// of the answer.
func (e *Engine) FinishMillis(l Load, shardMillis float64) float64 {
	steps := e.stepsMillis(l.Decoding+1, l.ContextTokens)
	prefill := e.PrefillMillis(l.Prefill) + shardMillis
	if l.Decoding == 0 {
		return prefill + steps
	}
	// The current pass has to end first; on average half of it remains.
	return steps/2 + prefill + steps
}

// SlackMillis returns for how long the engine may prefill in its next pass,
// beyond its pending prefill, without exceeding the event gap limit of an
// answer.
func (e *Engine) SlackMillis(l Load) float64 {
	if l.EventGapMillis == 0 {
		return unlimitedMillis
	}
	return l.EventGapMillis - gapMarginMillis - e.stepsMillis(l.Decoding+l.Prefilling, l.ContextTokens) - e.PrefillMillis(l.Prefill)
}

const (
	// unlimitedMillis means no limit.
	unlimitedMillis = 1e12
	// gapMarginMillis is the part of the event gap limit that is reserved for
	// the network and for work of other processes that is not known yet.
	gapMarginMillis = 30
)
