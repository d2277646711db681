package listen

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/observe"
)

// exhaustedListener is a listener whose first calls of Accept fail because the
// process has too many open files.
type exhaustedListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a failed accept on one port, here that of health and metrics, that
// ends the process and with it all requests of callers.
func TestFailedAcceptDoesNotEndTheProcess(t *testing.T) {
	is := is.New(t)
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = tcp.Close() }()
	failing := &exhaustedListener{Listener: tcp}
	failing.failures.Store(3)
	l := Retry(failing, slog.New(slog.DiscardHandler))
	telemetry, err := observe.New(t.Context(), observe.Options{LogLevel: "error", Log: t.Output()})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- telemetry.ServeOps(ctx, l, func() error { return nil }) }()
	client := &http.Client{Timeout: 5 * time.Second}
	response, err := client.Get("http://" + l.Addr().String() + "/readyz")
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(len(ended), 0)
	cancel()
	is.NoErr(<-ended)
}
