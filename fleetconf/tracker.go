package fleetconf

import (
	"math"
	"sort"
	"sync"
	"time"

	"camphorwick.dev/api/wire"
	"google.golang.org/protobuf/proto"
)

// TrackerLifetime is how long a silent process stays listed. It is long enough
// that a process cut off from all peers is named as unconfirmed, and short
// enough that replaced VMs leave the list.
const TrackerLifetime = 5 * time.Minute

// Tracker collects which configuration revision is in force at each process.
// Safe for concurrent use. Times are passed in, so that it runs on any clock.
type Tracker struct {
	mu      sync.Mutex // protects records
	records map[string]heard
}

type heard struct {
	confirmation *wire.Confirmation
	at           time.Time
}

// Status tells how far a revision is in force.
type Status struct {
	Revision         uint64
	Confirmed, Total int
	// Missing lists the processes that have not confirmed, ordered by VM.
	// AgeMs tells when each was last heard from; a process that was expected
	// and never heard from has epoch 0.
	Missing []*wire.Confirmation
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{records: map[string]heard{}} }

// Merge adds confirmations that were received at now. Of one VM, the highest
// epoch counts; within an epoch the revision never falls and the latest
// report gives the age.
func (t *Tracker) Merge(now time.Time, confirmations ...*wire.Confirmation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range confirmations {
		t.merge(now, c)
	}
}

func (t *Tracker) merge(now time.Time, c *wire.Confirmation) {
	next := heard{proto.Clone(c).(*wire.Confirmation), now.Add(-time.Duration(c.AgeMs) * time.Millisecond)}
	if now.Sub(next.at) > TrackerLifetime {
		return
	}
	old, ok := t.records[c.Vm]
	if ok && old.confirmation.Epoch > c.Epoch {
		return
	}
	if ok && old.confirmation.Epoch == c.Epoch {
		next.confirmation.ConfigRevision = max(c.ConfigRevision, old.confirmation.ConfigRevision)
		if old.at.After(next.at) {
			next.at = old.at
		}
	}
	t.records[c.Vm] = next
}

// Confirmations returns all records with their age at now, ordered by VM, for
// the heartbeats to peers. Records that are too old are removed.
func (t *Tracker) Confirmations(now time.Time) []*wire.Confirmation {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []*wire.Confirmation
	for vm, h := range t.records {
		age := now.Sub(h.at)
		if age > TrackerLifetime {
			delete(t.records, vm)
			continue
		}
		c := proto.Clone(h.confirmation).(*wire.Confirmation)
		c.AgeMs = uint32(min(max(age.Milliseconds(), 0), math.MaxUint32))
		all = append(all, c)
	}
	sort.Slice(all, func(a, b int) bool { return all[a].Vm < all[b].Vm })
	return all
}

// Remove forgets a VM that the platform has taken away.
func (t *Tracker) Remove(vm string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.records, vm)
}

// InForce reports at how many processes the revision, or a higher one, is in
// force. VMs in expected count even if nothing was heard from them.
func (t *Tracker) InForce(now time.Time, revision uint64, expected ...string) Status {
	s := Status{Revision: revision}
	seen := map[string]bool{}
	for _, c := range t.Confirmations(now) {
		seen[c.Vm] = true
		s.Total++
		if c.ConfigRevision >= revision {
			s.Confirmed++
			continue
		}
		s.Missing = append(s.Missing, c)
	}
	for _, vm := range expected {
		if !seen[vm] {
			seen[vm] = true
			s.Total++
			s.Missing = append(s.Missing, &wire.Confirmation{Vm: vm})
		}
	}
	sort.Slice(s.Missing, func(a, b int) bool { return s.Missing[a].Vm < s.Missing[b].Vm })
	return s
}
