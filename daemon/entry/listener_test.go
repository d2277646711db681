package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/policy/footprint"
)

// listenDraining returns a listener that drains, and a function that opens a connection
// to it. Connections are closed at the end of the test.
func listenDraining(t *testing.T) (*drainListener, func() net.Conn) {
	t.Helper()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l, err := newDrainListener(tcp, footprint.NewTracker(footprint.Limits{}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l, func() net.Conn {
		conn, err := net.Dial("tcp", tcp.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
}

// Guards against requests on new connections that are reset when an entry stops,
// because the connections wait to be accepted when the listener is closed.
func TestWaitingConnectionsAreAccepted(t *testing.T) {
	is := is.New(t)
	l, dial := listenDraining(t)
	for range 3 {
		dial()
	}
	l.drain()
	for range 3 {
		conn, err := l.Accept()
		is.NoErr(err)
		is.NoErr(conn.Close())
	}
	_, err := l.Accept()
	is.Equal(err, io.EOF)
	is.Equal(l.awaitClosed(t.Context()), 0)
}

// Guards against a request that is lost because its connection is closed as idle
// after the request has arrived and before it was read.
func TestArrivedRequestIsReadAtTheIdleDeadline(t *testing.T) {
	is := is.New(t)
	l, dial := listenDraining(t)
	caller := dial()
	conn, err := l.Accept()
	is.NoErr(err)
	_, err = caller.Write([]byte("GET"))
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	conn.(*callerConn).idleSince = time.Now().Add(-2 * idleGrace)
	l.drain() // the deadline has passed, so Read gets an error although bytes have arrived
	data := make([]byte, 10)
	n, err := conn.Read(data)
	is.NoErr(err)
	is.Equal(string(data[:n]), "GET")
	is.NoErr(conn.Close())
}

// Guards against a stop that waits for idle connections until the drain limit.
func TestIdleConnectionsAreClosed(t *testing.T) {
	is := is.New(t)
	l, dial := listenDraining(t)
	caller := dial()
	conn, err := l.Accept()
	is.NoErr(err)
	go func() { _, _ = l.Accept() }() // closes the listener
	l.drain()
	started := time.Now()
	_, err = conn.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.True(time.Since(started) > idleGrace/2)
	_, err = caller.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.Equal(l.awaitClosed(t.Context()), 0)
}

// Guards against a request that is cut off by the deadline of an idle connection,
// because its first byte arrived shortly before.
func TestActiveConnectionHasNoIdleDeadline(t *testing.T) {
	is := is.New(t)
	l, dial := listenDraining(t)
	caller := dial()
	conn, err := l.Accept()
	is.NoErr(err)
	l.drain()
	trackState(conn, fasthttp.StateActive)
	time.AfterFunc(idleGrace+200*time.Millisecond, func() { _, _ = caller.Write([]byte("x")) })
	n, err := conn.Read(make([]byte, 1))
	is.NoErr(err)
	is.Equal(n, 1)
}

// Guards against a stopping entry that reports that it is ready, because the
// removal of its mark arrives after Stop.
func TestStoppingEntryIsNotReady(t *testing.T) {
	is := is.New(t)
	e := startEntry(t)
	e.Stop()
	(*hooks)(e).ConfigChanged(e.member.Replica.Config())
	is.Equal(outcome.CodeOf(e.Ready()), outcome.Draining)
}

// Guards against a request without an answer on a connection that has been open
// for longer than the deadline of its last answer: the "100 Continue" could not
// be written.
func TestWriteDeadlineEndsWithItsAnswer(t *testing.T) {
	is := is.New(t)
	server := &fasthttp.Server{StreamRequestBody: true, Handler: func(c *fasthttp.RequestCtx) {
		setResponseDeadline(c, time.Now().Add(100*time.Millisecond-answerGrace)) // writes fail after 100 ms
		c.SetBodyString("ok")
	}}
	l, dial := listenDraining(t)
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	conn := dial()
	reader := bufio.NewReader(conn)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: entry\r\n\r\n")
	is.NoErr(err)
	response, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	_, err = io.ReadAll(response.Body)
	is.NoErr(err)
	time.Sleep(200 * time.Millisecond)
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: entry\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n")
	is.NoErr(err)
	response, err = http.ReadResponse(reader, nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusContinue)
	_ = conn.Close()
	l.drain()
	is.NoErr(<-served)
}
