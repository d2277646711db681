// Package listen retries failed accepts. The servers of a daemon end when an
// accept fails, and with them all requests, although the process may accept again
// soon: it has too many open files, or a caller closed its connection before it
// was accepted.
package listen

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"time"
)

// Bounds of the delay before an accept is retried.
const (
	minDelay = 5 * time.Millisecond
	maxDelay = 200 * time.Millisecond
)

// retryListener is the listener that Retry returns.
type retryListener struct {
	net.Listener
	log *slog.Logger
}

// Retry returns a listener that accepts from l and logs and retries failed
// accepts. Its Accept fails only with net.ErrClosed, after l was closed, and with
// io.EOF, if l accepts no more connections.
func Retry(l net.Listener, log *slog.Logger) net.Listener {
	return &retryListener{Listener: l, log: log}
}

// Accept implements net.Listener.
func (l *retryListener) Accept() (net.Conn, error) {
	for delay := minDelay; ; delay = min(2*delay, maxDelay) {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) || errors.Is(err, io.EOF) {
			return c, err
		}
		l.log.Warn("connection not accepted", "address", l.Addr().String(), "error", err.Error())
		time.Sleep(delay)
	}
}
