package ingress

import (
	"bytes"
	"strconv"
)

// maxEventBytes bounds the memory for an event whose end has not been received.
const maxEventBytes = 1 << 20

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// eventBuffer splits a stream of server-sent events into events.
type eventBuffer struct {
	data []byte // received and not yet returned by next
	// searched is the length of the prefix of data that contains no end of an
	// event, so that a long event is searched only once.
	searched int
	// count is the number of events that next has returned.
	count int
}

// add appends bytes of the stream.
func (b *eventBuffer) add(p []byte) { b.data = append(b.data, p...) }

// next returns the next complete event with its empty line, or nil. The slice
// is valid until the next call of add.
func (b *eventBuffer) next() []byte {
	start := max(b.searched-len(eventEnd)+1, 0)
	i := bytes.Index(b.data[start:], eventEnd)
	if i < 0 {
		b.searched = len(b.data)
		return nil
	}
	end := start + i + len(eventEnd)
	event := b.data[:end]
	b.data, b.searched = b.data[end:], 0
	b.count++
	return event
}

// rest returns the bytes after the last complete event.
func (b *eventBuffer) rest() []byte { return b.data }

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
