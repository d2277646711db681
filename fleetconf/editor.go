package fleetconf

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/api/wire"
	"camphorwick.dev/cloud"
	"google.golang.org/protobuf/proto"
)

const (
	// MaxEditBytes is the maximum total size of the changes of one edit.
	MaxEditBytes = 256 << 10
	// compactHeadBytes is the head size above which a snapshot is written even
	// if the head has few edits. With one more edit the head stays below
	// cloud.MaxValueBytes.
	compactHeadBytes = 512 << 10
	// keptHeadBytes is the maximum total size of the edits that stay in the
	// head after a snapshot.
	keptHeadBytes = 256 << 10
	// commitAttempts is the maximum number of attempts of one Commit. An
	// attempt is retried only after a concurrent edit, an uncertain write or a
	// rate limit.
	commitAttempts = 12
	// commitBackoff is the delay after the first failed attempt. It doubles
	// with each further attempt up to maxCommitBackoff, with jitter.
	commitBackoff    = 5 * time.Millisecond
	maxCommitBackoff = 500 * time.Millisecond
	// cleanupTimeout is the time limit for deleting old snapshots after a
	// commit.
	cleanupTimeout = 2 * time.Second
)

// Editor commits edits to the store. It is safe for concurrent use.
type Editor struct {
	// Log receives failures that do not concern an edit; by default they are not
	// logged.
	Log *slog.Logger

	storage storage
	replica *Replica
	// headEdits is the number of edits in the head at which a snapshot is written,
	// and keptEdits the number that stay in the head then: MaxHeadEdits and
	// keptHeadEdits, or smaller values in tests.
	headEdits, keptEdits int
}

// NewEditor returns an editor that commits edits on top of the replica and
// updates it.
func NewEditor(kv cloud.KV, replica *Replica) *Editor {
	return &Editor{Log: slog.New(slog.DiscardHandler), storage: storage{kv}, replica: replica, headEdits: MaxHeadEdits, keptEdits: keptHeadEdits}
}

// Commit adds an edit to the configuration and returns its revision, or the
// current revision if all its values are in force already. The edit is not
// modified. Edit.Revision should be 0 when an edit is submitted for the first time.
// When it is submitted again, Edit.Revision must be the revision that the operator
// saw the first time.
//
// Errors wrap an *outcome.Error. The edit was not accepted if the code is
// invalid_request (with *ValidationError), edit_conflict (with *ConflictError or
// *ReusedEditError) or store_unavailable. The edit may have been accepted if the
// code is edit_in_doubt (with *InDoubtError); if the chain also contains
// *ExpiredEditError, the store no longer shows whether it was.
func (e *Editor) Commit(ctx context.Context, edit *wire.Edit) (revision uint64, err error) {
	c, err := newCommit(e, edit)
	if err != nil {
		return 0, fmt.Errorf("commit edit %q: %w", edit.GetId(), err)
	}
	revision, err = c.run(ctx)
	if err != nil {
		return 0, fmt.Errorf("commit edit %q: %w", edit.Id, err)
	}
	return revision, nil
}

// commit is the state of one call of Commit.
type commit struct {
	*Editor
	edit *wire.Edit
	// since is the revision that the edit is based on: Edit.Revision if it is
	// submitted again, else the revision of the first head that was read.
	since uint64
	// uncertainRevision is the store revision that the write of uncertainErr
	// expected.
	uncertainRevision uint64
	// uncertainErr is the error of the last write of which it is unknown whether it
	// took or may still take effect; nil if there is no such write.
	uncertainErr error
}

func newCommit(e *Editor, edit *wire.Edit) (*commit, error) {
	canonical, err := canonicalEdit(edit)
	if err != nil {
		return nil, outcome.Wrap(err, outcome.InvalidRequest, "the edit is not valid")
	}
	return &commit{Editor: e, edit: canonical, since: edit.Revision}, nil
}

func (c *commit) run(ctx context.Context) (uint64, error) {
	var err error
	for attempt := range commitAttempts {
		var revision uint64
		if revision, err = c.attempt(ctx); err == nil {
			return revision, nil
		}
		if !retryable(err) {
			return 0, c.classify(err)
		}
		if waitErr := sleep(ctx, retryDelay(err, attempt)); waitErr != nil {
			return 0, c.classify(errors.Join(err, waitErr))
		}
	}
	return 0, c.classify(err)
}

func retryable(err error) bool {
	var rateLimited *cloud.RateLimitedError
	var missing *MissingSnapshotError
	return isConflictOrUncertain(err) || errors.As(err, &rateLimited) || errors.As(err, &missing)
}

func retryDelay(err error, attempt int) time.Duration {
	var rateLimited *cloud.RateLimitedError
	if errors.As(err, &rateLimited) {
		return rateLimited.RetryAfter
	}
	delay := min(commitBackoff<<attempt, maxCommitBackoff)
	return delay/2 + rand.N(delay)
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// classify adds the outcome code. While the effect of a write is uncertain, the
// only correct code is edit_in_doubt.
func (c *commit) classify(err error) error {
	var expired *ExpiredEditError
	if c.uncertainErr != nil || errors.As(err, &expired) {
		uncertainErr := &InDoubtError{EditID: c.edit.Id, Since: c.since, Cause: errors.Join(c.uncertainErr, err)}
		return outcome.Wrap(uncertainErr, outcome.EditInDoubt, "the edit may have been accepted; submit it again with the same id")
	}
	var outcomeErr *outcome.Error
	var rateLimited *cloud.RateLimitedError
	switch {
	case errors.As(err, &outcomeErr):
		return err
	case errors.As(err, &rateLimited):
		return outcome.Wrap(err, outcome.StoreUnavailable, "the edit was not accepted").WithRetryAfter(rateLimited.RetryAfter)
	}
	return outcome.Wrap(err, outcome.StoreUnavailable, "the edit was not accepted")
}

// attempt reads the head, merges the edit and writes the head once.
func (c *commit) attempt(ctx context.Context) (uint64, error) {
	head, storeRevision, err := c.storage.readHead(ctx)
	if err != nil {
		return 0, err
	}
	if knownRevision := c.replica.knownRevision(); head.Revision < knownRevision {
		return 0, &StaleStoreError{Head: head.Revision, Known: knownRevision}
	}
	if revision, found, err := c.findEdit(head); found {
		c.advanceReplica(ctx, head)
		return revision, err
	}
	if err := c.resolveEarlierWrites(head, storeRevision); err != nil {
		return 0, err
	}
	config, err := c.storage.loadConfig(ctx, head, c.replica.state.Load())
	if err != nil {
		return 0, err
	}
	c.replica.adopt(config, head.Edits)
	merged, next, err := c.merge(head, config)
	if err != nil || merged == nil {
		return head.Revision, err
	}
	return c.writeHead(ctx, head, storeRevision, config, next, merged)
}

// advanceReplica updates the replica to the head, so that this process holds every
// edit that it reports as accepted. Errors are ignored.
func (c *commit) advanceReplica(ctx context.Context, head *wire.ConfigHead) {
	if config, err := c.storage.loadConfig(ctx, head, c.replica.state.Load()); err == nil {
		c.replica.adopt(config, head.Edits)
	}
}

// findEdit searches the head for the id of the edit.
func (c *commit) findEdit(head *wire.ConfigHead) (revision uint64, found bool, err error) {
	for _, e := range head.Edits {
		if e.Id != c.edit.Id {
			continue
		}
		c.uncertainErr = nil
		if !sameEdit(c.edit, e) {
			return 0, true, outcome.Wrap(&ReusedEditError{e.Id, e.Revision}, outcome.EditConflict, "the edit id is in use")
		}
		return e.Revision, true, nil
	}
	return 0, false, nil
}

// resolveEarlierWrites determines the effect of earlier writes of the edit from a
// head that does not hold the edit. If the head holds every edit after c.since, no
// earlier write has taken effect. An uncertain write can no longer take effect once
// the store revision of the head differs from the one that the write expected.
func (c *commit) resolveEarlierWrites(head *wire.ConfigHead, storeRevision uint64) error {
	oldest := firstRevision(head)
	if c.since > 0 && c.since+1 < oldest {
		return &ExpiredEditError{EditID: c.edit.Id, Since: c.since, Oldest: oldest}
	}
	if c.since == 0 {
		c.since = head.Revision
	}
	if c.uncertainErr != nil && storeRevision != c.uncertainRevision {
		c.uncertainErr = nil
	}
	return nil
}

// merge checks the edit against the configuration. It returns the edit with only
// those changes that are not in force yet and the resulting configuration, or nil
// if all changes are in force.
func (c *commit) merge(head *wire.ConfigHead, config *Config) (*wire.Edit, *Config, error) {
	merged := &wire.Edit{Id: c.edit.Id, Operator: c.edit.Operator, UnixMs: c.edit.UnixMs, Revision: head.Revision + 1}
	for _, change := range c.edit.Changes {
		var actual uint64
		var value []byte
		if item, ok := config.Item(change.Key); ok {
			actual, value = item.Revision, item.Value
		}
		if bytes.Equal(value, change.Value) {
			continue
		}
		if actual != change.ExpectedRevision {
			return nil, nil, newConflictError(head, change, actual)
		}
		merged.Changes = append(merged.Changes, change)
	}
	if len(merged.Changes) == 0 {
		return nil, nil, nil
	}
	next, err := config.apply(merged)
	if err == nil {
		err = checkReferences(config, next, merged)
	}
	if err != nil {
		return nil, nil, outcome.Wrap(err, outcome.InvalidRequest, "the edit is not valid")
	}
	return merged, next, nil
}

// writeHead appends the merged edit to the head with one compare-and-swap. It
// writes a snapshot first if the head has reached its limits.
func (c *commit) writeHead(ctx context.Context, head *wire.ConfigHead, storeRevision uint64, config, next *Config, merged *wire.Edit) (uint64, error) {
	compacted := len(head.Edits) >= c.headEdits || proto.Size(head) > compactHeadBytes
	previousBase := head.BaseRevision
	if compacted {
		if err := c.compact(ctx, head, config); err != nil {
			return 0, err
		}
	}
	head.Revision = merged.Revision
	head.Edits = append(head.Edits, merged)
	value, err := proto.Marshal(head)
	if err != nil {
		return 0, fmt.Errorf("encode configuration head: %w", err)
	}
	if _, err := c.storage.kv.Put(ctx, HeadKey, value, storeRevision, 0); err != nil {
		c.recordUncertainWrite(err, storeRevision)
		return 0, fmt.Errorf("write configuration head: %w", err)
	}
	c.uncertainErr = nil
	c.replica.adopt(next, head.Edits)
	if compacted {
		c.deleteOldSnapshots(ctx, previousBase)
	}
	return merged.Revision, nil
}

// recordUncertainWrite records a failed write, unless its error guarantees that it
// had no effect. Only the next read of the head shows whether a recorded write took
// effect; a later write that has no effect does not.
func (c *commit) recordUncertainWrite(err error, storeRevision uint64) {
	if !hadNoEffect(err) {
		c.uncertainErr, c.uncertainRevision = err, storeRevision
	}
}

// hadNoEffect reports whether the error of a write guarantees that the write had
// no effect.
func hadNoEffect(err error) bool {
	var conflict *cloud.ConflictError
	var unavailable *cloud.UnavailableError
	var rateLimited *cloud.RateLimitedError
	var tooLarge *cloud.TooLargeError
	return errors.As(err, &conflict) || errors.As(err, &unavailable) || errors.As(err, &rateLimited) || errors.As(err, &tooLarge)
}

// compact writes a snapshot of the configuration of the head, makes it the base of
// the head and drops the oldest edits.
func (c *commit) compact(ctx context.Context, head *wire.ConfigHead, config *Config) error {
	chunks, err := c.storage.writeSnapshot(ctx, config)
	if err != nil {
		return err
	}
	head.BaseRevision, head.BaseChunks = config.revision, chunks
	head.Edits = recentEdits(head.Edits, c.keptEdits)
	return nil
}

// recentEdits returns the newest edits, at most maxEdits with a total size of at
// most keptHeadBytes.
func recentEdits(edits []*wire.Edit, maxEdits int) []*wire.Edit {
	edits = edits[max(0, len(edits)-maxEdits):]
	size := 0
	for i := len(edits) - 1; i >= 0; i-- {
		if size += proto.Size(edits[i]) + editOverheadBytes; size > keptHeadBytes {
			return edits[i+1:]
		}
	}
	return edits
}

// deleteOldSnapshots deletes the snapshots before the previous base, which is kept
// because other processes may still be reading it.
func (c *commit) deleteOldSnapshots(ctx context.Context, previousBase uint64) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
	defer cancel()
	if err := c.storage.deleteSnapshots(ctx, previousBase); err != nil {
		c.Log.Warn("old snapshots not deleted, this is tried again after the next snapshot", "before_revision", previousBase, "error", err.Error())
	}
}
