package follow

import (
	"log/slog"
	"strconv"
)

// Position is a place in the history of the store: an era, and a revision in it. A store that
// is restored from a copy begins a new era and gives out again the revisions after the copy, so
// that revisions can be compared only within an era. Positions are compared as numbers; those of
// a later era are higher than all of an earlier one, which says which one is in force and not
// that it has the changes of the earlier one. A store without eras is in era 0, in which the
// number is the revision. The zero value is before all changes.
type Position int64

const (
	revisionBits = 48
	maxRevision  = 1<<revisionBits - 1
	// maxEra is the last era that a Position can hold.
	maxEra = 1<<(63-revisionBits) - 1
)

// NewPosition returns the position of a revision in an era. Values out of range are cut to it.
func NewPosition(era, revision int64) Position {
	era, revision = min(max(era, 0), maxEra), min(max(revision, 0), maxRevision)
	return Position(era<<revisionBits | revision)
}

// Era returns how often the store was restored from a copy, as it counts.
func (p Position) Era() int64 { return int64(p) >> revisionBits }

// Revision returns the revision within the era.
func (p Position) Revision() int64 { return int64(p) & maxRevision }

// LogValue implements slog.LogValuer: a revision, with its era in front if there are eras.
func (p Position) LogValue() slog.Value {
	if p.Era() == 0 {
		return slog.Int64Value(p.Revision())
	}
	return slog.StringValue(strconv.FormatInt(p.Era(), 10) + "." + strconv.FormatInt(p.Revision(), 10))
}

// EraError means that the store is in another era than that of a position or of a lease: it was
// restored from a copy, and what it knew after the copy is gone.
type EraError struct{ Known, Current int64 }

func (e *EraError) Error() string {
	return "store restored from a copy: era " + strconv.FormatInt(e.Current, 10) + ", known was " + strconv.FormatInt(e.Known, 10)
}
