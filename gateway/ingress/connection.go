package ingress

import "context"

// Connection is the connection of a caller.
type Connection interface {
	// CloseCause returns why the gateway closed the connection; empty if it did
	// not.
	CloseCause() string
	// ResetOnClose makes the next close reset the connection, so that the caller
	// does not take the close for the end of its answer.
	ResetOnClose() error
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
