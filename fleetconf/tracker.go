package fleetconf

import (
	"math"
	"sort"
	"sync"
	"time"

	"camphorwick.dev/api/wire"
	"google.golang.org/protobuf/proto"
)

// ConfirmationLifetime is how long the last report of an unresponsive process is
// kept. It is long enough that a process partitioned from all peers is listed as
// unconfirmed, and short enough that replaced VMs disappear from the list.
const ConfirmationLifetime = 5 * time.Minute

// Tracker records which configuration revision is in force at each process. It is
// safe for concurrent use. Times are passed in, so that it works with any clock.
type Tracker struct {
	mu      sync.Mutex        // guards reports
	reports map[string]report // by VM
}

type report struct {
	confirmation *wire.Confirmation
	reportedAt   time.Time
}

// Status reports how many processes have a revision in force.
type Status struct {
	Revision         uint64
	Confirmed, Total int
	// Missing lists the processes that have not confirmed the revision, ordered
	// by VM. AgeMs of an element is the time since the last report of the process.
	// Epoch is 0 for an expected process that has never reported.
	Missing []*wire.Confirmation
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{reports: map[string]report{}} }

// Merge adds confirmations that were received at now. For each VM it keeps only the
// highest epoch. If it has several reports of this epoch, it keeps the highest
// revision and the latest time of all.
func (t *Tracker) Merge(now time.Time, confirmations ...*wire.Confirmation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range confirmations {
		t.merge(now, c)
	}
}

func (t *Tracker) merge(now time.Time, c *wire.Confirmation) {
	next := report{proto.Clone(c).(*wire.Confirmation), now.Add(-time.Duration(c.AgeMs) * time.Millisecond)}
	if now.Sub(next.reportedAt) > ConfirmationLifetime {
		return
	}
	old, ok := t.reports[c.Vm]
	if ok && old.confirmation.Epoch > c.Epoch {
		return
	}
	if ok && old.confirmation.Epoch == c.Epoch {
		next.confirmation.ConfigRevision = max(c.ConfigRevision, old.confirmation.ConfigRevision)
		if old.reportedAt.After(next.reportedAt) {
			next.reportedAt = old.reportedAt
		}
	}
	t.reports[c.Vm] = next
}

// Confirmations returns the reports of all processes with their age at now, ordered
// by VM, to be sent to peers in heartbeats. It removes reports older than
// ConfirmationLifetime.
func (t *Tracker) Confirmations(now time.Time) []*wire.Confirmation {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []*wire.Confirmation
	for vm, r := range t.reports {
		age := now.Sub(r.reportedAt)
		if age > ConfirmationLifetime {
			delete(t.reports, vm)
			continue
		}
		c := proto.Clone(r.confirmation).(*wire.Confirmation)
		c.AgeMs = uint32(min(max(age.Milliseconds(), 0), math.MaxUint32))
		all = append(all, c)
	}
	sort.Slice(all, func(a, b int) bool { return all[a].Vm < all[b].Vm })
	return all
}

// Remove drops the report of a VM that the platform has removed.
func (t *Tracker) Remove(vm string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.reports, vm)
}

// InForce reports at how many processes the revision or a higher one is in force.
// VMs in expected are counted even if they have never reported.
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
