package member

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"camphorwick.dev/cloud"
)

// storeCallBounds are histogram bounds in seconds. A healthy store answers within
// milliseconds; the upper bounds show slow calls.
var storeCallBounds = []float64{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 5}

// meteredKV counts the calls for keys of the store, because the platform limits
// them, and measures their duration. Calls for leases are not counted. Watches
// are counted but not timed, because a watch waits for a change.
type meteredKV struct {
	cloud.KV
	calls   metric.Int64Counter
	seconds metric.Float64Histogram
}

// MeterKV returns kv with metrics of its calls, by operation and result.
func MeterKV(kv cloud.KV, meter metric.Meter) (cloud.KV, error) {
	calls, err := meter.Int64Counter("camphorwick.store.calls")
	if err != nil {
		return nil, fmt.Errorf("create counter: %w", err)
	}
	seconds, err := meter.Float64Histogram("camphorwick.store.call", metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(storeCallBounds...))
	if err != nil {
		return nil, fmt.Errorf("create histogram: %w", err)
	}
	return &meteredKV{KV: kv, calls: calls, seconds: seconds}, nil
}

// recordCall records a call that has just ended.
func (m *meteredKV) recordCall(operation string, started time.Time, err error) {
	labels := metric.WithAttributes(attribute.String("operation", operation), attribute.String("result", resultOf(err)))
	m.calls.Add(context.Background(), 1, labels)
	if operation != "watch" {
		m.seconds.Record(context.Background(), time.Since(started).Seconds(), labels)
	}
}

// resultOf returns the metric label of a call's result.
func resultOf(err error) string {
	var conflict *cloud.ConflictError
	var unavailable *cloud.UnavailableError
	var uncertain *cloud.UncertainError
	var limited *cloud.RateLimitedError
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.As(err, &uncertain):
		return "uncertain"
	case errors.As(err, &limited):
		return "rate_limited"
	case errors.As(err, &unavailable):
		return "unavailable"
	}
	return "error"
}

func (m *meteredKV) Get(ctx context.Context, key string) (cloud.Entry, error) {
	started := time.Now()
	entry, err := m.KV.Get(ctx, key)
	m.recordCall("get", started, err)
	return entry, err
}

func (m *meteredKV) Put(ctx context.Context, key string, value []byte, expected uint64, lease cloud.LeaseID) (uint64, error) {
	started := time.Now()
	revision, err := m.KV.Put(ctx, key, value, expected, lease)
	m.recordCall("put", started, err)
	return revision, err
}

func (m *meteredKV) Delete(ctx context.Context, key string, expected uint64) error {
	started := time.Now()
	err := m.KV.Delete(ctx, key, expected)
	m.recordCall("delete", started, err)
	return err
}

func (m *meteredKV) List(ctx context.Context, prefix string) ([]string, error) {
	started := time.Now()
	keys, err := m.KV.List(ctx, prefix)
	m.recordCall("list", started, err)
	return keys, err
}

func (m *meteredKV) Watch(ctx context.Context, key string, after uint64) (cloud.Entry, error) {
	started := time.Now()
	entry, err := m.KV.Watch(ctx, key, after)
	m.recordCall("watch", started, err)
	return entry, err
}
