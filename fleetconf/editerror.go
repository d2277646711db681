package fleetconf

import (
	"fmt"
)

// ConflictError reports that another edit has changed an item.
type ConflictError struct {
	Item string
	// Expected and Actual are revisions of the item; 0 means that it does not
	// exist.
	Expected, Actual uint64
	// Operator and EditID identify the other edit. They are empty if it is no
	// longer in the head.
	Operator, EditID string
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("item %q has revision %d, expected %d; last edit %q by operator %q",
		e.Item, e.Actual, e.Expected, e.EditID, e.Operator)
}

// ExpiredEditError reports that an edit was resubmitted so late that the head no
// longer shows whether it was accepted.
type ExpiredEditError struct {
	EditID string
	// Since is the revision that the edit was based on. Oldest is the oldest
	// revision whose edit id the head still holds.
	Since, Oldest uint64
}

func (e *ExpiredEditError) Error() string {
	return fmt.Sprintf("edit %q is based on revision %d; edits before revision %d can no longer be told apart",
		e.EditID, e.Since, e.Oldest)
}

// ReusedEditError reports that an edit id belongs to another accepted edit.
type ReusedEditError struct {
	EditID   string
	Revision uint64
}

func (e *ReusedEditError) Error() string {
	return fmt.Sprintf("the edit id %q belongs to another edit, accepted as revision %d", e.EditID, e.Revision)
}

// InDoubtError reports that the response to the write of an edit was lost and it
// could not be determined whether the edit is in force. To find out, submit the
// same edit again with Revision set to Since.
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

// StaleStoreError reports that the store holds an older configuration than a live
// process, because it was restored from an older copy.
type StaleStoreError struct {
	// Head is the revision of the head in the store, Known the higher revision of
	// the process.
	Head, Known uint64
}

func (e *StaleStoreError) Error() string {
	return fmt.Sprintf("the store has revision %d, revision %d is known", e.Head, e.Known)
}
