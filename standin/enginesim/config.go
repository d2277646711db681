// Package enginesim simulates a model engine with continuous batching, limited
// KV-cache memory and a prefix cache, for tests that need an engine whose timing,
// faults and answers are known in advance. The package imports no product code,
// so that tests cannot miss a defect because both sides share it.
//
// Engine is the simulation, for use in one process. Server serves it over the
// protocol of docs/protocols/engine.md. All timing goes through
// package time, so testing/synctest drives an Engine in virtual time.
package enginesim

import (
	"fmt"
	"time"
)

// Config describes the simulated engine. Zero durations cost no time.
type Config struct {
	Models   []string // models loaded at the start
	KVTokens int      // KV-cache memory, in tokens

	StepTokens     int           // prefill tokens that one step can take
	StepFixed      time.Duration // fixed part of the step time
	StepPerPrefill time.Duration // step time per prefill token
	StepPerDecode  time.Duration // step time per decoding sequence

	MaxQueued int // requests that may wait; 0 means no limit

	Retention   time.Duration // time for which a broken stream can be re-attached
	KeepForever bool          // keep broken streams until Cancel, as an engine with a leak does

	StateBytesPerToken int           // size of an exported state, bytes per token
	StateTimePerToken  time.Duration // time of an export or import, per token

	EventDelay           time.Duration // age at which cache events become visible
	EventLossProbability float64       // probability that a cache event is lost
	Seed                 uint64        // seed of the lost cache events

	LoadLag  time.Duration // age of the reports that Load returns
	LoadTime time.Duration // time that loading a model, adapter or version takes

	FencingChecked bool // refuse commands with an outdated fencing token

	StopProbability float64 // probability that an answer stops at a token
}

// Validate returns an *Error of kind KindRefused for a value out of range.
func (c Config) Validate() error {
	switch {
	case c.KVTokens <= 0 || c.StepTokens <= 0:
		return refusedf("KV-cache memory and prefill tokens per step must be positive")
	case c.EventLossProbability < 0 || c.EventLossProbability > 1 || c.StopProbability < 0 || c.StopProbability > 1:
		return refusedf("probabilities must be in 0..1")
	case c.StateBytesPerToken < 0 || c.MaxQueued < 0:
		return refusedf("state bytes per token and the queue limit must not be negative")
	}
	for _, d := range []time.Duration{c.StepFixed, c.StepPerPrefill, c.StepPerDecode,
		c.Retention, c.StateTimePerToken, c.EventDelay, c.LoadLag, c.LoadTime} {
		if d < 0 {
			return refusedf("duration %v is negative", d)
		}
	}
	if c.StepFixed+c.StepPerPrefill <= 0 || c.StepFixed+c.StepPerDecode <= 0 {
		return refusedf("a step must take time")
	}
	return nil
}

// prefillRate returns the prefill tokens per second of full steps.
func (c Config) prefillRate() int {
	step := c.StepFixed + time.Duration(c.StepTokens)*c.StepPerPrefill
	return int(float64(c.StepTokens) / step.Seconds())
}

// Info describes the engine.
type Info struct {
	Models                 []string `json:"models"`
	KVTokens               int      `json:"kv_tokens"`
	PrefillTokensPerSecond int      `json:"prefill_tokens_per_second"`
	StepTokens             int      `json:"step_tokens"`
	FencingChecked         bool     `json:"fencing_checked"`
}

// Request is work for the engine. The engine keeps neither Prompt nor State
// after Start returns.
type Request struct {
	StreamID    string // unique; names the stream in Attach, Cancel and Export
	Model       string
	Prompt      []byte
	MaxTokens   int
	Priority    int    // a lower number goes first
	PrefillOnly bool   // hold the KV memory after the prefill, until Cancel or Export
	State       []byte // exported state that the stream continues from; empty for none
}

// Chunk is the next part of a stream.
type Chunk struct {
	Texts        []string `json:"texts,omitempty"` // one string per token
	Final        bool     `json:"final,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"` // on the last chunk
	PromptTokens int      `json:"prompt_tokens,omitempty"` // on the last chunk
	CachedTokens int      `json:"cached_tokens,omitempty"` // on the last chunk
}

// Finish reasons.
const (
	FinishStop      = "stop"
	FinishLength    = "length"
	FinishPrefilled = "prefilled"
)

// StreamInfo describes a stream that the engine holds.
type StreamInfo struct {
	StreamID string `json:"stream_id"`
	KVTokens int    `json:"kv_tokens"`
	State    string `json:"state"` // "queued", "running" or "held"
}

// LoadReport is the engine's report of its load.
type LoadReport struct {
	KVUsedTokens   int `json:"kv_used_tokens"`
	KVCachedTokens int `json:"kv_cached_tokens"`
	Running        int `json:"running"`
	Queued         int `json:"queued"`
	QueuedTokens   int `json:"queued_tokens"` // prompt tokens of queued streams
}

// CacheEvent reports a prefix stored in or evicted from the prefix cache.
// Tokens is the length of the prefix.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Stored   bool   `json:"stored"`
	Prefix   uint64 `json:"prefix"`
	Tokens   int    `json:"tokens"`
}

// Command states what the engine should serve.
type Command struct {
	Kind         string `json:"kind"` // "load", "unload" or "role"
	Model        string `json:"model"`
	Version      string `json:"version"`
	Adapter      string `json:"adapter"`
	Role         string `json:"role"`
	FencingToken uint64 `json:"fencing"`
}

// Stats holds exact counts for tests, without lag.
type Stats struct {
	KVUsedTokens   int            `json:"kv_used_tokens"`
	KVCachedTokens int            `json:"kv_cached_tokens"`
	Streams        []StreamInfo   `json:"streams"`
	PrefillTokens  int64          `json:"prefill_tokens"` // computed since the start
	DecodedTokens  int64          `json:"decoded_tokens"` // emitted since the start
	Steps          int64          `json:"steps"`
	Starts         map[string]int `json:"starts"` // accepted starts per stream id
	Role           string         `json:"role"`
	// Versions holds the version of each loaded model and adapter.
	Versions map[string]string `json:"versions"`
}

// Kind classifies an error of the engine.
type Kind string

// Kinds of errors.
const (
	KindRefused  Kind = "refused"   // the engine does not accept the request
	KindFenced   Kind = "fenced"    // the fencing token of a command is outdated
	KindNotFound Kind = "not_found" // the stream or model does not exist
	KindBroken   Kind = "broken"    // the attachment to the stream was broken
)

// Error is a failure of an engine operation.
type Error struct {
	Kind    Kind   `json:"kind"`
	Message string `json:"message"`
}

func (e *Error) Error() string { return fmt.Sprintf("engine %s: %s", e.Kind, e.Message) }

func refusedf(format string, args ...any) *Error {
	return &Error{Kind: KindRefused, Message: fmt.Sprintf(format, args...)}
}

func notFoundf(format string, args ...any) *Error {
	return &Error{Kind: KindNotFound, Message: fmt.Sprintf(format, args...)}
}
