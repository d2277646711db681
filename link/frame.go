package link

import (
	"bufio"
	"fmt"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// Size limits of messages in bytes, checked before memory is allocated:
// MaxHelloBytes for Hello, the first message of a session, MaxControlBytes for a
// message of a control session and MaxDataBytes for one of a data session.
const (
	MaxHelloBytes   = 64 << 10
	MaxControlBytes = 2 << 20
	MaxDataBytes    = 16 << 20
)

// writeMessage writes a length-delimited message with a single Write, which
// yamux sends as one frame.
func writeMessage(w io.Writer, m proto.Message) error {
	buffer, err := encodeMessage(m)
	if err != nil {
		return err
	}
	if _, err := w.Write(buffer); err != nil {
		return fmt.Errorf("write message: %w", err)
	}
	return nil
}

// encodeMessage returns a message with its length as a varint prefix.
func encodeMessage(m proto.Message) ([]byte, error) {
	size := proto.Size(m)
	buffer := make([]byte, 0, size+protowire.SizeVarint(uint64(size)))
	buffer = protowire.AppendVarint(buffer, uint64(size))
	buffer, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buffer, m)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	return buffer, nil
}

// readMessage reads a length-delimited message of at most maxBytes bytes.
func readMessage(r *bufio.Reader, m proto.Message, maxBytes int) error {
	options := protodelim.UnmarshalOptions{MaxSize: int64(maxBytes)}
	if err := options.UnmarshalFrom(r, m); err != nil {
		return fmt.Errorf("read message: %w", err)
	}
	return nil
}
