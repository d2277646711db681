package ingress

import "context"

// Connection is the connection of a caller.
type Connection interface {
	// CloseCause returns why the gateway closed the connection; empty if it did
	// not.
	CloseCause() string
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
