package observe

import (
	"context"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

const traceparentHeader = "traceparent"

var w3c propagation.TraceContext

// Traceparent returns the W3C trace context of ctx, or "".
func Traceparent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	w3c.Inject(ctx, carrier)
	return carrier[traceparentHeader]
}

// WithTraceparent returns ctx with the remote span of a W3C trace context;
// a malformed one is ignored.
func WithTraceparent(ctx context.Context, traceparent string) context.Context {
	return w3c.Extract(ctx, propagation.MapCarrier{traceparentHeader: traceparent})
}

// TraceID returns the trace id of ctx in hex, or "" if there is none.
func TraceID(ctx context.Context) string {
	span := trace.SpanContextFromContext(ctx)
	if !span.HasTraceID() {
		return ""
	}
	return span.TraceID().String()
}
