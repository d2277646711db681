package fleetconf

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"camphorwick.dev/api/wire"
	"camphorwick.dev/cloud"
	"google.golang.org/protobuf/proto"
)

// Keys in the store. HeadKey is the key of the head, which holds the latest
// edits and a reference to the base snapshot. SnapshotPrefix starts the keys of
// the snapshots, which are split into chunks.
const (
	HeadKey        = "config/head"
	SnapshotPrefix = "config/snapshot/"
)

// fullChunkBytes is the size at which a snapshot chunk gets no further items. The
// last item adds at most MaxItemBytes, so that the value stays below
// cloud.MaxValueBytes.
const fullChunkBytes = 768 << 10

// MissingSnapshotError reports that a chunk of the base snapshot, to which a head
// refers, does not exist. Either the head has changed since it was read and the
// snapshot was deleted, or the store was only partly restored from a copy.
type MissingSnapshotError struct {
	Key string
}

func (e *MissingSnapshotError) Error() string {
	return fmt.Sprintf("snapshot chunk %q does not exist", e.Key)
}

// CorruptValueError reports that a value in the store cannot be decoded.
type CorruptValueError struct {
	Key   string
	Cause error
}

func (e *CorruptValueError) Error() string {
	return fmt.Sprintf("decode value of key %q: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *CorruptValueError) Unwrap() error { return e.Cause }

// DivergedError reports that the head and the replica hold different edits with
// the same revision. A Watcher merges the two series of edits.
type DivergedError struct {
	Head, Replica uint64 // revision of the configuration in each
}

func (e *DivergedError) Error() string {
	return fmt.Sprintf("configuration head at revision %d and replica at revision %d have diverged", e.Head, e.Replica)
}

// storage reads and writes the configuration in the store.
type storage struct {
	kv cloud.KV
}

func chunkKey(revision uint64, chunk int) string {
	return fmt.Sprintf("%s%020d/%04d", SnapshotPrefix, revision, chunk)
}

func decodeHead(record cloud.Record) (*wire.ConfigHead, error) {
	head := &wire.ConfigHead{}
	if err := proto.Unmarshal(record.Value, head); err != nil {
		return nil, &CorruptValueError{Key: HeadKey, Cause: err}
	}
	return head, nil
}

// readHead returns the head and its store revision, which the store assigns to each
// write. The revision of the configuration is part of the head. If the head does not
// exist, readHead returns an empty head and 0.
func (s storage) readHead(ctx context.Context) (*wire.ConfigHead, uint64, error) {
	record, err := s.kv.Get(ctx, HeadKey)
	if err != nil {
		return nil, 0, fmt.Errorf("read configuration head: %w", err)
	}
	head, err := decodeHead(record)
	return head, record.Revision, err
}

// loadConfig returns the configuration of the head. It applies the edits of the
// head to local, or to the base snapshot if revisions are missing between local and
// these edits. It fails with *DivergedError if head and local have diverged.
func (s storage) loadConfig(ctx context.Context, head *wire.ConfigHead, local *replicaState) (*Config, error) {
	if diverged(local, head) {
		return nil, &DivergedError{Head: head.Revision, Replica: local.config.revision}
	}
	config := local.config
	if config.revision < firstRevision(head)-1 { // at least one revision is missing in between
		var err error
		if config, err = s.loadBaseSnapshot(ctx, head, config); err != nil {
			return nil, err
		}
	}
	for _, e := range head.Edits {
		if e.Revision <= config.revision {
			continue
		}
		next, err := config.apply(e)
		if err != nil {
			return nil, fmt.Errorf("apply configuration head of revision %d: %w", head.Revision, err)
		}
		config = next
	}
	if config.revision != head.Revision {
		return nil, &MissingRevisionsError{Have: config.revision, Got: head.Revision}
	}
	return config, nil
}

// firstRevision returns the revision of the first edit in the head, or the next
// revision if the head has no edits.
func firstRevision(head *wire.ConfigHead) uint64 {
	if len(head.Edits) == 0 {
		return head.Revision + 1
	}
	return head.Edits[0].Revision
}

func (s storage) loadBaseSnapshot(ctx context.Context, head *wire.ConfigHead, previous *Config) (*Config, error) {
	snapshot := &wire.ConfigSnapshot{Revision: head.BaseRevision}
	for i := range int(head.BaseChunks) {
		key := chunkKey(head.BaseRevision, i)
		record, err := s.kv.Get(ctx, key)
		if err != nil {
			return nil, fmt.Errorf("read base snapshot: %w", err)
		}
		if record.Revision == 0 {
			return nil, &MissingSnapshotError{Key: key}
		}
		chunk := &wire.ConfigSnapshot{}
		if err := proto.Unmarshal(record.Value, chunk); err != nil {
			return nil, &CorruptValueError{Key: key, Cause: err}
		}
		snapshot.Items = append(snapshot.Items, chunk.Items...)
	}
	return fromSnapshot(snapshot, previous)
}

// writeSnapshot writes the chunks of a configuration, which must happen before a
// head refers to them, and returns their number. All processes write the same
// content for a revision, so an identical existing chunk is kept. A chunk with
// other content was written before the store was restored from an older copy.
// Since then another edit has got the same revision, so the chunk is replaced.
func (s storage) writeSnapshot(ctx context.Context, config *Config) (uint32, error) {
	chunks := splitIntoChunks(config.Snapshot())
	for i, chunk := range chunks {
		value, err := proto.MarshalOptions{Deterministic: true}.Marshal(chunk)
		if err != nil {
			return 0, fmt.Errorf("encode snapshot of revision %d: %w", config.revision, err)
		}
		if err := s.writeChunk(ctx, chunkKey(config.revision, i), value); err != nil {
			return 0, fmt.Errorf("write snapshot of revision %d: %w", config.revision, err)
		}
	}
	return uint32(len(chunks)), nil
}

func (s storage) writeChunk(ctx context.Context, key string, value []byte) error {
	_, err := s.kv.Put(ctx, key, value, 0, 0) // the key must not exist; without a lease
	if err == nil || !isConflictOrUncertain(err) {
		return err
	}
	record, readErr := s.kv.Get(ctx, key)
	if readErr != nil {
		return readErr
	}
	if bytes.Equal(record.Value, value) && record.Revision != 0 {
		return nil
	}
	_, err = s.kv.Put(ctx, key, value, record.Revision, 0)
	return err
}

func isConflictOrUncertain(err error) bool {
	var conflict *cloud.ConflictError
	var uncertain *cloud.UncertainError
	return errors.As(err, &conflict) || errors.As(err, &uncertain)
}

func splitIntoChunks(snapshot *wire.ConfigSnapshot) []*wire.ConfigSnapshot {
	var chunks []*wire.ConfigSnapshot
	size := fullChunkBytes // so that the first item starts a chunk
	for _, item := range snapshot.Items {
		if size >= fullChunkBytes {
			chunks = append(chunks, &wire.ConfigSnapshot{Revision: snapshot.Revision})
			size = 0
		}
		last := chunks[len(chunks)-1]
		last.Items = append(last.Items, item)
		size += len(item.Key) + len(item.Value) + itemOverheadBytes
	}
	return chunks
}

// deleteSnapshots deletes the snapshots of revisions below firstKept. A process that
// is still reading one finds a chunk missing and reads the head again. What could
// not be deleted is tried again after the next snapshot.
func (s storage) deleteSnapshots(ctx context.Context, firstKept uint64) error {
	keys, err := s.kv.List(ctx, SnapshotPrefix)
	if err != nil {
		return fmt.Errorf("list snapshots: %w", err)
	}
	var errs []error
	for _, key := range keys {
		number, _, _ := strings.Cut(strings.TrimPrefix(key, SnapshotPrefix), "/")
		if revision, err := strconv.ParseUint(number, 10, 64); err != nil || revision >= firstKept {
			continue
		}
		record, err := s.kv.Get(ctx, key)
		if err == nil && record.Revision > 0 { // otherwise another editor has deleted it
			err = s.kv.Delete(ctx, key, record.Revision)
		}
		if err != nil {
			errs = append(errs, fmt.Errorf("delete snapshot %q: %w", key, err))
		}
	}
	return errors.Join(errs...)
}
