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

// Keys in the store.
const (
	HeadKey        = "config/head"
	SnapshotPrefix = "config/snapshot/"
)

// fullChunkBytes is the size at which a snapshot chunk gets no further items. The
// last item adds at most MaxItemBytes, so that the value stays below
// cloud.MaxValueBytes.
const fullChunkBytes = 768 << 10

// MissingSnapshotError reports that a chunk of a base snapshot does not exist: the
// head has changed since it was read, or the store was only partly restored.
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
// the same revision. A watcher merges the two histories.
type DivergedError struct {
	Head, Replica uint64
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

func decodeHead(entry cloud.Entry) (*wire.ConfigHead, error) {
	head := &wire.ConfigHead{}
	if err := proto.Unmarshal(entry.Value, head); err != nil {
		return nil, &CorruptValueError{Key: HeadKey, Cause: err}
	}
	return head, nil
}

// readHead returns the head and its store revision. If the head does not exist, it
// returns an empty head and 0.
func (s storage) readHead(ctx context.Context) (*wire.ConfigHead, uint64, error) {
	entry, err := s.kv.Get(ctx, HeadKey)
	if err != nil {
		return nil, 0, fmt.Errorf("read configuration head: %w", err)
	}
	head, err := decodeHead(entry)
	return head, entry.Revision, err
}

// materialise returns the configuration of the head. It starts from local if the
// edits of the head continue it, else from the base snapshot. It fails with
// *DivergedError if head and local have diverged.
func (s storage) materialise(ctx context.Context, head *wire.ConfigHead, local *replicaState) (*Config, error) {
	if diverged(local, head) {
		return nil, &DivergedError{Head: head.Revision, Replica: local.config.revision}
	}
	config := local.config
	if config.revision < firstRevision(head)-1 {
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

func (s storage) loadBaseSnapshot(ctx context.Context, head *wire.ConfigHead, local *Config) (*Config, error) {
	snapshot := &wire.ConfigSnapshot{Revision: head.BaseRevision}
	for i := range int(head.BaseChunks) {
		key := chunkKey(head.BaseRevision, i)
		entry, err := s.kv.Get(ctx, key)
		if err != nil {
			return nil, fmt.Errorf("read base snapshot: %w", err)
		}
		if entry.Revision == 0 {
			return nil, &MissingSnapshotError{Key: key}
		}
		chunk := &wire.ConfigSnapshot{}
		if err := proto.Unmarshal(entry.Value, chunk); err != nil {
			return nil, &CorruptValueError{Key: key, Cause: err}
		}
		snapshot.Items = append(snapshot.Items, chunk.Items...)
	}
	return fromSnapshot(snapshot, local)
}

// writeSnapshot writes the chunks of a configuration, which must happen before a
// head refers to them, and returns their number. All processes write the same
// content for a revision, so an identical existing chunk is kept. A chunk with
// other content belongs to a history that was discarded when the store was
// restored, and is replaced.
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
	_, err := s.kv.Put(ctx, key, value, 0, 0)
	if err == nil || !mayExist(err) {
		return err
	}
	entry, readErr := s.kv.Get(ctx, key)
	if readErr != nil {
		return readErr
	}
	if bytes.Equal(entry.Value, value) && entry.Revision != 0 {
		return nil
	}
	_, err = s.kv.Put(ctx, key, value, entry.Revision, 0)
	return err
}

func mayExist(err error) bool {
	var conflict *cloud.ConflictError
	var uncertain *cloud.UncertainError
	return errors.As(err, &conflict) || errors.As(err, &uncertain)
}

func splitIntoChunks(snapshot *wire.ConfigSnapshot) []*wire.ConfigSnapshot {
	var chunks []*wire.ConfigSnapshot
	size := fullChunkBytes
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

// deleteSnapshots deletes the snapshots of revisions below keep. A process that is
// still reading one finds a chunk missing and reads the head again. Errors are
// ignored, because the deletion is retried after the next snapshot.
func (s storage) deleteSnapshots(ctx context.Context, keep uint64) {
	keys, err := s.kv.List(ctx, SnapshotPrefix)
	if err != nil {
		return
	}
	for _, key := range keys {
		number, _, _ := strings.Cut(strings.TrimPrefix(key, SnapshotPrefix), "/")
		if revision, err := strconv.ParseUint(number, 10, 64); err != nil || revision >= keep {
			continue
		}
		entry, err := s.kv.Get(ctx, key)
		if err != nil {
			return
		}
		_ = s.kv.Delete(ctx, key, entry.Revision)
	}
}
