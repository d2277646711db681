package ingress

import (
	"context"
	"time"

	"camphorwick.dev/policy/footprint"
)

// Connection is the connection of a caller.
type Connection interface {
	// CloseCause returns why the gateway closed the connection; empty if it did
	// not.
	CloseCause() string
	// ResetOnClose makes the next close reset the connection, so that the caller
	// does not take the close for the end of its answer.
	ResetOnClose() error
	// Holder returns what the connection holds; nil if that is not bounded by connection.
	Holder() *footprint.Holder
}

type connectionKey struct{}

// WithConnection returns a context for the requests of a connection. Without it,
// each closed connection counts as closed by the caller.
func WithConnection(ctx context.Context, c Connection) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// closeCause returns why the gateway closed the connection of a request; empty
// if it did not.
func closeCause(ctx context.Context) string {
	if c, ok := ctx.Value(connectionKey{}).(Connection); ok {
		return c.CloseCause()
	}
	return ""
}

// holderOf returns what the connection of a request holds, or a holder of its own, which
// close removes, if the connection is not known.
func (g *Gateway) holderOf(ctx context.Context) (h *footprint.Holder, close func()) {
	if c, ok := ctx.Value(connectionKey{}).(Connection); ok && c.Holder() != nil {
		return c.Holder(), func() {}
	}
	h, _ = g.Footprint.Open(func() {}, time.Now()) // nil, without bounds, if there are too many
	return h, h.Close
}

// markBroken makes sure that the caller can tell the answer that has begun from a
// complete one. An HTTP/1.1 answer lacks its last chunk; an HTTP/1.0 answer has no
// chunks and ends with its connection, unless the connection is reset.
func (x *exchange) markBroken() {
	c, ok := x.r.Context().Value(connectionKey{}).(Connection)
	if x.r.ProtoAtLeast(1, 1) || !ok {
		return
	}
	if err := c.ResetOnClose(); err != nil {
		x.log.Warn("connection of a broken answer not reset", "error", err.Error())
	}
}
