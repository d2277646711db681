package fleetconf

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"camphorwick.dev/api/wire"
	"camphorwick.dev/cloud"
	"google.golang.org/protobuf/proto"
)

const (
	// headReadInterval is the maximum duration of one watch. Then the head is read,
	// because a watch does not report that the head was deleted.
	headReadInterval = 30 * time.Second
	// watchBackoff is the delay after the first failure. It doubles with each
	// consecutive failure up to maxWatchBackoff, with jitter. An edit has to reach
	// all processes within 5 s of the end of an outage; a maximum of 2 s leaves
	// enough of this time to distribute it.
	watchBackoff    = 100 * time.Millisecond
	maxWatchBackoff = 2 * time.Second
)

// Watcher follows the head in the store and updates the replica of its process.
// If the store was restored from an older copy, it writes the replica back.
type Watcher struct {
	storage storage
	replica *Replica
	log     *slog.Logger
}

// NewWatcher returns a watcher. log may be nil to discard log lines.
func NewWatcher(kv cloud.KV, replica *Replica, log *slog.Logger) *Watcher {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	return &Watcher{storage: storage{kv}, replica: replica, log: log}
}

// Run follows the head until ctx ends and returns the error of ctx. It makes at
// most one store call at a time.
func (w *Watcher) Run(ctx context.Context) error {
	var lastStoreRevision uint64
	mustRead, failures := true, 0
	for ctx.Err() == nil {
		entry, err := w.nextHead(ctx, mustRead, lastStoreRevision)
		if err == nil {
			err = w.syncWithHead(ctx, entry)
		}
		if err == nil || errors.Is(err, errNoChange) {
			mustRead, failures = err != nil, 0
			lastStoreRevision = entry.Revision
			continue
		}
		if ctx.Err() != nil {
			break
		}
		w.log.Warn("cannot follow configuration head", "error", err, "failures", failures+1)
		_ = sleep(ctx, watchDelay(failures))
		mustRead, failures = true, failures+1
	}
	return ctx.Err()
}

func watchDelay(failures int) time.Duration {
	delay := maxWatchBackoff
	if failures < 5 { // more would only shift beyond maxWatchBackoff
		delay = min(watchBackoff<<failures, maxWatchBackoff)
	}
	return delay/2 + rand.N(delay/2)
}

// errNoChange reports that a watch ended without a change.
var errNoChange = errors.New("configuration head has not changed")

// nextHead returns the head. If mustRead is set, it reads the head at once, else it
// waits until the store revision of the head exceeds lastStoreRevision.
func (w *Watcher) nextHead(ctx context.Context, mustRead bool, lastStoreRevision uint64) (cloud.Entry, error) {
	if mustRead {
		return w.storage.kv.Get(ctx, HeadKey)
	}
	interval := headReadInterval/2 + rand.N(headReadInterval/2)
	watchCtx, cancel := context.WithTimeout(ctx, interval)
	defer cancel()
	entry, err := w.storage.kv.Watch(watchCtx, HeadKey, lastStoreRevision)
	if err != nil && ctx.Err() == nil && watchCtx.Err() != nil {
		return cloud.Entry{Revision: lastStoreRevision}, errNoChange
	}
	return entry, err
}

// syncWithHead updates the replica from the head. If the head is older than the
// replica or has diverged from it, syncWithHead repairs the head instead.
func (w *Watcher) syncWithHead(ctx context.Context, entry cloud.Entry) error {
	head, err := decodeHead(entry)
	if err != nil {
		return err
	}
	local := w.replica.state.Load()
	if head.Revision < local.config.revision || diverged(local, head) {
		return w.repair(ctx)
	}
	return w.loadHead(ctx, head)
}

func (w *Watcher) loadHead(ctx context.Context, head *wire.ConfigHead) error {
	config, err := w.storage.loadConfig(ctx, head, w.replica.state.Load())
	if err != nil {
		return err
	}
	w.replica.adopt(config, head.Edits)
	return nil
}

// repair writes the replica back if the head is older, and merges their edits if
// they have diverged. The state of the replica is loaded before the head is read,
// because the replica may advance in between.
func (w *Watcher) repair(ctx context.Context) error {
	local := w.replica.state.Load()
	head, storeRevision, err := w.storage.readHead(ctx)
	if err != nil {
		return err
	}
	if knownRevision := w.replica.knownRevision(); knownRevision > max(head.Revision, local.config.revision) {
		return &StaleStoreError{Head: head.Revision, Known: knownRevision}
	}
	if diverged(local, head) {
		return w.mergeHistories(ctx, local, head, storeRevision)
	}
	if head.Revision >= local.config.revision {
		return w.loadHead(ctx, head)
	}
	return w.writeBack(ctx, local, head, storeRevision)
}

// writeBack replaces the head, an older copy of the same history, by the replica.
func (w *Watcher) writeBack(ctx context.Context, local *replicaState, old *wire.ConfigHead, storeRevision uint64) error {
	w.log.Warn("store holds an older configuration; writing the replica back",
		"store_revision", old.Revision, "revision", local.config.revision)
	return w.replaceHead(ctx, local.config, recentEdits(local.log, keptHeadEdits), storeRevision)
}

// mergeHistories merges the edits of the head and of the replica. They diverge if a
// process with an older replica commits edits after the store was restored from an
// older copy: from some revision on, the same numbers denote different edits. The
// edits of the shorter history are appended to the longer one. The base snapshot
// gets the next revision, which no edit creates. A replica of either history thus
// lacks an edit for that revision and has to load the snapshot.
func (w *Watcher) mergeHistories(ctx context.Context, local *replicaState, head *wire.ConfigHead, storeRevision uint64) error {
	config, unmerged := local.config, missingEdits(local, head.Edits)
	if head.Revision >= local.config.revision {
		var err error
		if config, err = w.storage.loadConfig(ctx, head, &replicaState{config: &Config{}}); err != nil {
			return err
		}
		unmerged = missingEdits(&replicaState{config: config, log: head.Edits}, local.log)
	}
	w.log.Error("store and replica have diverged; merging their histories",
		"store_revision", head.Revision, "revision", local.config.revision, "edits", len(unmerged))
	merged := *config
	merged.revision = max(head.Revision, local.config.revision) + 1
	next, edits := w.rebase(&merged, unmerged)
	return w.writeBaseAndHead(ctx, &merged, next, edits, storeRevision)
}

func (w *Watcher) replaceHead(ctx context.Context, config *Config, edits []*wire.Edit, storeRevision uint64) error {
	return w.writeBaseAndHead(ctx, config, config, edits, storeRevision)
}

// writeBaseAndHead writes base as a snapshot, and a head of the revision of config
// with edits. Edits after base must lead to config.
func (w *Watcher) writeBaseAndHead(ctx context.Context, base, config *Config, edits []*wire.Edit, storeRevision uint64) error {
	chunks, err := w.storage.writeSnapshot(ctx, base)
	if err != nil {
		return err
	}
	head := &wire.ConfigHead{Revision: config.revision, BaseRevision: base.revision, BaseChunks: chunks, Edits: edits}
	value, err := proto.Marshal(head)
	if err != nil {
		return fmt.Errorf("encode configuration head: %w", err)
	}
	if _, err := w.storage.kv.Put(ctx, HeadKey, value, storeRevision, 0); err != nil {
		return fmt.Errorf("write back configuration head: %w", err)
	}
	w.replica.adopt(config, head.Edits)
	return nil
}

// diverged reports whether the head holds an edit that the replica does not
// contain, although the replica has reached the revision of that edit.
func diverged(local *replicaState, head *wire.ConfigHead) bool {
	return len(missingEdits(local, head.Edits)) > 0
}

// missingEdits returns nil if local contains all of the edits up to its revision.
// Otherwise it returns the first edit that it does not contain and those after it,
// except for edits whose id is in the log of local.
func missingEdits(local *replicaState, edits []*wire.Edit) []*wire.Edit {
	first := slices.IndexFunc(edits, func(e *wire.Edit) bool {
		if e.Revision > local.config.revision {
			return false
		}
		if known := local.editAt(e.Revision); known != nil {
			return known.Id != e.Id
		}
		return contradicts(local.config, e)
	})
	if first < 0 {
		return nil
	}
	ids := map[string]bool{}
	for _, e := range local.log {
		ids[e.Id] = true
	}
	return slices.DeleteFunc(slices.Clone(edits[first:]), func(e *wire.Edit) bool { return ids[e.Id] })
}

// contradicts reports whether config, whose revision is not lower than that of the
// edit, cannot contain the edit. This is so if an item that the edit changed has an
// older revision in config.
func contradicts(config *Config, e *wire.Edit) bool {
	for _, change := range e.Changes {
		if item, ok := config.Item(change.Key); ok && item.Revision < e.Revision {
			return true
		}
	}
	return false
}

// rebase appends the edits of another history to a configuration. An edit whose
// items were changed in both histories is dropped and logged.
func (w *Watcher) rebase(config *Config, unmerged []*wire.Edit) (*Config, []*wire.Edit) {
	var edits []*wire.Edit
	newRevisions := map[uint64]uint64{} // new revisions of unmerged edits, by old revision
	for _, e := range unmerged {
		copied := proto.Clone(e).(*wire.Edit)
		copied.Revision = config.revision + 1
		next, err := rebaseEdit(config, copied, newRevisions)
		if err != nil {
			w.log.Error("dropping conflicting edit that was accepted on an older copy of the store",
				"edit", e.Id, "operator", e.Operator, "error", err)
			continue
		}
		newRevisions[e.Revision] = copied.Revision
		config, edits = next, append(edits, copied)
	}
	return config, edits
}

func rebaseEdit(config *Config, e *wire.Edit, newRevisions map[uint64]uint64) (*Config, error) {
	for _, change := range e.Changes {
		if revision, ok := newRevisions[change.ExpectedRevision]; ok {
			change.ExpectedRevision = revision
		}
		var actual uint64
		if item, ok := config.Item(change.Key); ok {
			actual = item.Revision
		}
		if actual != change.ExpectedRevision {
			return nil, &ConflictError{Item: change.Key, Expected: change.ExpectedRevision, Actual: actual}
		}
	}
	next, err := config.apply(e)
	if err != nil {
		return nil, err
	}
	return next, checkReferences(config, next, e)
}
