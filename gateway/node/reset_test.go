package node

import (
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/policy/footprint"
)

// Guards against a connection that should be reset and is closed in good order, so
// that an HTTP/1.0 caller takes a part of its answer for the whole one.
func TestResetOnClose(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	wrapped := newCallerListener(l, noLimits, footprint.NewTracker(footprint.Limits{}))
	conns := make(chan *callerConn, 1)
	server := &http.Server{
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateNew {
				conns <- c.(*callerConn)
			}
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
			if err := (<-conns).ResetOnClose(); err != nil {
				t.Error(err)
			}
			panic(http.ErrAbortHandler)
		})}
	go func() { _ = wrapped.serve(server) }()
	defer func() { _ = server.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "GET / HTTP/1.0\r\n\r\n")
	is.NoErr(err)
	_ = c.SetReadDeadline(time.Now().Add(answerTimeout))
	_, err = io.ReadAll(c)
	is.True(errors.Is(err, syscall.ECONNRESET))
}
