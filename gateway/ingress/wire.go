package ingress

import (
	"net/http"
	"strings"
	"time"
)

// Meta is what the headers of a request say.
type Meta struct {
	// ID names one try of the caller; each retry has another.
	ID string
	// Key is the caller's API key.
	Key string
	// TimeLeft is how long the caller will wait; 0 if it is not stated.
	TimeLeft time.Duration
	// LastEventID is the last event that a caller who resumes a stream has.
	LastEventID string
	// PromptTokens and MaxAnswerTokens size a generation; 0 for other requests.
	PromptTokens    int
	MaxAnswerTokens int
	// AnswerHint is the caller's estimate of the answer's tokens, often far
	// off; 0 if it is not stated.
	AnswerHint int
}

// Outbound is what the gateway tells a server besides the caller's request.
type Outbound struct {
	// ServerID names the incarnation that the request is meant for.
	ServerID    string
	Account     string
	LastEventID string
	TimeLeft    time.Duration
	Helpers     []Helper
}

// Helper is an engine that reads a part of the prompt.
type Helper struct {
	Address string
	// ReservationID names the memory that is reserved there; empty for none.
	ReservationID string
}

// AnswerMeta is what the headers of a server's answer say.
type AnswerMeta struct {
	RequestID string
	// Signed says that the answer bears the server's own mark.
	Signed bool
	// NotRun says that the request did not run and never will.
	NotRun bool
	// Misrouted says that the server is not the one that was meant.
	Misrouted bool
	// AtServer is the server at fault, if the answer names one.
	AtServer string
}

// Wire translates between headers and the gateway's types.
type Wire interface {
	DecodeRequest(h http.Header) Meta
	// EncodeRequest replaces the headers that the gateway sets itself.
	EncodeRequest(h http.Header, o Outbound)
	DecodeAnswer(status int, h http.Header) AnswerMeta
}

// connectionHeaders concern one connection and are not forwarded.
var connectionHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Expect", "Content-Length", "Proxy-Authorization", "Proxy-Authenticate"}

// forwardable returns a copy of h without the headers that concern one
// connection, among them those that Connection names.
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
