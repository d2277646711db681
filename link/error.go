package link

import "fmt"

// ErrorKind classifies an error of a session or stream.
type ErrorKind string

// Kinds of errors.
const (
	// Unreachable means that there is no usable session to the peer; nothing
	// was sent.
	Unreachable ErrorKind = "unreachable"
	// Refused means that the handshake failed or the peer may not connect.
	Refused ErrorKind = "refused"
	// Broken means that a session or stream ended while in use.
	Broken ErrorKind = "broken"
	// BadMessage means that a message is malformed, too large or unexpected.
	BadMessage ErrorKind = "bad_message"
)

// Error is an error of a session or stream.
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
