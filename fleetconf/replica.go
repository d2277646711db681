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
	// MaxHeadEdits is the number of edits in the head at which a snapshot
	// is written.
	MaxHeadEdits = 256
	// LogEdits is the least number of edits that a replica keeps for peers
	// that lag, once it has seen that many. It covers three hours of 15,000
	// edits a day, so that regions that were cut from each other for an hour
	// exchange edits and not snapshots.
	LogEdits = 2048
	// keptHeadEdits is the number of edits that stay in the head after a
	// snapshot. They resolve lost answers and serve replicas that lag.
	keptHeadEdits = 128
	// MaxSnapshotBytes bounds the configuration, so that a snapshot fits in
	// one control message of at most 2 MiB.
	MaxSnapshotBytes = 2<<20 - 64<<10
	// observedLifetime is how long a revision that a peer reported counts.
	// Peers repeat it with every heartbeat, once a second.
	observedLifetime = 10 * time.Second
	// editOverheadBytes bounds tag and length of an edit within an update.
	editOverheadBytes = 8
)

// GapError says that an update starts after the next revision. The receiver
// asks for an update since the revision that it has.
type GapError struct {
	Have, Got uint64
}

func (e *GapError) Error() string {
	return fmt.Sprintf("the update starts at revision %d, the replica has revision %d", e.Got, e.Have)
}

// Replica holds the configuration of one process. It moves only to higher
// revisions. Safe for concurrent use.
type Replica struct {
	state atomic.Pointer[replicaState]

	// mu orders changes. It protects changed, observed and observedAt; state
	// is written only with mu held.
	mu         sync.Mutex
	changed    chan struct{}
	observed   uint64
	observedAt time.Time
}

// replicaState is immutable. log holds consecutive edits; the last one
// created the revision of config.
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

// Changed returns a channel that is closed by the next change. Take it before
// reading Config, so that no change is missed.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Apply moves the replica to a higher revision. Edits and snapshots that are
// not newer are ignored. It fails with *GapError if edits are missing and
// with *ValidationError if a document cannot be read; the replica then stays
// as it was.
func (r *Replica) Apply(u *wire.ConfigUpdate) (changed bool, err error) {
	if u == nil {
		return false, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.state.Load()
	after, err := before.advance(u)
	if err != nil || after == before {
		return false, err
	}
	r.state.Store(after)
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

// appendLog may write behind the end of a log that older states share. They
// never read there, and only the newest state is extended, with mu held.
func appendLog(log []*wire.Edit, e *wire.Edit) []*wire.Edit {
	if len(log) >= 2*LogEdits {
		log = append(make([]*wire.Edit, 0, 2*LogEdits), log[len(log)-LogEdits+1:]...)
	}
	return append(log, e)
}

// editAt returns the edit that created a revision, or nil if it is not kept.
func (s *replicaState) editAt(revision uint64) *wire.Edit {
	if len(s.log) == 0 || revision < s.log[0].Revision || revision > s.config.revision {
		return nil
	}
	return s.log[revision-s.log[0].Revision]
}

// UpdateSince returns what a replica of the given revision lacks: the missing
// edits if they are known, as many as fit in maxBytes, else a snapshot. It
// returns nil if nothing is missing or if a snapshot is needed and exceeds
// maxBytes; MaxSnapshotBytes always suffices.
func (r *Replica) UpdateSince(revision uint64, maxBytes int) *wire.ConfigUpdate {
	s := r.state.Load()
	if revision >= s.config.revision {
		return nil
	}
	if edits := s.editsSince(revision, min(maxBytes, s.config.bytes+MaxItemBytes)); len(edits) > 0 {
		return &wire.ConfigUpdate{Edits: edits}
	}
	if s.config.bytes > maxBytes {
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

// Observe records the revision that a peer reports in its heartbeats. The
// Editor refuses edits while the head in the store is older than a revision
// known to a live peer, because new edits would reuse its numbers.
func (r *Replica) Observe(revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); revision >= r.observed || now.Sub(r.observedAt) > observedLifetime {
		r.observed, r.observedAt = revision, now
	}
}

// known returns the highest revision in force here or recently observed.
func (r *Replica) known() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.observedAt) > observedLifetime {
		return r.Revision()
	}
	return max(r.Revision(), r.observed)
}

// adopt moves the replica to a configuration read from the store. edits are
// consecutive and the last one created the configuration's revision.
func (r *Replica) adopt(config *Config, edits []*wire.Edit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.state.Load()
	if config.revision <= before.config.revision {
		return
	}
	r.state.Store(&replicaState{config: config, log: before.extendLog(edits)})
	close(r.changed)
	r.changed = make(chan struct{})
}

// extendLog appends edits that continue the log, or else replaces it.
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
