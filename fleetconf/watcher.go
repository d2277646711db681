package fleetconf

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"camphorwick.dev/api/wire"
	"camphorwick.dev/platform"
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
func NewWatcher(kv platform.KV, replica *Replica, log *slog.Logger) *Watcher {
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
func (w *Watcher) next(ctx context.Context, read bool, after uint64) (platform.Entry, error) {
	if read {
		return w.storage.kv.Get(ctx, HeadKey)
	}
	interval := headReadInterval/2 + rand.N(headReadInterval/2)
	watchCtx, cancel := context.WithTimeout(ctx, interval)
	defer cancel()
	entry, err := w.storage.kv.Watch(watchCtx, HeadKey, after)
	if err != nil && ctx.Err() == nil && watchCtx.Err() != nil {
		return platform.Entry{Revision: after}, errNoChange
	}
	return entry, err
}

// follow brings the replica to the head, or the head to the replica.
func (w *Watcher) follow(ctx context.Context, entry platform.Entry) error {
	head, err := decodeHead(entry)
	if err != nil {
		return err
	}
	if head.Revision < w.replica.Revision() {
		return w.repair(ctx)
	}
	return w.load(ctx, head)
}

func (w *Watcher) load(ctx context.Context, head *wire.ConfigHead) error {
	config, err := w.storage.materialise(ctx, head, w.replica.Config())
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
	if head.Revision >= local.config.revision {
		return w.load(ctx, head)
	}
	if known := w.replica.known(); known > local.config.revision {
		return &StaleStoreError{Head: head.Revision, Known: known}
	}
	return w.restore(ctx, local, head, stored)
}

func (w *Watcher) restore(ctx context.Context, local *replicaState, old *wire.ConfigHead, stored uint64) error {
	config := local.config
	chunks, err := w.storage.writeSnapshot(ctx, config)
	if err != nil {
		return err
	}
	head := &wire.ConfigHead{Revision: config.revision, BaseRevision: config.revision, BaseChunks: chunks,
		Edits: recentEdits(local.log)}
	if foreign := foreignEdits(local, old); len(foreign) > 0 {
		config, head.Edits = w.rebase(config, foreign)
		head.Revision = config.revision
	}
	value, err := proto.Marshal(head)
	if err != nil {
		return fmt.Errorf("encode the configuration head: %w", err)
	}
	if _, err := w.storage.kv.Put(ctx, HeadKey, value, stored, 0); err != nil {
		return fmt.Errorf("write back the configuration: %w", err)
	}
	w.log.Warn("the store held an older configuration; the replica was written back",
		"store_revision", old.Revision, "revision", head.Revision)
	w.replica.adopt(config, head.Edits)
	return nil
}

// foreignEdits returns the edits that were accepted on the older copy, as far
// as the replica's log reaches: those whose id differs at the same revision.
func foreignEdits(local *replicaState, old *wire.ConfigHead) []*wire.Edit {
	known := map[uint64]string{}
	for _, e := range local.log {
		known[e.Revision] = e.Id
	}
	for i, e := range old.Edits {
		if id, ok := known[e.Revision]; ok && id != e.Id {
			return old.Edits[i:]
		}
	}
	return nil
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
