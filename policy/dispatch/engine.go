// Package dispatch decides which model engines read a prompt and which one
// writes the answer. It performs no I/O and takes the time as an argument.
//
// An engine works in passes. A pass with writers runs a fixed number of token
// steps, reads what waits between them, and ends with one event of each
// answer. A long prompt therefore stretches the pauses in all answers of its
// engine. A prompt may be read in even parts by several engines; the parts are
// read ahead of other prompts, and the first token follows the last part.
// Splitting a prompt shortens the wait for its first token and the pauses that
// it causes, at the price that it depends on more engines.
package dispatch

// Engine describes the speed and the size of the engines of one service.
// Times are in milliseconds.
type Engine struct {
	// Slots is the number of requests that an engine works on at once.
	Slots int
	// MemoryTokens is the KV cache of an engine.
	MemoryTokens int
	// ChunkTokens is the most that a pass reads.
	ChunkTokens int
	// StepsPerPass is the number of token steps of a pass with writers.
	StepsPerPass int
	// StepMillis is the time of a token step; each decoding sequence adds
	// StepMillisPerSequence and each thousand tokens of its context
	// StepMillisPerKContext.
	StepMillis            float64
	StepMillisPerSequence float64
	StepMillisPerKContext float64
	// PrefillTokensPerMilli is the speed of reading prompts; each million pairs
	// of a token and an earlier one adds PairMillisPerMillion.
	PrefillTokensPerMilli float64
	PairMillisPerMillion  float64
	// HelperHopMillis is added to each step of an answer whose prompt lies on
	// several engines.
	HelperHopMillis float64
}

// PrefillWork is an amount of prompt to read.
type PrefillWork struct {
	Tokens float64
	// MillionPairs counts pairs of a token and an earlier one.
	MillionPairs float64
}

// PromptPrefill returns the work of reading a whole prompt.
func PromptPrefill(tokens int) PrefillWork {
	n := float64(tokens)
	return PrefillWork{Tokens: n, MillionPairs: n * n / 2e6}
}

// Shard returns one of n even parts of w.
func (w PrefillWork) Shard(n int) PrefillWork {
	return PrefillWork{Tokens: w.Tokens / float64(n), MillionPairs: w.MillionPairs / float64(n)}
}

// Scale returns share of w.
func (w PrefillWork) Scale(share float64) PrefillWork {
	return PrefillWork{Tokens: w.Tokens * share, MillionPairs: w.MillionPairs * share}
}

// Add returns the sum of both.
func (w PrefillWork) Add(o PrefillWork) PrefillWork {
	return PrefillWork{Tokens: w.Tokens + o.Tokens, MillionPairs: w.MillionPairs + o.MillionPairs}
}

// Load is what an engine has to do.
type Load struct {
	// Decoding is the number of answers in progress and ContextTokens the tokens of
	// memory that they and the waiting prompts will need at their end.
	Decoding      int
	ContextTokens int
	// Prefilling is the number of requests whose prompt is being read here to be
	// answered here.
	Prefilling int
	// Helping is the number of prompts of other engines in work here.
	Helping int
	// Prefill is what is left to read, parts for other engines included.
	Prefill PrefillWork
	// EventGapMillis is the shortest pause between events that an answer in
	// progress or waiting here allows; 0 if there is none.
	EventGapMillis float64
}

// Add returns the sum of both.
func (l Load) Add(o Load) Load {
	return Load{Decoding: l.Decoding + o.Decoding, ContextTokens: l.ContextTokens + o.ContextTokens, Prefilling: l.Prefilling + o.Prefilling,
		Helping: l.Helping + o.Helping, Prefill: l.Prefill.Add(o.Prefill), EventGapMillis: shorterGap(l.EventGapMillis, o.EventGapMillis)}
}

// shorterGap returns the shorter of two pauses; 0 means none.
func shorterGap(a, b float64) float64 {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// stepsMillis returns the time of the token steps of one pass with writers.
func (e *Engine) stepsMillis(writers, context int) float64 {
	step := e.StepMillis + e.StepMillisPerSequence*float64(writers) + e.StepMillisPerKContext*float64(context)/1000
	return step * float64(e.StepsPerPass)
}

// PrefillMillis returns the bare time of reading w, without token steps.
func (e *Engine) PrefillMillis(w PrefillWork) float64 {
	return w.Tokens/e.PrefillTokensPerMilli + w.MillionPairs*e.PairMillisPerMillion
}

// FinishMillis estimates the time until an engine with load l has read work
// that takes partMillis on top of what it is reading, and has made the first
// event of the answer.
func (e *Engine) FinishMillis(l Load, partMillis float64) float64 {
	steps := e.stepsMillis(l.Decoding+1, l.ContextTokens)
	read := e.PrefillMillis(l.Prefill) + partMillis
	if l.Decoding == 0 {
		return read + steps
	}
	// The pass in progress has to end first; on average half of it is left.
	return steps/2 + read + steps
}

// SlackMillis returns how much the engine may read in its next pass, besides
// what waits there already, without a pause that is too long for an answer.
func (e *Engine) SlackMillis(l Load) float64 {
	if l.EventGapMillis == 0 {
		return unlimitedMillis
	}
	return l.EventGapMillis - gapMarginMillis - e.stepsMillis(l.Decoding+l.Prefilling, l.ContextTokens) - e.PrefillMillis(l.Prefill)
}

const (
	// unlimitedMillis stands for no limit.
	unlimitedMillis = 1e12
	// gapMarginMillis is left of the longest pause for the network and for
	// work of other processes that is not known yet.
	gapMarginMillis = 30
)
