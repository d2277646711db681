package node

import (
	"context"
	"math"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"camphorwick.dev/gateway/schedule"
)

// observeFirstTokens records how far off the estimates of first tokens are, by the engines'
// model and with what was learned of each engine. The choice of engines uses the model; the
// metric shows what the other would be worth.
func (n *Node) observeFirstTokens() error {
	deviation, err := n.options.Meter.Float64Histogram("gateway.first_token_deviation", metric.WithDescription("Absolute logarithm of the actual by the estimated time to the first token of a prompt on one engine, by estimate"),
		metric.WithExplicitBucketBoundaries(0.1, 0.2, 0.4, 0.7, 1.1, 1.6, 2.3))
	if err != nil {
		return err
	}
	byModel := metric.WithAttributeSet(attribute.NewSet(attribute.String("estimate", "model")))
	learned := metric.WithAttributeSet(attribute.NewSet(attribute.String("estimate", "learned")))
	n.schedule.OnFirstToken = func(t schedule.FirstToken) {
		deviation.Record(context.Background(), math.Abs(math.Log(float64(t.Actual)/float64(t.Expected))), byModel)
		deviation.Record(context.Background(), math.Abs(math.Log(float64(t.Actual)/float64(t.Learned))), learned)
	}
	return nil
}
