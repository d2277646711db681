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

// maxFrameBytes bounds a write, which yamux sends as one frame. Its receiver sees the
// bytes of a frame at its end, and its sender waits for writeTimeout at most, so that a
// frame has to pass the slowest link in a short time.
const maxFrameBytes = 32 << 10

// writeMessage writes a length-delimited message.
func writeMessage(w io.Writer, m proto.Message) error {
	buffer, err := encodeMessage(m)
	if err != nil {
		return err
	}
	return writeFrames(w, buffer)
}

// writeFrames writes an encoded message in frames of at most maxFrameBytes.
func writeFrames(w io.Writer, buffer []byte) error {
	for len(buffer) > 0 {
		frame := buffer[:min(len(buffer), maxFrameBytes)]
		if _, err := w.Write(frame); err != nil {
			return fmt.Errorf("write message: %w", err)
		}
		buffer = buffer[len(frame):]
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
