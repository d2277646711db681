package link

import "fmt"

// ErrorKind classifies a failure of a session.
type ErrorKind string

// Kinds of session failures.
const (
	// Unreachable: no session to the peer exists; nothing was sent.
	Unreachable ErrorKind = "unreachable"
	// Refused: the handshake failed or the peer may not connect.
	Refused ErrorKind = "refused"
	// Broken: a session or stream ended while in use.
	Broken ErrorKind = "broken"
	// BadMessage: a message is malformed, too large or out of place.
	BadMessage ErrorKind = "bad_message"
)

// Error is a failure of a session or stream.
type Error struct {
	Kind  ErrorKind
	Peer  string // VM or address
	Cause error
}

func (e *Error) Error() string {
	return fmt.Sprintf("session with %s: %s: %v", e.Peer, e.Kind, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }
