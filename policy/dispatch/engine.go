// Package dispatch decides which model engines prefill a prompt and which one
// generates the answer. It performs no I/O and takes the time as an argument.
//
// An engine works in passes. A pass with decoding sequences runs a fixed number
// of token steps and prefills pending prompts between them. At its end the
// engine sends one event to the caller of each answer, with the tokens of the
// pass. The time between two events of an answer is its event gap, so a long
// prompt lengthens the event gaps of all answers on its engine.
//
// A prompt may be split into even shards for several engines. Shards are
// prefilled ahead of whole prompts, and the first token follows the last shard.
// Splitting a prompt shortens its time to first token and the event gaps that
// it causes, but the request then depends on more engines.
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
	// StepMillis is the time of a token step without any sequence.
	StepMillis float64
	// StepMillisPerSequence is added for each decoding sequence.
	StepMillisPerSequence float64
	// StepMillisPerThousandContextTokens is added for each 1,000 tokens in the
	// contexts of the decoding sequences.
	StepMillisPerThousandContextTokens float64
	// PrefillTokensPerMilli is the prefill speed without the cost of attention.
	PrefillTokensPerMilli float64
	// PairMillisPerMillion is the cost of attention: the prefill time for each
	// million pairs of a token and an earlier token.
	PairMillisPerMillion float64
	// HelperStepMillis is the network time between an engine and its helpers. It
	// is added to each token step of an answer whose prompt is stored on several
	// engines.
	HelperStepMillis float64
}

// PrefillWork is an amount of prompt to prefill.
type PrefillWork struct {
	Tokens float64
	// MillionPairs counts the pairs of a token and an earlier token, in
	// millions.
	MillionPairs float64
}

// PromptPrefill returns the work of prefilling a complete prompt. A prompt of n
// tokens has about n*n/2 pairs, which are counted in millions.
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
	// Decoding is the number of decoding sequences.
	Decoding int
	// ReservedTokens is the KV cache memory in tokens that the requests on the
	// engine will need when their answers are complete. stepsMillis uses it in
	// place of the tokens in the contexts of the decoding sequences, which are
	// fewer.
	ReservedTokens int
	// Prefilling is the number of requests in prefill whose answer this engine
	// will generate.
	Prefilling int
	// Helping is the number of prompts of other engines of which this engine
	// prefills a shard.
	Helping int
	// Prefill is the pending prefill, including shards for other engines.
	Prefill PrefillWork
	// EventGapLimitMillis is the shortest event gap limit of the answers that are
	// generated or pending here; 0 if there is none.
	EventGapLimitMillis float64
}

// Add returns the sum of l and o.
func (l Load) Add(o Load) Load {
	return Load{Decoding: l.Decoding + o.Decoding, ReservedTokens: l.ReservedTokens + o.ReservedTokens, Prefilling: l.Prefilling + o.Prefilling,
		Helping: l.Helping + o.Helping, Prefill: l.Prefill.Add(o.Prefill), EventGapLimitMillis: shorterGap(l.EventGapLimitMillis, o.EventGapLimitMillis)}
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
	step := e.StepMillis + e.StepMillisPerSequence*float64(sequences) + e.StepMillisPerThousandContextTokens*float64(contextTokens)/1000
	return step * float64(e.StepsPerPass)
}

// PrefillMillis returns the time to prefill w without queueing or decoding.
func (e *Engine) PrefillMillis(w PrefillWork) float64 {
	return w.Tokens/e.PrefillTokensPerMilli + w.MillionPairs*e.PairMillisPerMillion
}

// FirstEventMillis estimates the time until an engine with load l has finished
// its pending prefill and then the shard (or whole prompt) of a new request,
// which takes shardMillis, and has sent the first event of its answer.
func (e *Engine) FirstEventMillis(l Load, shardMillis float64) float64 {
	steps := e.stepsMillis(l.Decoding+1, l.ReservedTokens)
	prefill := e.PrefillMillis(l.Prefill) + shardMillis
	if l.Decoding == 0 {
		return prefill + steps
	}
	// The current pass has to end first; on average half of it remains.
	return steps/2 + prefill + steps
}

// HasTimes reports whether the model of the engine says how long its steps take.
func (e *Engine) HasTimes() bool {
	return e.StepMillis > 0 && e.StepsPerPass > 0 && e.PrefillTokensPerMilli > 0
}

// AnswerMillis estimates how long an engine with all its slots in use writes an answer of a
// number of tokens, without the prefill of other prompts between its passes.
func (e *Engine) AnswerMillis(tokens, contextTokens int) float64 {
	perPass := max(e.StepsPerPass, 1)
	passes := (tokens + perPass - 1) / perPass
	return float64(passes) * e.stepsMillis(e.Slots, contextTokens)
}

// LeastFirstEventMillis returns the shortest time in which a prompt of a number of tokens is
// prefilled by as many engines as may share it.
func (e *Engine) LeastFirstEventMillis(tokens int) float64 {
	return e.PrefillMillis(PromptPrefill(tokens).Shard(MaxHelpers + 1))
}

// SlackMillis returns the prefill time that can be added to the next pass of
// the engine before an answer exceeds its event gap limit. It is negative if the
// pending prefill exceeds the limit already.
func (e *Engine) SlackMillis(l Load) float64 {
	if l.EventGapLimitMillis == 0 {
		return unlimitedMillis
	}
	return l.EventGapLimitMillis - gapMarginMillis - e.stepsMillis(l.Decoding+l.Prefilling, l.ReservedTokens) - e.PrefillMillis(l.Prefill)
}

const (
	// unlimitedMillis is the slack of an engine without event gap limits.
	unlimitedMillis = 1e12
	// gapMarginMillis is the part of the event gap limit that is reserved for
	// the network and for requests that other gateways have just sent and this
	// process does not know yet.
	gapMarginMillis = 30
)
