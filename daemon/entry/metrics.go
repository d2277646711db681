package entry

import (
	"context"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"camphorwick.dev/api/outcome"
)

// firstTokenBounds are histogram bounds in seconds around the target of 0.52 s
// for the time to first token.
var firstTokenBounds = []float64{0.05, 0.1, 0.2, 0.35, 0.52, 0.8, 1.5, 3, 6, 15, 30, 60, 300, 900}

// interTokenBounds are histogram bounds in seconds around the target of 32 ms
// between tokens.
var interTokenBounds = []float64{0.002, 0.005, 0.01, 0.016, 0.024, 0.032, 0.048, 0.064, 0.1, 0.25, 0.5, 1, 5}

// metrics holds the instruments of an entry.
type metrics struct {
	timeToFirstToken metric.Float64Histogram
	interToken       metric.Float64Histogram
	outcomes         metric.Int64Counter
	retries          metric.Int64Counter
}

func newMetrics(meter metric.Meter) (*metrics, error) {
	m := &metrics{}
	var err error
	if m.timeToFirstToken, err = meter.Float64Histogram("camphorwick.first_token", metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(firstTokenBounds...)); err != nil {
		return nil, fmt.Errorf("create histogram: %w", err)
	}
	if m.interToken, err = meter.Float64Histogram("camphorwick.inter_token", metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(interTokenBounds...)); err != nil {
		return nil, fmt.Errorf("create histogram: %w", err)
	}
	if m.outcomes, err = meter.Int64Counter("camphorwick.requests"); err != nil {
		return nil, fmt.Errorf("create counter: %w", err)
	}
	if m.retries, err = meter.Int64Counter("camphorwick.retries"); err != nil {
		return nil, fmt.Errorf("create counter: %w", err)
	}
	return m, nil
}

func bandAttribute(c *completion) metric.MeasurementOption {
	return metric.WithAttributes(attribute.String("band", c.band.String()))
}

func (m *metrics) firstToken(c *completion) {
	m.timeToFirstToken.Record(context.Background(), time.Since(c.exchange.started).Seconds(), bandAttribute(c))
}

// nextTokens records the mean time per token of tokens that arrived together,
// the given time after the previous ones.
func (m *metrics) nextTokens(c *completion, since time.Duration, tokens int) {
	m.interToken.Record(context.Background(), since.Seconds()/float64(tokens), bandAttribute(c))
}

func (m *metrics) ended(c *completion, o outcome.Outcome) {
	m.outcomes.Add(context.Background(), 1, bandAttribute(c), metric.WithAttributes(attribute.String("outcome", string(o))))
}

// callEnded counts a service call.
func (m *metrics) callEnded(c *serviceCall, o outcome.Outcome) {
	m.outcomes.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", c.request.Service),
		attribute.Bool("idempotent", c.request.Idempotent), attribute.String("outcome", string(o))))
}

// refused counts a request that was refused before it was sent anywhere.
func (m *metrics) refused(err error) {
	m.outcomes.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("outcome", string(outcome.NotRun)), attribute.String("code", string(outcome.CodeOf(err)))))
}

func (m *metrics) retried(c *completion) { m.retries.Add(context.Background(), 1, bandAttribute(c)) }
