package node

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/gateway/routing"
	"camphorwick.dev/policy/footprint"
)

// serveIdle serves with a callerListener whose idle timeout can be changed.
func serveIdle(t *testing.T, idleTimeout *atomic.Int64) (*callerListener, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	wrapped := newCallerListener(l, idleAfter(func() time.Duration { return time.Duration(idleTimeout.Load()) }), footprint.NewTracker(footprint.Limits{}))
	server := &http.Server{ConnState: trackState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			time.Sleep(300 * time.Millisecond)
		}
		_, _ = io.WriteString(w, "ok")
	})}
	go func() { _ = wrapped.serve(server) }()
	t.Cleanup(func() { _ = server.Close() })
	return wrapped, l.Addr().String()
}

// request sends one request over a connection and reads its answer.
func request(t *testing.T, c net.Conn, path string) {
	t.Helper()
	_, _ = io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	buffer := make([]byte, 512)
	if n, err := c.Read(buffer); err != nil || n == 0 {
		t.Fatalf("no answer: %v", err)
	}
}

// closedAfter returns how long the server keeps an idle connection open.
func closedAfter(t *testing.T, c net.Conn) time.Duration {
	t.Helper()
	begun := time.Now()
	_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
	_, err := c.Read(make([]byte, 1))
	if err != io.EOF {
		t.Fatalf("the connection was not closed: %v", err)
	}
	return time.Since(begun)
}

// Guards against idle connections that keep the timeout of an older
// configuration, and against an idle timeout that interrupts requests.
func TestIdleLimitFollowsTheConfiguration(t *testing.T) {
	is := is.New(t)
	var idleTimeout atomic.Int64
	idleTimeout.Store(int64(100 * time.Millisecond))
	_, address := serveIdle(t, &idleTimeout)
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	request(t, c, "/slow") // takes 300 ms, longer than the idle timeout
	idleTimeout.Store(int64(600 * time.Millisecond))
	request(t, c, "/")
	took := closedAfter(t, c)
	is.True(took > 500*time.Millisecond && took < 1500*time.Millisecond)
}

// Guards against idle connections that stay open while a gateway stops, so that
// it still receives requests, and against the loss of a request in flight.
func TestCloseIdle(t *testing.T) {
	is := is.New(t)
	var idleTimeout atomic.Int64
	idleTimeout.Store(int64(time.Minute))
	l, address := serveIdle(t, &idleTimeout)
	idle, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = idle.Close() }()
	request(t, idle, "/")
	busy, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = busy.Close() }()
	done := make(chan struct{})
	go func() {
		request(t, busy, "/slow")
		close(done)
	}()
	time.Sleep(100 * time.Millisecond)
	l.closeIdle(0)
	is.True(closedAfter(t, idle) < time.Second)
	<-done // the request in flight was answered
}

// Guards against a request that arrives when its connection reaches the idle
// timeout, and whose connection is then reset.
func TestRequestThatArrivesAtTheIdleTimeoutIsRead(t *testing.T) {
	is := is.New(t)
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = tcp.Close() }()
	l := newCallerListener(tcp, idleAfter(func() time.Duration { return time.Minute }), footprint.NewTracker(footprint.Limits{}))
	caller, err := net.Dial("tcp", tcp.Addr().String())
	is.NoErr(err)
	defer func() { _ = caller.Close() }()
	c, err := l.Accept()
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	trackState(c, http.StateNew)
	_, err = io.WriteString(caller, "GET")
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond) // the bytes arrive
	is.NoErr(c.SetReadDeadline(time.Now()))
	buffer := make([]byte, 8)
	n, err := c.Read(buffer)
	is.NoErr(err)
	is.Equal(string(buffer[:n]), "GET")
	_, err = io.WriteString(caller, " /") // the deadline is that of the idle timeout again
	is.NoErr(err)
	n, err = c.Read(buffer)
	is.NoErr(err)
	is.Equal(string(buffer[:n]), " /")
}

// noLimits are the limits of a configuration that states none.
func noLimits() routing.Limits { return routing.Limits{} }

// idleAfter returns limits with an idle timeout alone.
func idleAfter(timeout func() time.Duration) func() routing.Limits {
	return func() routing.Limits { return routing.Limits{IdleTimeout: timeout()} }
}
