package main

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"time"
)

// Bounds of the delay before an accept is retried.
const (
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = 200 * time.Millisecond
)

// retryListener retries failed accepts until it is closed. The servers of this
// process end when an accept fails, and with them all requests, although the
// process may accept again soon: it has too many open files, or a caller closed its
// connection before it was accepted.
type retryListener struct {
	net.Listener
	log *slog.Logger
}

// listen opens a TCP port.
func listen(address string, log *slog.Logger) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("open port: %w", err)
	}
	return &retryListener{Listener: l, log: log}, nil
}

// Accept waits for the next connection. The error is net.ErrClosed.
func (l *retryListener) Accept() (net.Conn, error) {
	for delay := minAcceptDelay; ; delay = min(2*delay, maxAcceptDelay) {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		l.log.Warn("connection not accepted", "address", l.Addr().String(), "error", err.Error())
		time.Sleep(delay)
	}
}
