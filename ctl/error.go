package ctl

import (
	"fmt"
	"strings"

	"camphorwick.dev/api/admin"
	"camphorwick.dev/api/outcome"
)

// APIError is returned for a request that an entry refused with an error code.
type APIError struct {
	Address string
	Status  int
	Code    outcome.Code
	Message string
	// Conflict is set if an item does not have the revision that the edit expects.
	Conflict *Conflict
	// Expired is set if the id of the edit is no longer kept, so that a retry cannot
	// tell whether it was accepted.
	Expired bool
}

// Conflict describes an item that another edit has changed: its revision, and the
// edit and its operator if the entry still knows them.
type Conflict = admin.Conflict

func (e *APIError) Error() string {
	return fmt.Sprintf("%s answered %s: %s", e.Address, e.Code, strings.ReplaceAll(e.Message, "\n", "; "))
}

// ConnectionError is returned for an edit if no entry could be reached, so that
// nothing was changed, and for a read if no entry answered.
type ConnectionError struct {
	Addresses []string
	Cause     error
}

func (e *ConnectionError) Error() string {
	return fmt.Sprintf("no entry answered (tried %s): %v", strings.Join(e.Addresses, ", "), e.Cause)
}

// Unwrap returns the error of the last entry that was tried.
func (e *ConnectionError) Unwrap() error { return e.Cause }

// lostResponseError is returned for a request that may have reached the entry, but
// to which no response came, or only one that is not of the administration API.
type lostResponseError struct {
	address string
	cause   error
}

func (e *lostResponseError) Error() string {
	return fmt.Sprintf("request may have reached %s, but got no valid response: %v", e.address, e.cause)
}

func (e *lostResponseError) Unwrap() error { return e.cause }

// DoubtError is returned if it is not known whether an edit was accepted. Such an
// edit is in doubt: it may be in force.
type DoubtError struct {
	Edit Edit
	// Expired is that of APIError.
	Expired bool
	Cause   error
}

func (e *DoubtError) Error() string {
	if e.Expired {
		return fmt.Sprintf("edit %q is too old to tell whether it was accepted; compare its items with what is in force: %v", e.Edit.ID, e.Cause)
	}
	return fmt.Sprintf("edit %q may be in force; retry the command with --edit-id %s --since %d: %v",
		e.Edit.ID, e.Edit.ID, e.Edit.Since, e.Cause)
}

// Unwrap returns the error of the last attempt.
func (e *DoubtError) Unwrap() error { return e.Cause }

// NotInForceError is returned if a revision is not in force on all processes
// within the timeout of the wait.
type NotInForceError struct{ Status Confirmations }

func (e *NotInForceError) Error() string {
	names := make([]string, len(e.Status.Missing))
	for i, m := range e.Status.Missing {
		names[i] = fmt.Sprintf("%s (revision %d, last report %d ms ago)", m.VM, m.Revision, m.AgeMS)
	}
	return fmt.Sprintf("revision %d is in force on %d of %d processes; not on %s",
		e.Status.Revision, e.Status.Confirmed, e.Status.Total, strings.Join(names, ", "))
}

// InputError is returned for an invalid file or argument.
type InputError struct {
	Source string // file or argument name, or what else the input is, such as "administration key"
	Cause  error
}

func (e *InputError) Error() string { return fmt.Sprintf("%s: %v", e.Source, e.Cause) }

// Unwrap returns the cause.
func (e *InputError) Unwrap() error { return e.Cause }
