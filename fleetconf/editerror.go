package fleetconf

import (
	"fmt"
)

// ConflictError says that an item was changed by another edit.
type ConflictError struct {
	Item string
	// Expected and Actual are revisions of the item; 0 means absent.
	Expected, Actual uint64
	// Operator and EditID name the other edit; empty if it is no longer in
	// the head.
	Operator, EditID string
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("item %q has revision %d, expected %d; last edit %q by operator %q",
		e.Item, e.Actual, e.Expected, e.EditID, e.Operator)
}

// ExpiredEditError says that a repeated edit is so old that the head no
// longer tells whether it was accepted.
type ExpiredEditError struct {
	EditID string
	// Since is the revision that the edit was based on, Oldest the oldest
	// revision whose edit id the head still holds.
	Since, Oldest uint64
}

func (e *ExpiredEditError) Error() string {
	return fmt.Sprintf("edit %q is based on revision %d; edits before revision %d can no longer be told apart",
		e.EditID, e.Since, e.Oldest)
}

// ReusedEditError says that an edit id belongs to another accepted edit.
type ReusedEditError struct {
	EditID   string
	Revision uint64
}

func (e *ReusedEditError) Error() string {
	return fmt.Sprintf("the edit id %q belongs to another edit, accepted as revision %d", e.EditID, e.Revision)
}

// InDoubtError says that the answer to the write of an edit was lost and could
// not be resolved: the edit may be in force. Submit the same edit again, with
// Revision set to Since, to learn its state.
type InDoubtError struct {
	EditID string
	Since  uint64
	Cause  error
}

func (e *InDoubtError) Error() string {
	return fmt.Sprintf("edit %q, based on revision %d, may have been accepted: %v", e.EditID, e.Since, e.Cause)
}

// Unwrap returns the cause.
func (e *InDoubtError) Unwrap() error { return e.Cause }

// StaleStoreError says that the store holds an older configuration than a
// live process: it was restored from an old copy.
type StaleStoreError struct {
	Head, Known uint64
}

func (e *StaleStoreError) Error() string {
	return fmt.Sprintf("the store has revision %d, revision %d is known", e.Head, e.Known)
}
