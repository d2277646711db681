package ingress

import (
	"net/http"
	"strings"
	"time"

	"camphorwick.dev/policy/selfreport"
)

// Meta holds the values of a request's headers.
type Meta struct {
	// ID identifies one attempt of the caller; each retry has another ID.
	ID string
	// Key is the caller's API key.
	Key string
	// TimeLeft is how long the caller will wait; 0 if not stated.
	TimeLeft time.Duration
	// LastEventID is the last event received by a caller that resumes a stream.
	LastEventID string
	// PromptTokens is the length of the prompt, MaxAnswerTokens the longest
	// answer; both are 0 for requests without a prompt.
	PromptTokens    int
	MaxAnswerTokens int
	// SharedParts are the IDs of the parts of the prompt that other prompts may share, in
	// order and without repetitions.
	SharedParts []string
	// AnswerHint is the caller's estimate of the tokens of the answer, often
	// inaccurate; 0 if not stated.
	AnswerHint int
}

// Outbound holds the values that the gateway sets in the headers of a request to
// a server.
type Outbound struct {
	// ServerID identifies the server incarnation for which the request is
	// meant.
	ServerID string
	Account  string // empty for none
	// LastEventID is the event after which the server resumes a stream; empty
	// for the whole stream.
	LastEventID string
	TimeLeft    time.Duration
	Helpers     []Helper
}

// Helper is an engine that prefills a shard of the prompt.
type Helper struct {
	Address string
	// ReservationID identifies the memory reserved at the helper; empty for
	// none.
	ReservationID string
}

// AnswerMeta holds the values of the headers of a server's answer.
type AnswerMeta struct {
	// RequestID is the ID of the request that is answered; empty if not stated.
	RequestID string
	// Signed is set if the answer carries the stamp of a server.
	Signed bool
	// NotRun is set if the request did not run and never will.
	NotRun bool
	// Misrouted is set if the request was meant for another server.
	Misrouted bool
	// AtServer is the address of the server that caused a refusal, for instance
	// a helper; empty if not stated.
	AtServer string
	// Report is what the server says of itself.
	Report selfreport.Report
}

// Wire converts between HTTP headers and the gateway's types.
type Wire interface {
	DecodeRequest(h http.Header) Meta
	// EncodeRequest replaces the headers that the gateway sets itself.
	EncodeRequest(h http.Header, o Outbound)
	DecodeAnswer(status int, h http.Header) AnswerMeta
}

// connectionHeaders apply to a single connection and are not forwarded.
var connectionHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Expect", "Content-Length", "Proxy-Authorization", "Proxy-Authenticate"}

// forwardable returns a copy of h without the headers that apply to a single
// connection, including those named by Connection.
func forwardable(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	for name, values := range h {
		out[name] = values
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		delete(out, name)
	}
	return out
}
