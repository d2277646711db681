package fleetconf

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/api/wire"
	"camphorwick.dev/cloud"
	"google.golang.org/protobuf/proto"
)

const (
	// MaxEditBytes bounds the changes of one edit.
	MaxEditBytes = 256 << 10
	// compactHeadBytes is the size of a head at which a snapshot is written
	// even if it has few edits. With one more edit the head stays below
	// cloud.MaxValueBytes.
	compactHeadBytes = 512 << 10
	// keptHeadBytes bounds the edits that stay in the head after a snapshot.
	keptHeadBytes = 256 << 10
	// commitAttempts bounds the writes of one Commit. Each attempt fails
	// only if another edit was accepted or a fault occurred meanwhile.
	commitAttempts = 12
	// commitBackoff is the first delay after a collision; it doubles up to
	// maxCommitBackoff, with jitter.
	commitBackoff    = 5 * time.Millisecond
	maxCommitBackoff = 500 * time.Millisecond
	// cleanupTimeout bounds the deletion of old snapshots after a commit.
	cleanupTimeout = 2 * time.Second
)

// Editor commits edits to the store. Safe for concurrent use.
type Editor struct {
	storage storage
	replica *Replica
	// headEdits and keptEdits are MaxHeadEdits and keptHeadEdits.
	headEdits, keptEdits int
}

// NewEditor returns an editor that uses and advances the replica.
func NewEditor(kv cloud.KV, replica *Replica) *Editor {
	return &Editor{storage: storage{kv}, replica: replica, headEdits: MaxHeadEdits, keptEdits: keptHeadEdits}
}

// Commit makes an edit part of the configuration and returns the revision
// that it has, or the current revision if all its values are in force
// already. The edit is not changed. Edit.Revision is the revision that the
// operator saw when the edit was first submitted; it must be set when an edit
// is submitted again, and should be 0 the first time.
//
// Errors contain an *outcome.Error. invalid_request with *ValidationError,
// edit_conflict with *ConflictError or *ReusedEditError, store_unavailable: the
// edit was not accepted. edit_in_doubt with *InDoubtError: the edit may have
// been accepted; with *ExpiredEditError in the chain, the store can no longer
// tell.
func (e *Editor) Commit(ctx context.Context, edit *wire.Edit) (revision uint64, err error) {
	c, err := newCommit(e, edit)
	if err != nil {
		return 0, fmt.Errorf("edit %q: %w", edit.GetId(), err)
	}
	revision, err = c.run(ctx)
	if err != nil {
		return 0, fmt.Errorf("edit %q: %w", edit.Id, err)
	}
	return revision, nil
}

// commit is the state of one call of Commit.
type commit struct {
	*Editor
	edit *wire.Edit
	// since is the revision that the edit is based on, if repeated.
	since uint64
	// doubtful is the store revision that the last write with a lost answer
	// expected, doubt its error; doubt is nil if no write is in doubt.
	doubtful uint64
	doubt    error
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
	var limited *cloud.RateLimitedError
	var missing *MissingSnapshotError
	return mayExist(err) || errors.As(err, &limited) || errors.As(err, &missing)
}

func retryDelay(err error, attempt int) time.Duration {
	var limited *cloud.RateLimitedError
	if errors.As(err, &limited) {
		return limited.RetryAfter
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

// classify adds the code. As long as a write is in doubt, no other statement
// about the edit would be true.
func (c *commit) classify(err error) error {
	var expired *ExpiredEditError
	if c.doubt != nil || errors.As(err, &expired) {
		doubt := &InDoubtError{EditID: c.edit.Id, Since: c.since, Cause: errors.Join(c.doubt, err)}
		return outcome.Wrap(doubt, outcome.EditInDoubt, "the edit may have been accepted; submit it again with the same id")
	}
	var typed *outcome.Error
	var limited *cloud.RateLimitedError
	switch {
	case errors.As(err, &typed):
		return err
	case errors.As(err, &limited):
		return outcome.Wrap(err, outcome.StoreUnavailable, "the edit was not accepted").WithRetryAfter(limited.RetryAfter)
	}
	return outcome.Wrap(err, outcome.StoreUnavailable, "the edit was not accepted")
}

// attempt reads the head, merges the edit and writes the head once.
func (c *commit) attempt(ctx context.Context) (uint64, error) {
	head, stored, err := c.storage.readHead(ctx)
	if err != nil {
		return 0, err
	}
	if known := c.replica.known(); head.Revision < known {
		return 0, &StaleStoreError{Head: head.Revision, Known: known}
	}
	if revision, found, err := c.find(head); found {
		c.advance(ctx, head)
		return revision, err
	}
	if err := c.settle(head, stored); err != nil {
		return 0, err
	}
	config, err := c.storage.materialise(ctx, head, c.replica.state.Load())
	if err != nil {
		return 0, err
	}
	c.replica.adopt(config, head.Edits)
	merged, next, err := c.merge(head, config)
	if err != nil || merged == nil {
		return head.Revision, err
	}
	return c.write(ctx, head, stored, config, next, merged)
}

// advance brings the replica to the head if that succeeds, so that this
// process knows every edit that it reports as accepted.
func (c *commit) advance(ctx context.Context, head *wire.ConfigHead) {
	if config, err := c.storage.materialise(ctx, head, c.replica.state.Load()); err == nil {
		c.replica.adopt(config, head.Edits)
	}
}

// find looks for the edit's id in the head.
func (c *commit) find(head *wire.ConfigHead) (revision uint64, found bool, err error) {
	for _, e := range head.Edits {
		if e.Id != c.edit.Id {
			continue
		}
		c.doubt = nil
		if !sameEdit(c.edit, e) {
			return 0, true, outcome.Wrap(&ReusedEditError{e.Id, e.Revision}, outcome.EditConflict, "the edit id is in use")
		}
		return e.Revision, true, nil
	}
	return 0, false, nil
}

// settle decides what the head, which does not hold the edit, says about
// earlier writes of it. A write in doubt can no longer take effect once the
// head's store revision has passed the one that it expected; it has not taken
// effect if the head still holds every edit since.
func (c *commit) settle(head *wire.ConfigHead, stored uint64) error {
	oldest := firstRevision(head)
	if c.since > 0 && c.since+1 < oldest {
		return &ExpiredEditError{EditID: c.edit.Id, Since: c.since, Oldest: oldest}
	}
	if c.since == 0 {
		c.since = head.Revision
	}
	if c.doubt != nil && stored != c.doubtful {
		c.doubt = nil
	}
	return nil
}

// merge checks the edit against the configuration. It returns the edit with
// the changes that are not in force yet and the configuration after it, or
// nil if all of them are.
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
			return nil, nil, conflict(head, change, actual)
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

// write appends the merged edit to the head by compare-and-swap.
func (c *commit) write(ctx context.Context, head *wire.ConfigHead, stored uint64, config, next *Config, merged *wire.Edit) (uint64, error) {
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
		return 0, fmt.Errorf("encode the configuration head: %w", err)
	}
	if _, err := c.storage.kv.Put(ctx, HeadKey, value, stored, 0); err != nil {
		c.noteDoubt(err, stored)
		return 0, fmt.Errorf("write the configuration head: %w", err)
	}
	c.doubt = nil
	c.replica.adopt(next, head.Edits)
	if compacted {
		c.cleanUp(ctx, previousBase)
	}
	return merged.Revision, nil
}

// noteDoubt remembers a write that may take effect: any failure that does not
// exclude it. A later refusal does not settle an earlier doubt; only the next
// reading of the head does.
func (c *commit) noteDoubt(err error, stored uint64) {
	if !refused(err) {
		c.doubt, c.doubtful = err, stored
	}
}

// refused reports whether a failed write certainly had no effect.
func refused(err error) bool {
	var conflict *cloud.ConflictError
	var unavailable *cloud.UnavailableError
	var limited *cloud.RateLimitedError
	var large *cloud.TooLargeError
	return errors.As(err, &conflict) || errors.As(err, &unavailable) || errors.As(err, &limited) || errors.As(err, &large)
}

// compact writes a snapshot of the head's configuration, moves the head's
// base to it and drops the oldest edits.
func (c *commit) compact(ctx context.Context, head *wire.ConfigHead, config *Config) error {
	chunks, err := c.storage.writeSnapshot(ctx, config)
	if err != nil {
		return err
	}
	head.BaseRevision, head.BaseChunks = config.revision, chunks
	head.Edits = recentEdits(head.Edits, c.keptEdits)
	return nil
}

// recentEdits returns the newest edits, at most so many and keptHeadBytes.
func recentEdits(edits []*wire.Edit, most int) []*wire.Edit {
	edits = edits[max(0, len(edits)-most):]
	size := 0
	for i := len(edits) - 1; i >= 0; i-- {
		if size += proto.Size(edits[i]) + editOverheadBytes; size > keptHeadBytes {
			return edits[i+1:]
		}
	}
	return edits
}

// cleanUp keeps the previous base for processes that are still reading it.
func (c *commit) cleanUp(ctx context.Context, previousBase uint64) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
	defer cancel()
	c.storage.deleteSnapshots(ctx, previousBase)
}
