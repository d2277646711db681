package agent

import (
	"context"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"camphorwick.dev/api/wire"
	"camphorwick.dev/backend"
)

// latencyBounds are histogram bounds in seconds around the targets of 32 ms
// between tokens and 0.52 s to the first token.
var latencyBounds = []float64{0.005, 0.01, 0.02, 0.032, 0.05, 0.1, 0.2, 0.35, 0.52, 0.8, 1.5, 3, 6, 15, 30, 60, 300, 900}

// metrics holds the instruments of an agent.
type metrics struct {
	queueWait        metric.Float64Histogram
	timeToFirstToken metric.Float64Histogram
	outcomes         metric.Int64Counter
	preemptions      metric.Int64Counter
}

func newMetrics(a *Agent) (*metrics, error) {
	meter := a.telemetry.Meter
	m := &metrics{}
	var err error
	if m.queueWait, err = meter.Float64Histogram("camphorwick.agent.queue.wait", metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(latencyBounds...)); err != nil {
		return nil, fmt.Errorf("create histogram: %w", err)
	}
	if m.timeToFirstToken, err = meter.Float64Histogram("camphorwick.agent.first_token", metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(latencyBounds...)); err != nil {
		return nil, fmt.Errorf("create histogram: %w", err)
	}
	if m.outcomes, err = meter.Int64Counter("camphorwick.agent.outcomes"); err != nil {
		return nil, fmt.Errorf("create counter: %w", err)
	}
	if m.preemptions, err = meter.Int64Counter("camphorwick.agent.preemptions"); err != nil {
		return nil, fmt.Errorf("create counter: %w", err)
	}
	gauges := map[string]func() int64{
		"camphorwick.agent.kv_reserved":    func() int64 { return int64(a.load().KvReservedTokens) },
		"camphorwick.agent.queued":         func() int64 { return int64(a.load().Queued) },
		"camphorwick.agent.running":        func() int64 { return int64(a.load().Running) },
		"camphorwick.agent.engine_kv_used": func() int64 { return int64(a.lastReport().KVUsedTokens) },
		"camphorwick.agent.engine_kv_cached": func() int64 {
			return int64(a.lastReport().KVCachedTokens)
		},
	}
	for name, read := range gauges {
		_, err = meter.Int64ObservableGauge(name, metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(read())
			return nil
		}))
		if err != nil {
			return nil, fmt.Errorf("create gauge: %w", err)
		}
	}
	return m, nil
}

func (a *Agent) lastReport() backend.LoadReport {
	if report := a.report.Load(); report != nil {
		return *report
	}
	return backend.LoadReport{}
}

func bandAttribute(r *request) metric.MeasurementOption {
	return metric.WithAttributes(attribute.String("band", r.job.Band.String()))
}

func (m *metrics) queued(r *request, d time.Duration) {
	m.queueWait.Record(context.Background(), d.Seconds(), bandAttribute(r))
}

func (m *metrics) firstToken(r *request, d time.Duration) {
	m.timeToFirstToken.Record(context.Background(), d.Seconds(), bandAttribute(r))
}

func (m *metrics) ended(r *request, o wire.Outcome) {
	m.outcomes.Add(context.Background(), 1, bandAttribute(r), metric.WithAttributes(attribute.String("outcome", o.String())))
}

func (m *metrics) preempted(r *request) {
	m.preemptions.Add(context.Background(), 1, bandAttribute(r))
}
