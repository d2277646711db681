// Package observe sets up the telemetry of a process: JSON logs, OpenTelemetry
// metrics for a Prometheus scraper, and traces with one span for each process that
// a request passes.
package observe

import (
	"context"
	"fmt"
	"io"
	"log/slog"

	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// Options identifies the process and configures its outputs.
type Options struct {
	VM, Role, DataCentre string
	LogLevel             string // debug, info, warn or error
	Log                  io.Writer
	// OTLPURL is the OTLP endpoint of a trace collector; empty for none.
	OTLPURL string
	// LogSpans writes each span as a log line.
	LogSpans bool
}

// Telemetry holds the logger, meter and tracer of a process.
type Telemetry struct {
	Log    *slog.Logger
	Meter  metric.Meter
	Tracer trace.Tracer
	// Registry holds the metrics that a Prometheus scraper reads.
	Registry *prometheus.Registry

	output  io.Writer
	metrics *sdkmetric.MeterProvider
	traces  *sdktrace.TracerProvider
}

const serviceName = "camphorwick"

// New sets up the telemetry of a process.
func New(ctx context.Context, o Options) (*Telemetry, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(o.LogLevel)); err != nil {
		return nil, fmt.Errorf("parse log level %q: %w", o.LogLevel, err)
	}
	t := &Telemetry{Registry: prometheus.NewRegistry(), output: o.Log}
	t.Log = slog.New(slog.NewJSONHandler(o.Log, &slog.HandlerOptions{Level: level})).
		With("vm", o.VM, "role", o.Role, "data_centre", o.DataCentre)
	identity := resource.NewSchemaless(attribute.String("service.name", serviceName),
		attribute.String("vm", o.VM), attribute.String("role", o.Role), attribute.String("data_centre", o.DataCentre))
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(t.Registry))
	if err != nil {
		return nil, fmt.Errorf("set up metrics: %w", err)
	}
	t.metrics = sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter), sdkmetric.WithResource(identity))
	t.Meter = t.metrics.Meter(serviceName)
	options := []sdktrace.TracerProviderOption{sdktrace.WithResource(identity)}
	if o.LogSpans {
		options = append(options, sdktrace.WithSyncer(&spanLogger{t.Log}))
	}
	if o.OTLPURL != "" {
		otlp, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(o.OTLPURL))
		if err != nil {
			return nil, fmt.Errorf("set up traces: %w", err)
		}
		options = append(options, sdktrace.WithBatcher(otlp))
	}
	t.traces = sdktrace.NewTracerProvider(options...)
	t.Tracer = t.traces.Tracer(serviceName)
	return t, nil
}

// Shutdown exports pending spans and metrics and flushes the log.
func (t *Telemetry) Shutdown(ctx context.Context) error {
	if bounded, ok := t.output.(*BoundedWriter); ok {
		defer bounded.Flush()
	}
	if err := t.traces.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut down traces: %w", err)
	}
	if err := t.metrics.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut down metrics: %w", err)
	}
	return nil
}

// spanLogger is a span exporter that writes log lines.
type spanLogger struct{ log *slog.Logger }

// ExportSpans implements sdktrace.SpanExporter.
func (s *spanLogger) ExportSpans(ctx context.Context, spans []sdktrace.ReadOnlySpan) error {
	for _, span := range spans {
		attributes := []any{"span", span.Name(), "trace_id", span.SpanContext().TraceID().String(),
			"span_id", span.SpanContext().SpanID().String(), "parent_id", span.Parent().SpanID().String(),
			"duration_ms", span.EndTime().Sub(span.StartTime()).Milliseconds()}
		for _, a := range span.Attributes() {
			attributes = append(attributes, string(a.Key), a.Value.AsInterface())
		}
		s.log.InfoContext(ctx, "span", attributes...)
	}
	return nil
}

// Shutdown implements sdktrace.SpanExporter.
func (s *spanLogger) Shutdown(context.Context) error { return nil }
