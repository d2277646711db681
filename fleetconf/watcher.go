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
	// headReadInterval is how often a watcher reads the head besides its
	// watch. A deleted head is not reported by a watch.
	headReadInterval = 30 * time.Second
	// watchBackoff is the first delay after a failure; it doubles up to
	// maxWatchBackoff, with jitter. The longest delay leaves time to bring an
	// edit everywhere within 5 s of the end of an outage.
	watchBackoff    = 100 * time.Millisecond
	maxWatchBackoff = 2 * time.Second
)

// Watcher follows the head in the store and feeds the replica of its process.
// If the store was restored from an older copy, it writes the replica back.
type Watcher struct {
	storage storage
	replica *Replica
	log     *slog.Logger
}

// NewWatcher returns a watcher; log may be nil.
func NewWatcher(kv cloud.KV, replica *Replica, log *slog.Logger) *Watcher {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	return &Watcher{storage: storage{kv}, replica: replica, log: log}
}

// Run follows the head until ctx ends and returns the context's error. It has
// at most one call of the store in progress.
func (w *Watcher) Run(ctx context.Context) error {
	var after uint64
	read, failures := true, 0
	for ctx.Err() == nil {
		entry, err := w.next(ctx, read, after)
		if err == nil {
			err = w.follow(ctx, entry)
		}
		if err == nil || errors.Is(err, errNoChange) {
			read, failures = err != nil, 0
			after = entry.Revision
			continue
		}
		if ctx.Err() != nil {
			break
		}
		w.log.Warn("configuration head cannot be followed", "error", err, "failures", failures+1)
		_ = sleep(ctx, watchDelay(failures))
		read, failures = true, failures+1
	}
	return ctx.Err()
}

func watchDelay(failures int) time.Duration {
	delay := maxWatchBackoff
	if failures < 5 {
		delay = min(watchBackoff<<failures, maxWatchBackoff)
	}
	return delay/2 + rand.N(delay/2)
}

// errNoChange says that the watch ended without a change.
var errNoChange = errors.New("the head has not changed")

// next reads the head, or waits until it has a store revision above after.
func (w *Watcher) next(ctx context.Context, read bool, after uint64) (cloud.Entry, error) {
	if read {
		return w.storage.kv.Get(ctx, HeadKey)
	}
	interval := headReadInterval/2 + rand.N(headReadInterval/2)
	watchCtx, cancel := context.WithTimeout(ctx, interval)
	defer cancel()
	entry, err := w.storage.kv.Watch(watchCtx, HeadKey, after)
	if err != nil && ctx.Err() == nil && watchCtx.Err() != nil {
		return cloud.Entry{Revision: after}, errNoChange
	}
	return entry, err
}

// follow brings the replica to the head, or the head to the replica.
func (w *Watcher) follow(ctx context.Context, entry cloud.Entry) error {
	head, err := decodeHead(entry)
	if err != nil {
		return err
	}
	local := w.replica.state.Load()
	if head.Revision < local.config.revision || diverged(local, head) {
		return w.repair(ctx)
	}
	return w.load(ctx, head)
}

func (w *Watcher) load(ctx context.Context, head *wire.ConfigHead) error {
	config, err := w.storage.materialise(ctx, head, w.replica.state.Load())
	if err != nil {
		return err
	}
	w.replica.adopt(config, head.Edits)
	return nil
}

// repair writes the replica back if the head is older. The replica is taken
// before the head is read, because the replica may advance meanwhile.
func (w *Watcher) repair(ctx context.Context) error {
	local := w.replica.state.Load()
	head, stored, err := w.storage.readHead(ctx)
	if err != nil {
		return err
	}
	if known := w.replica.known(); known > max(head.Revision, local.config.revision) {
		return &StaleStoreError{Head: head.Revision, Known: known}
	}
	if diverged(local, head) {
		return w.reconcile(ctx, local, head, stored)
	}
	if head.Revision >= local.config.revision {
		return w.load(ctx, head)
	}
	return w.restore(ctx, local, head, stored)
}

// restore writes the replica back over an older copy of the same history.
func (w *Watcher) restore(ctx context.Context, local *replicaState, old *wire.ConfigHead, stored uint64) error {
	w.log.Warn("the store holds an older configuration; the replica is written back",
		"store_revision", old.Revision, "revision", local.config.revision)
	return w.replaceHead(ctx, local.config, recentEdits(local.log, keptHeadEdits), stored)
}

// reconcile joins two histories: an editor that lagged has committed to an
// older copy of the store, so that revisions above a common one stand for
// different edits. The edits of the shorter history are appended to the
// longer one. The snapshot takes the next revision, which no edit creates, so
// that no replica of either history can continue with edits and every one
// loads a snapshot.
func (w *Watcher) reconcile(ctx context.Context, local *replicaState, head *wire.ConfigHead, stored uint64) error {
	config, foreign := local.config, lacking(local, head.Edits)
	if head.Revision >= local.config.revision {
		var err error
		if config, err = w.storage.materialise(ctx, head, &replicaState{config: &Config{}}); err != nil {
			return err
		}
		foreign = lacking(&replicaState{config: config, log: head.Edits}, local.log)
	}
	w.log.Error("the store and the replica hold different histories; they are joined",
		"store_revision", head.Revision, "revision", local.config.revision, "edits", len(foreign))
	joined := *config
	joined.revision = max(head.Revision, local.config.revision) + 1
	next, edits := w.rebase(&joined, foreign)
	return w.replaceHeadWith(ctx, &joined, next, edits, stored)
}

func (w *Watcher) replaceHead(ctx context.Context, config *Config, edits []*wire.Edit, stored uint64) error {
	return w.replaceHeadWith(ctx, config, config, edits, stored)
}

// replaceHeadWith writes base as a snapshot and a head that leads from it to
// config by edits.
func (w *Watcher) replaceHeadWith(ctx context.Context, base, config *Config, edits []*wire.Edit, stored uint64) error {
	chunks, err := w.storage.writeSnapshot(ctx, base)
	if err != nil {
		return err
	}
	head := &wire.ConfigHead{Revision: config.revision, BaseRevision: base.revision, BaseChunks: chunks, Edits: edits}
	value, err := proto.Marshal(head)
	if err != nil {
		return fmt.Errorf("encode the configuration head: %w", err)
	}
	if _, err := w.storage.kv.Put(ctx, HeadKey, value, stored, 0); err != nil {
		return fmt.Errorf("write back the configuration: %w", err)
	}
	w.replica.adopt(config, head.Edits)
	return nil
}

// diverged reports whether the head holds an edit that the replica, which has
// that edit's revision, does not contain.
func diverged(local *replicaState, head *wire.ConfigHead) bool {
	return len(lacking(local, head.Edits)) > 0
}

// lacking returns the edits, from the first one that local does not contain,
// whose id is not in local's log. It returns nil if all edits up to local's
// revision are contained.
func lacking(local *replicaState, edits []*wire.Edit) []*wire.Edit {
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

// contradicts reports whether a configuration of a higher revision cannot
// contain the edit, because an item that the edit set has an older revision.
func contradicts(config *Config, e *wire.Edit) bool {
	for _, change := range e.Changes {
		if item, ok := config.Item(change.Key); ok && item.Revision < e.Revision {
			return true
		}
	}
	return false
}

// rebase appends foreign edits to a configuration. An edit whose items were
// changed in both histories cannot be kept and is logged.
func (w *Watcher) rebase(config *Config, foreign []*wire.Edit) (*Config, []*wire.Edit) {
	var edits []*wire.Edit
	moved := map[uint64]uint64{} // new revision of a foreign edit
	for _, e := range foreign {
		copied := proto.Clone(e).(*wire.Edit)
		copied.Revision = config.revision + 1
		next, err := rebaseEdit(config, copied, moved)
		if err != nil {
			w.log.Error("an edit accepted on an older copy of the store conflicts and is lost",
				"edit", e.Id, "operator", e.Operator, "error", err)
			continue
		}
		moved[e.Revision] = copied.Revision
		config, edits = next, append(edits, copied)
	}
	return config, edits
}

func rebaseEdit(config *Config, e *wire.Edit, moved map[uint64]uint64) (*Config, error) {
	for _, change := range e.Changes {
		if revision, ok := moved[change.ExpectedRevision]; ok {
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
