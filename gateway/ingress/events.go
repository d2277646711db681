package ingress

import (
	"bytes"
	"strconv"
)

// maxEventBytes bounds the memory for an event whose end has not been received.
const maxEventBytes = 1 << 20

var idField = []byte("id:")

// eventBuffer splits a stream of server-sent events into events. Its lines end with
// "\n" or "\r\n". A lone "\r" ends no line, because a cut between the two
// characters of the last line end must not pass for the end of the event.
type eventBuffer struct {
	data []byte // received and not yet returned by next
	// line is where the last line of data begins that is not complete.
	line int
	// searched is the length of the prefix of data after which that line may end,
	// so that a long line is searched only once.
	searched int
	// hasField is set if the lines before line have a field, not only comments.
	hasField bool
	// count is the number of events that next has returned, without comments.
	count int
}

// add appends bytes of the stream.
func (b *eventBuffer) add(p []byte) { b.data = append(b.data, p...) }

// next returns the next complete event with its empty line, or nil. Comments before
// an empty line are returned like an event. The slice is valid until the next call
// of add.
func (b *eventBuffer) next() []byte {
	for {
		i := bytes.IndexByte(b.data[b.searched:], '\n')
		if i < 0 {
			b.searched = len(b.data)
			return nil
		}
		end := b.searched + i + 1
		line := b.data[b.line:end]
		if isEmptyLine(line) {
			return b.take(end)
		}
		b.hasField = b.hasField || isField(line)
		b.line, b.searched = end, end
	}
}

// take removes and returns the event that ends at end.
func (b *eventBuffer) take(end int) []byte {
	event := b.data[:end]
	if b.hasField {
		b.count++
	}
	b.data, b.line, b.searched, b.hasField = b.data[end:], 0, 0, false
	return event
}

func isEmptyLine(line []byte) bool { return line[0] == '\n' || len(line) == 2 && line[0] == '\r' }

// isField reports whether a line is neither empty nor a comment.
func isField(line []byte) bool { return !isEmptyLine(line) && line[0] != ':' }

// rest returns the bytes after the last complete event.
func (b *eventBuffer) rest() []byte { return b.data }

// hasField reports whether an event has a field; comments have none.
func hasField(event []byte) bool {
	for line := range bytes.Lines(event) {
		if isField(line) {
			return true
		}
	}
	return false
}

// eventID returns the numeric id of an event; it returns false if the event has
// none.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, idField)
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}
