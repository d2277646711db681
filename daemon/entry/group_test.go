package entry

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"camphorwick.dev/api/wire"
)

// Guards against a completion that ends as complete without its text, because an
// agent sent a segment's state that is empty.
func TestSegmentWithoutStateFails(t *testing.T) {
	is := is.New(t)
	m := &groupMember{vm: "vm", messages: make(chan *wire.AgentMessage, 1)}
	m.messages <- &wire.AgentMessage{Body: &wire.AgentMessage_Segment{Segment: &wire.SegmentDone{}}}
	got, state := awaitSegment(context.Background(), context.Background(), m)
	is.Equal(state, nil)
	is.Equal(got.verdict, attemptFailed)
}
