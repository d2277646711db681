package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/gateway/routing"
	"camphorwick.dev/policy/footprint"
)

const testHeaderTimeout = 100 * time.Millisecond

// serveHeads serves with limits on heads and a handler that takes a time, and returns a
// connection to it.
func serveHeads(t *testing.T, handlerTime time.Duration) net.Conn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limits := func() routing.Limits {
		return routing.Limits{HeaderBytes: 4 << 10, HeaderTimeout: testHeaderTimeout}
	}
	wrapped := newCallerListener(l, limits, footprint.NewTracker(footprint.Limits{}))
	server := &http.Server{ConnState: trackState, ConnContext: connContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { time.Sleep(handlerTime) })}
	go func() { _ = wrapped.serve(server) }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = c.Close(), server.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return c
}

// Guards against a request that is cut off because its head has begun together with the
// request before, by whose time it is judged.
func TestHeadHasATimeOfItsOwn(t *testing.T) {
	is := is.New(t)
	c := serveHeads(t, 3*headTimeFactor*testHeaderTimeout)
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	_, err := io.WriteString(c, request+request[:10])
	is.NoErr(err)
	time.Sleep(testHeaderTimeout) // so that the rest is read by itself
	_, err = io.WriteString(c, request[10:])
	is.NoErr(err)
	br := bufio.NewReader(c)
	for range 2 {
		response, err := http.ReadResponse(br, nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
	}
}

// Guards against heads without an end, in length or in time, that keep their connection.
func TestHeadsWithoutEndAreCut(t *testing.T) {
	for name, send := range map[string]func(c net.Conn) error{
		"long": func(c net.Conn) error {
			_, err := io.WriteString(c, "GET / HTTP/1.1\r\nFiller: "+strings.Repeat("f", 32<<10))
			return err
		},
		"slow": func(c net.Conn) error {
			var err error
			for n := 0; err == nil && n < 1000; n++ {
				_, err = io.WriteString(c, "f")
				time.Sleep(testHeaderTimeout / 10)
			}
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := serveHeads(t, 0)
			err := send(c)
			if err == nil {
				_, err = c.Read(make([]byte, 1))
			}
			if netErr, ok := err.(net.Error); err == nil || ok && netErr.Timeout() {
				t.Fatalf("the connection is still open: %v", err)
			}
		})
	}
}
