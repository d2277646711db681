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

// chunkBytes bounds the items of one snapshot value. With one item of at most
// MaxItemBytes above it, a value stays below cloud.MaxValueBytes.
const chunkBytes = 768 << 10

// MissingSnapshotError says that a chunk of a base snapshot is absent: the
// head has moved on since it was read, or the store was restored in part.
type MissingSnapshotError struct {
	Key string
}

func (e *MissingSnapshotError) Error() string {
	return fmt.Sprintf("snapshot value %q is absent", e.Key)
}

// CorruptValueError says that a value in the store cannot be decoded.
type CorruptValueError struct {
	Key   string
	Cause error
}

func (e *CorruptValueError) Error() string {
	return fmt.Sprintf("value of key %q cannot be decoded: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *CorruptValueError) Unwrap() error { return e.Cause }

// DivergedError says that one revision stands for different edits in the head
// and in the replica. A watcher joins the two histories.
type DivergedError struct {
	Head, Replica uint64
}

func (e *DivergedError) Error() string {
	return fmt.Sprintf("the head of revision %d and the replica of revision %d hold different histories", e.Head, e.Replica)
}

// storage reads and writes the configuration's values.
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

// readHead returns the head and its store revision; both are 0 if absent.
func (s storage) readHead(ctx context.Context) (*wire.ConfigHead, uint64, error) {
	entry, err := s.kv.Get(ctx, HeadKey)
	if err != nil {
		return nil, 0, fmt.Errorf("read the configuration head: %w", err)
	}
	head, err := decodeHead(entry)
	return head, entry.Revision, err
}

// materialise returns the configuration of the head. It starts from local
// where the head's edits continue it, else from the base snapshot. It fails
// with *DivergedError if the two belong to different histories.
func (s storage) materialise(ctx context.Context, head *wire.ConfigHead, local *replicaState) (*Config, error) {
	if diverged(local, head) {
		return nil, &DivergedError{Head: head.Revision, Replica: local.config.revision}
	}
	config := local.config
	if config.revision < firstRevision(head)-1 {
		var err error
		if config, err = s.loadBase(ctx, head, config); err != nil {
			return nil, err
		}
	}
	for _, e := range head.Edits {
		if e.Revision <= config.revision {
			continue
		}
		next, err := config.apply(e)
		if err != nil {
			return nil, fmt.Errorf("configuration head of revision %d: %w", head.Revision, err)
		}
		config = next
	}
	if config.revision != head.Revision {
		return nil, &GapError{Have: config.revision, Got: head.Revision}
	}
	return config, nil
}

// firstRevision is the revision of the first edit that the head holds, or the
// next revision if it holds none.
func firstRevision(head *wire.ConfigHead) uint64 {
	if len(head.Edits) == 0 {
		return head.Revision + 1
	}
	return head.Edits[0].Revision
}

func (s storage) loadBase(ctx context.Context, head *wire.ConfigHead, local *Config) (*Config, error) {
	whole := &wire.ConfigSnapshot{Revision: head.BaseRevision}
	for i := range int(head.BaseChunks) {
		key := chunkKey(head.BaseRevision, i)
		entry, err := s.kv.Get(ctx, key)
		if err != nil {
			return nil, fmt.Errorf("read the base snapshot: %w", err)
		}
		if entry.Revision == 0 {
			return nil, &MissingSnapshotError{Key: key}
		}
		part := &wire.ConfigSnapshot{}
		if err := proto.Unmarshal(entry.Value, part); err != nil {
			return nil, &CorruptValueError{Key: key, Cause: err}
		}
		whole.Items = append(whole.Items, part.Items...)
	}
	return fromSnapshot(whole, local)
}

// writeSnapshot writes the chunks of a configuration before a head refers to
// them, and returns their number. The content of a revision is the same
// whoever writes it, so chunks that another process wrote are kept; a chunk
// with other content was left by a history that a restore of the store has
// ended, and is replaced.
func (s storage) writeSnapshot(ctx context.Context, config *Config) (uint32, error) {
	chunks := split(config.Snapshot())
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

func split(snapshot *wire.ConfigSnapshot) []*wire.ConfigSnapshot {
	var chunks []*wire.ConfigSnapshot
	size := chunkBytes
	for _, item := range snapshot.Items {
		if size >= chunkBytes {
			chunks = append(chunks, &wire.ConfigSnapshot{Revision: snapshot.Revision})
			size = 0
		}
		last := chunks[len(chunks)-1]
		last.Items = append(last.Items, item)
		size += len(item.Key) + len(item.Value) + itemOverheadBytes
	}
	return chunks
}

// deleteSnapshots removes snapshots of revisions below keep. A process that
// still reads one finds a chunk absent and reads the head again. Failures are
// ignored: the next snapshot repeats the deletion.
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
