package ledger

import (
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"camphorwick.dev/api/wire"
	"camphorwick.dev/cloud"
)

// Field numbers of wire.OrderShard and wire.OrderRecord.
const (
	shardRecords  = 1
	recordKeyHash = 1
)

// snapshot is one revision of a shard value, split into the encoded fields of
// wire.OrderShard. Records stay encoded, so that a commit copies unchanged
// records instead of encoding thousands of messages again.
type snapshot struct {
	revision uint64
	frames   [][]byte
	index    map[keyHash]int // position in frames
	size     int             // of all frames in bytes
}

func parseSnapshot(stored cloud.Record) (*snapshot, error) {
	s := &snapshot{revision: stored.Revision, size: len(stored.Value), index: map[keyHash]int{}}
	for rest := stored.Value; len(rest) > 0; {
		number, kind, tagSize := protowire.ConsumeTag(rest)
		if tagSize < 0 {
			return nil, fmt.Errorf("decode order shard: %w", protowire.ParseError(tagSize))
		}
		size := protowire.ConsumeFieldValue(number, kind, rest[tagSize:])
		if size < 0 {
			return nil, fmt.Errorf("decode order shard: %w", protowire.ParseError(size))
		}
		frame := rest[: tagSize+size : tagSize+size]
		if number == shardRecords && kind == protowire.BytesType {
			hash, err := hashOfFrame(frame)
			if err != nil {
				return nil, err
			}
			s.index[hash] = len(s.frames)
		}
		s.frames = append(s.frames, frame)
		rest = rest[tagSize+size:]
	}
	return s, nil
}

// payload returns the encoded record inside a frame.
func payload(frame []byte) []byte {
	_, _, n := protowire.ConsumeTag(frame)
	content, _ := protowire.ConsumeBytes(frame[n:])
	return content
}

func hashOfFrame(frame []byte) (keyHash, error) {
	for rest := payload(frame); len(rest) > 0; {
		number, kind, tagSize := protowire.ConsumeTag(rest)
		if tagSize < 0 {
			return keyHash{}, fmt.Errorf("decode order record: %w", protowire.ParseError(tagSize))
		}
		size := protowire.ConsumeFieldValue(number, kind, rest[tagSize:])
		if size < 0 {
			return keyHash{}, fmt.Errorf("decode order record: %w", protowire.ParseError(size))
		}
		if number == recordKeyHash && kind == protowire.BytesType {
			if value, _ := protowire.ConsumeBytes(rest[tagSize:]); len(value) == hashBytes {
				return keyHash(value), nil
			}
		}
		rest = rest[tagSize+size:]
	}
	return keyHash{}, fmt.Errorf("decode order record: no key hash of %d bytes", hashBytes)
}

func encodeFrame(record *wire.OrderRecord) ([]byte, error) {
	size := proto.Size(record)
	frame := make([]byte, 0, size+protowire.SizeTag(shardRecords)+protowire.SizeVarint(uint64(size)))
	frame = protowire.AppendTag(frame, shardRecords, protowire.BytesType)
	frame = protowire.AppendVarint(frame, uint64(size))
	frame, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(frame, record)
	if err != nil {
		return nil, fmt.Errorf("encode order record: %w", err)
	}
	return frame, nil
}

// find returns the record of a key, or nil if there is none.
func (s *snapshot) find(hash keyHash) (*wire.OrderRecord, error) {
	i, ok := s.index[hash]
	if !ok {
		return nil, nil
	}
	record := &wire.OrderRecord{}
	if err := proto.Unmarshal(payload(s.frames[i]), record); err != nil {
		return nil, fmt.Errorf("decode order record: %w", err)
	}
	return record, nil
}

// frameSize returns the encoded size of a key's record; 0 if there is none.
func (s *snapshot) frameSize(hash keyHash) int {
	if i, ok := s.index[hash]; ok {
		return len(s.frames[i])
	}
	return 0
}

// encode returns the value with changes applied; size is its length in bytes.
func (s *snapshot) encode(changes map[keyHash][]byte, size int) []byte {
	value := make([]byte, 0, size)
	replaced := make(map[int][]byte, len(changes))
	var added [][]byte
	for hash, frame := range changes {
		if i, ok := s.index[hash]; ok {
			replaced[i] = frame
		} else {
			added = append(added, frame)
		}
	}
	for i, frame := range s.frames {
		if changed, ok := replaced[i]; ok {
			frame = changed
		}
		value = append(value, frame...)
	}
	for _, frame := range added {
		value = append(value, frame...)
	}
	return value
}

// apply updates the snapshot with changes that the store committed as revision.
func (s *snapshot) apply(changes map[keyHash][]byte, revision uint64, size int) {
	for hash, frame := range changes {
		if i, ok := s.index[hash]; ok {
			s.frames[i] = frame
		} else {
			s.index[hash] = len(s.frames)
			s.frames = append(s.frames, frame)
		}
	}
	s.revision, s.size = revision, size
}
