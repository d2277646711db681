package quarantine

import (
	"time"

	"camphorwick.dev/gateway/follow"
)

// The store may be restored from a copy that is some seconds old. Verdicts that were stored since
// are not in it, and those that were ended since are in it again.

// endedMemory is how long it is remembered that an entry was ended. A copy is some seconds old.
const endedMemory = time.Minute

// endedEntry is an entry that was lifted, or removed from the store.
type endedEntry struct {
	since time.Time // Entry.Since
	era   int64     // of the store, in which it was ended
	at    time.Time
}

// position returns the position up to which the list in the store is known.
func (l *List) position() follow.Position {
	if l.Position == nil {
		return 0
	}
	return l.Position()
}

// recordEnd remembers that an entry has ended, for as long as a copy may bring it back. mu is
// held.
func (l *List) recordEnd(r *record) {
	now := time.Now()
	for part, e := range l.ended {
		if now.Sub(e.at) > endedMemory {
			delete(l.ended, part)
		}
	}
	if len(l.ended) < maxEntries {
		l.ended[r.Part] = endedEntry{since: r.Since, era: l.position().Era(), at: now}
	}
}

// reappeared reports whether an entry of the store had been ended in an earlier era. It is removed
// from the store again then. mu is held.
func (l *List) reappeared(e Entry, at follow.Position) bool {
	ended, ok := l.ended[e.Part]
	if !ok || at.Era() <= ended.era || e.Since.After(ended.since) || time.Since(ended.at) > endedMemory {
		return false
	}
	l.Log.Warn("ended quarantine is in the store again, it is removed", "part", e.Part, "since", e.Since)
	l.removals[e.Part] = true
	l.wakeUp()
	return true
}

// wasLost reports whether the store, which does not list a stored entry, may have lost it,
// because it was restored from a copy since. The entry is written again then. mu is held.
func (l *List) wasLost(r *record) bool {
	if r.revision.Era() >= l.position().Era() {
		return false
	}
	l.Log.Warn("quarantine is not in the store any more, which was restored from a copy; it is written again", "part", r.Part, "since", r.Since)
	r.revision = 0
	l.scheduleWrite(r, false)
	return true
}
