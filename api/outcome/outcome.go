// Package outcome defines the four outcomes that a caller can see and the
// typed errors that go with them. Every module reports failures with these
// types, so that an entry can report the state of a request to the caller
// without parsing messages.
package outcome

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Outcome is the final state of a request.
type Outcome string

// The outcomes. Every request ends in exactly one of them.
const (
	// Completed: the answer is complete.
	Completed Outcome = "completed"
	// NotRun: nothing was sent to a backend server and nothing will be.
	NotRun Outcome = "not_run"
	// Failed: an idempotent request started and ended without a complete
	// answer, so a retry is safe.
	Failed Outcome = "failed"
	// Unknown: an order that may have run.
	Unknown Outcome = "unknown"
)

// Code classifies an error for machines.
type Code string

// The error codes of the callers' and the administration API.
// DeadlineUnreachable means that a request is refused because its first token is
// expected after its deadline. Orders are non-idempotent requests to a plain
// service: OrderInDoubt means that the order may have run, KeyExpired that the
// time in its key is too far from now, KeyConflict that its key was used for
// another request, AnswerNotRecorded that it ran before and its answer was too
// long to be kept. Edits are changes of the configuration: EditConflict means
// that another edit has changed the same item, EditInDoubt that the edit may have
// been accepted.
const (
	InvalidRequest      Code = "invalid_request"
	Unauthenticated     Code = "unauthenticated"
	Forbidden           Code = "forbidden"
	NotFound            Code = "not_found"
	UnknownModel        Code = "unknown_model"
	UnknownService      Code = "unknown_service"
	PromptTooLong       Code = "prompt_too_long"
	RateLimited         Code = "rate_limited"
	Overloaded          Code = "overloaded"
	DeadlineExceeded    Code = "deadline_exceeded"
	DeadlineUnreachable Code = "deadline_unreachable"
	Draining            Code = "draining"
	NoServer            Code = "no_server"
	BackendFailed       Code = "backend_failed"
	StoreUnavailable    Code = "store_unavailable"
	OrderInDoubt        Code = "order_in_doubt"
	OrderInProgress     Code = "order_in_progress"
	KeyExpired          Code = "key_expired"
	KeyConflict         Code = "key_conflict"
	AnswerNotRecorded   Code = "answer_not_recorded"
	EditConflict        Code = "edit_conflict"
	EditInDoubt         Code = "edit_in_doubt"
	Cancelled           Code = "cancelled"
	Internal            Code = "internal"
)

// Error is a failure with a code. Wrap it with fmt.Errorf and %w to add
// context; From finds it again.
type Error struct {
	Code    Code
	Message string
	// RetryAfter is the delay before a useful retry; 0 if unknown.
	RetryAfter time.Duration
	Cause      error
}

// Error returns code, message and cause in one line.
func (e *Error) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("%s: %s", e.Code, e.Message)
	}
	return fmt.Sprintf("%s: %s: %v", e.Code, e.Message, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Is reports whether target is an *Error with the same code.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Code == e.Code
}

// New returns an Error without a cause.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an Error with a cause.
func Wrap(cause error, code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...), Cause: cause}
}

// WithRetryAfter sets the delay before a useful retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// From returns the first *Error in err's chain. Context errors become
// DeadlineExceeded or Cancelled; any other error becomes Internal.
func From(err error) *Error {
	var e *Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &e):
		return e
	case errors.Is(err, context.DeadlineExceeded):
		return Wrap(err, DeadlineExceeded, "the deadline has passed")
	case errors.Is(err, context.Canceled):
		return Wrap(err, Cancelled, "the request was cancelled")
	}
	return Wrap(err, Internal, "unexpected failure")
}

// CodeOf returns the code of From(err), or "" for nil.
func CodeOf(err error) Code {
	if e := From(err); e != nil {
		return e.Code
	}
	return ""
}
