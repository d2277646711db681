package entry

import (
	"context"
	"time"

	"camphorwick.dev/api/wire"
)

// queryAgent asks one agent for the state of an order.
func (e *Entry) queryAgent(ctx context.Context, vm string, query *wire.OrderQuery) (*wire.OrderState, error) {
	ctx, cancel := context.WithTimeout(ctx, agentQueryTimeout)
	defer cancel()
	stream, lost, err := e.member.Node.Open(ctx, vm)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	if err := send(ctx, lost, stream, &wire.StreamHeader{Body: &wire.StreamHeader_OrderQuery{OrderQuery: query}}); err != nil {
		return nil, err
	}
	stream.SetReadDeadline(time.Now().Add(agentQueryTimeout))
	answer := &wire.AgentMessage{}
	if err := stream.Read(answer); err != nil {
		return nil, err
	}
	if answer.GetOrder() == nil {
		return nil, errStreamEnded
	}
	return answer.GetOrder(), nil
}
