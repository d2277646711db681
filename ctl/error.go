package ctl

import (
	"fmt"
	"strings"

	"camphorwick.dev/api/admin"
	"camphorwick.dev/api/outcome"
)

// APIError is a refusal by an entry.
type APIError struct {
	Address string
	Status  int
	Code    outcome.Code
	Message string
	// Conflict is set when another edit changed an item.
	Conflict *Conflict
	// Expired says that repeating the edit can no longer tell its state.
	Expired bool
}

// Conflict tells what another operator did to an item.
type Conflict = admin.Conflict

func (e *APIError) Error() string {
	return fmt.Sprintf("%s answered %s: %s", e.Address, e.Code, strings.ReplaceAll(e.Message, "\n", "; "))
}

// ConnectionError says that no entry answered and that nothing was changed.
type ConnectionError struct {
	Addresses []string
	Cause     error
}

func (e *ConnectionError) Error() string {
	return fmt.Sprintf("no entry answered (tried %s): %v", strings.Join(e.Addresses, ", "), e.Cause)
}

// Unwrap returns the last failure.
func (e *ConnectionError) Unwrap() error { return e.Cause }

// lostError is a call that may have reached the entry and brought no answer of
// the administration API.
type lostError struct {
	address string
	cause   error
}

func (e *lostError) Error() string { return fmt.Sprintf("no answer from %s: %v", e.address, e.cause) }

func (e *lostError) Unwrap() error { return e.cause }

// DoubtError says that an edit may or may not be in force.
type DoubtError struct {
	Edit Edit
	// Expired says that a repeat cannot resolve it.
	Expired bool
	Cause   error
}

func (e *DoubtError) Error() string {
	if e.Expired {
		return fmt.Sprintf("edit %q is too old to tell whether it was accepted; compare its items with what is in force: %v", e.Edit.ID, e.Cause)
	}
	return fmt.Sprintf("edit %q may be in force; repeat the command with --edit-id %s --since %d: %v",
		e.Edit.ID, e.Edit.ID, e.Edit.Since, e.Cause)
}

// Unwrap returns the last failure.
func (e *DoubtError) Unwrap() error { return e.Cause }

// NotInForceError says where a revision was not in force when the time was
// over.
type NotInForceError struct{ Status Confirmations }

func (e *NotInForceError) Error() string {
	names := make([]string, len(e.Status.Missing))
	for i, m := range e.Status.Missing {
		names[i] = fmt.Sprintf("%s (revision %d, last heard from %d ms ago)", m.VM, m.Revision, m.AgeMS)
	}
	return fmt.Sprintf("revision %d is in force on %d of %d; not on %s",
		e.Status.Revision, e.Status.Confirmed, e.Status.Total, strings.Join(names, ", "))
}

// InputError is a fault in a file or an argument.
type InputError struct {
	Source string
	Cause  error
}

func (e *InputError) Error() string { return fmt.Sprintf("%s: %v", e.Source, e.Cause) }

// Unwrap returns the cause.
func (e *InputError) Unwrap() error { return e.Cause }
