package observe

import (
	"context"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

const traceparentHeader = "traceparent"

var traceContext propagation.TraceContext

// Traceparent returns the W3C traceparent header value of ctx, or "" if ctx has no
// span.
func Traceparent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	traceContext.Inject(ctx, carrier)
	return carrier[traceparentHeader]
}

// WithTraceparent returns ctx with the remote span of a traceparent header value.
// A malformed value is ignored.
func WithTraceparent(ctx context.Context, traceparent string) context.Context {
	return traceContext.Extract(ctx, propagation.MapCarrier{traceparentHeader: traceparent})
}

// TraceID returns the trace ID of ctx in hex, or "" if ctx has none.
func TraceID(ctx context.Context) string {
	span := trace.SpanContextFromContext(ctx)
	if !span.HasTraceID() {
		return ""
	}
	return span.TraceID().String()
}
