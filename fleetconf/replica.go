package fleetconf

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"camphorwick.dev/api/wire"
	"google.golang.org/protobuf/proto"
)

const (
	// MaxHeadEdits is the number of edits in the head at which a snapshot is
	// written.
	MaxHeadEdits = 256
	// MinLogEdits is the minimum number of edits that a replica keeps for
	// lagging peers once it has received that many. It covers three hours at
	// 15,000 edits per day, so that regions partitioned for an hour exchange
	// edits instead of snapshots.
	MinLogEdits = 2048
	// keptHeadEdits is the number of edits that stay in the head after a
	// snapshot. They resolve lost responses and update lagging replicas.
	keptHeadEdits = 128
	// MaxSnapshotBytes is the maximum size of the configuration. It lets a
	// snapshot fit in one control message of at most 2 MiB.
	MaxSnapshotBytes = 2<<20 - 64<<10
	// observedLifetime is how long a revision reported by a peer counts. Peers
	// report theirs with every heartbeat, once per second.
	observedLifetime = 10 * time.Second
	// editOverheadBytes is an upper bound of the size of the tag and length of
	// an edit in an update.
	editOverheadBytes = 8
)

// MissingRevisionsError reports that revisions are missing between that of the
// replica and the start of an update. The receiver requests an update from the
// revision that it has.
type MissingRevisionsError struct {
	// Have is the revision of the replica, Got the first revision of the update.
	Have, Got uint64
}

func (e *MissingRevisionsError) Error() string {
	return fmt.Sprintf("update starts at revision %d, but the replica has revision %d", e.Got, e.Have)
}

// Replica holds the configuration of one process. Its revision only increases. It
// is safe for concurrent use.
type Replica struct {
	state atomic.Pointer[replicaState]

	// mu serializes changes. It guards changed, observedRevision and observedAt;
	// state is written only while mu is held.
	mu               sync.Mutex
	changed          chan struct{} // closed and replaced by each change
	observedRevision uint64        // highest revision that a peer has reported recently
	observedAt       time.Time     // time of the last report of observedRevision
}

// replicaState is an immutable state of a replica. log holds consecutive edits,
// the last of which created the revision of config.
type replicaState struct {
	config *Config
	log    []*wire.Edit
}

// NewReplica returns an empty replica of revision 0.
func NewReplica() *Replica {
	r := &Replica{changed: make(chan struct{})}
	r.state.Store(&replicaState{config: &Config{}})
	return r
}

// Config returns the configuration in force.
func (r *Replica) Config() *Config { return r.state.Load().config }

// Revision returns the revision in force.
func (r *Replica) Revision() uint64 { return r.Config().revision }

// Changed returns a channel that is closed by the next change. To miss no change,
// call it before reading Config.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Apply updates the replica to a higher revision. It ignores edits and snapshots
// that are not newer. It fails with *MissingRevisionsError if edits are missing and with
// *ValidationError if a document cannot be decoded; the replica is then
// unchanged.
func (r *Replica) Apply(u *wire.ConfigUpdate) (changed bool, err error) {
	if u == nil {
		return false, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.state.Load()
	next, err := current.advance(u)
	if err != nil || next == current {
		return false, err
	}
	r.state.Store(next)
	close(r.changed)
	r.changed = make(chan struct{})
	return true, nil
}

func (s *replicaState) advance(u *wire.ConfigUpdate) (*replicaState, error) {
	next := s
	if snap := u.Snapshot; snap != nil && snap.Revision > s.config.revision {
		config, err := fromSnapshot(snap, s.config)
		if err != nil {
			return nil, err
		}
		next = &replicaState{config: config}
	}
	for _, e := range u.Edits {
		if e.Revision <= next.config.revision {
			continue
		}
		config, err := next.config.apply(e)
		if err != nil {
			return nil, err
		}
		next = &replicaState{config: config, log: appendLog(next.log, e)}
	}
	return next, nil
}

// appendLog appends an edit, and shortens the log to MinLogEdits if it had twice as
// many. It may write to an array that older states share, but only behind the
// elements that they use. Only the log of the newest state is extended, while mu is
// held.
func appendLog(log []*wire.Edit, e *wire.Edit) []*wire.Edit {
	if len(log) >= 2*MinLogEdits {
		log = append(make([]*wire.Edit, 0, 2*MinLogEdits), log[len(log)-MinLogEdits+1:]...)
	}
	return append(log, e)
}

// editAt returns the edit that created a revision, or nil if it is not in the log.
func (s *replicaState) editAt(revision uint64) *wire.Edit {
	if len(s.log) == 0 || revision < s.log[0].Revision || revision > s.config.revision {
		return nil
	}
	return s.log[revision-s.log[0].Revision]
}

// UpdateSince returns an update for a replica at the given revision. If the log
// holds the missing edits, the update has as many of them as fit in maxBytes, else
// it is a snapshot. The result is nil if nothing is missing, or if a snapshot is
// needed and exceeds maxBytes. With MaxSnapshotBytes, a snapshot always fits.
func (r *Replica) UpdateSince(revision uint64, maxBytes int) *wire.ConfigUpdate {
	s := r.state.Load()
	if revision >= s.config.revision {
		return nil
	}
	// Edits that are larger than a snapshot by more than one item have no advantage.
	if edits := s.editsSince(revision, min(maxBytes, s.config.snapshotBytes+MaxItemBytes)); len(edits) > 0 {
		return &wire.ConfigUpdate{Edits: edits}
	}
	if s.config.snapshotBytes > maxBytes {
		return nil
	}
	return &wire.ConfigUpdate{Snapshot: s.config.Snapshot()}
}

func (s *replicaState) editsSince(revision uint64, maxBytes int) []*wire.Edit {
	missing := s.config.revision - revision
	if missing > uint64(len(s.log)) {
		return nil
	}
	edits := s.log[uint64(len(s.log))-missing:]
	size := 0
	for i, e := range edits {
		if size += proto.Size(e) + editOverheadBytes; size > maxBytes {
			return edits[:i]
		}
	}
	return edits
}

// ObservePeerRevision records the revision that a peer reports in its heartbeats.
// The Editor rejects edits while the head in the store is older than the revision of
// a live peer, because new edits would reuse revision numbers.
func (r *Replica) ObservePeerRevision(revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); revision >= r.observedRevision || now.Sub(r.observedAt) > observedLifetime {
		r.observedRevision, r.observedAt = revision, now
	}
}

// knownRevision returns the highest revision that this replica has or a peer has
// reported within observedLifetime.
func (r *Replica) knownRevision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.observedAt) > observedLifetime {
		return r.Revision()
	}
	return max(r.Revision(), r.observedRevision)
}

// adopt updates the replica to a configuration read from the store, unless it is
// not newer. edits must be consecutive and end with the edit that created the
// revision of the configuration.
func (r *Replica) adopt(config *Config, edits []*wire.Edit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.state.Load()
	if config.revision <= current.config.revision {
		return
	}
	r.state.Store(&replicaState{config: config, log: current.extendLog(edits)})
	close(r.changed)
	r.changed = make(chan struct{})
}

// extendLog returns the log extended by edits, or only these edits if revisions are
// missing between the two.
func (s *replicaState) extendLog(edits []*wire.Edit) []*wire.Edit {
	if len(edits) == 0 || edits[0].Revision > s.config.revision+1 {
		return slices.Clone(edits)
	}
	log := s.log
	for _, e := range edits {
		if e.Revision > s.config.revision {
			log = appendLog(log, e)
		}
	}
	return log
}
