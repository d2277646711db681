package entry

import (
	"time"

	"camphorwick.dev/api/wire"
	"camphorwick.dev/link"
)

// queryAgent asks one agent for the state of an order and closes the stream.
func queryAgent(stream *link.Stream, query *wire.OrderQuery) (*wire.OrderState, error) {
	defer stream.Close()
	if err := stream.Write(&wire.StreamHeader{Body: &wire.StreamHeader_OrderQuery{OrderQuery: query}}); err != nil {
		return nil, err
	}
	stream.SetReadDeadline(time.Now().Add(findTimeout))
	answer := &wire.AgentMessage{}
	if err := stream.Read(answer); err != nil {
		return nil, err
	}
	if answer.GetOrder() == nil {
		return nil, errStreamEnded
	}
	return answer.GetOrder(), nil
}
