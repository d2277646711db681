// Package backend declares the interfaces through which an agent uses its
// backend server, a model engine or a plain service. Packages enginehttp and
// servicehttp implement them.
package backend

import (
	"context"
	"fmt"
	"time"
)

// EngineInfo describes an engine.
type EngineInfo struct {
	Models                 []string `json:"models"`
	KVTokens               int      `json:"kv_tokens"`
	PrefillTokensPerSecond int      `json:"prefill_tokens_per_second"`
	// StepTokens is the number of prefill tokens that one step can take.
	StepTokens int `json:"step_tokens"`
	// FencingChecked is true if the engine refuses commands with an outdated
	// fencing token.
	FencingChecked bool `json:"fencing_checked"`
}

// Completion is a completion request to an engine.
type Completion struct {
	// StreamID names the stream in Cancel, Export and Streams. It is unique.
	StreamID  string
	Model     string
	Prompt    []byte
	MaxTokens int
	// Priority: a lower number goes first.
	Priority int
	// PrefillOnly ends the stream after the prefill and keeps its KV memory
	// until Cancel or Export. A prompt that exceeds the memory of one engine
	// is split into segments, one per engine; PrefillOnly is set for all but the
	// last.
	PrefillOnly bool
	// State is the exported state of the preceding segment or of a paused
	// stream; nil for a new prompt. Tokens of preceding segments take no KV
	// memory in this engine.
	State []byte
}

// Chunk is the next part of a stream.
type Chunk struct {
	Texts []string // one string per generated token
	// Final is set on the last chunk.
	Final        bool
	FinishReason string // "stop", "length" or "prefilled"
	PromptTokens int    // exact count, on the last chunk
	CachedTokens int    // prompt tokens that the prefix cache held
}

// Stream is a running completion. Next returns chunks until one is Final.
// Close releases the connection and cancels a stream that has not ended.
type Stream interface {
	Next(ctx context.Context) (Chunk, error)
	Close() error
}

// StreamInfo describes a stream that an engine holds.
type StreamInfo struct {
	StreamID string `json:"stream_id"`
	KVTokens int    `json:"kv_tokens"`
	State    string `json:"state"` // "queued", "running" or "held"
}

// LoadReport is the load that the engine itself reports. It lags behind the
// actual load.
type LoadReport struct {
	KVUsedTokens   int `json:"kv_used_tokens"`   // held by streams
	KVCachedTokens int `json:"kv_cached_tokens"` // held by the prefix cache only
	Running        int `json:"running"`          // streams
	Queued         int `json:"queued"`           // streams
	QueuedTokens   int `json:"queued_tokens"`    // prompt tokens of queued streams
}

// CacheEvent reports a prefix that was stored in or evicted from the prefix
// cache. Events can be delayed or lost; a lost event leaves a gap in Sequence.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Stored   bool   `json:"stored"`
	Prefix   uint64 `json:"prefix"` // hash, see PrefixHashes
	Tokens   int    `json:"tokens"`
}

// Command tells an engine what to serve. It states the desired state, so a
// repeated command has no further effect.
type Command struct {
	Kind    string `json:"kind"` // "load", "unload" or "role"
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
	Role    string `json:"role"`
	Fencing uint64 `json:"fencing"` // fencing token, see EngineInfo.FencingChecked
}

// Engine is a model engine. Errors are *EngineError or wrap context errors.
type Engine interface {
	Info(ctx context.Context) (EngineInfo, error)
	Start(ctx context.Context, c Completion) (Stream, error)
	Streams(ctx context.Context) ([]StreamInfo, error)
	// Cancel ends a stream and frees its KV memory; a missing stream is no
	// error.
	Cancel(ctx context.Context, streamID string) error
	// Export stops a stream, frees its KV memory and returns the state that
	// Completion.State continues from, which is never empty.
	Export(ctx context.Context, streamID string) ([]byte, error)
	Load(ctx context.Context) (LoadReport, error)
	// Events returns the cache events after the sequence number.
	Events(ctx context.Context, after uint64) ([]CacheEvent, error)
	Command(ctx context.Context, command Command) error
}

// EngineErrorKind classifies a failure of an engine.
type EngineErrorKind string

// Kinds of engine failures.
const (
	// EngineUnreachable: the engine certainly did not receive the request.
	EngineUnreachable EngineErrorKind = "unreachable"
	// EngineBroken: the connection broke after it was opened, so the engine may
	// have accepted the request.
	EngineBroken EngineErrorKind = "broken"
	// EngineRefused: the engine refused, for example for lack of KV memory.
	EngineRefused EngineErrorKind = "refused"
	// EngineFenced: the fencing token of a command is outdated.
	EngineFenced EngineErrorKind = "fenced"
	// EngineNotFound: the stream or model does not exist.
	EngineNotFound EngineErrorKind = "not_found"
)

// EngineError is a failure of an engine.
type EngineError struct {
	Kind    EngineErrorKind
	Message string
	Cause   error
}

func (e *EngineError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("engine %s: %s", e.Kind, e.Message)
	}
	return fmt.Sprintf("engine %s: %s: %v", e.Kind, e.Message, e.Cause)
}

// Unwrap returns the cause.
func (e *EngineError) Unwrap() error { return e.Cause }

// Call is one request to a plain service.
type Call struct {
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// OrderKey is passed on as Idempotency-Key for services that check it.
	OrderKey string
}

// Reply is the answer of a plain service.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
}

// Service is a plain service. Errors are *ServiceError.
type Service interface {
	Call(ctx context.Context, c Call) (Reply, error)
}

// ServiceError is a failed call. NotSent is true only if no byte of the call
// was written, so the call certainly did not run.
type ServiceError struct {
	NotSent bool
	Cause   error
}

func (e *ServiceError) Error() string {
	return fmt.Sprintf("call service: %v", e.Cause) // the cause says whether the call was sent
}

// Unwrap returns the cause.
func (e *ServiceError) Unwrap() error { return e.Cause }

// DialTimeout bounds the connection set-up to a backend server. Within one VM or
// network segment it takes well under a millisecond.
const DialTimeout = 2 * time.Second
