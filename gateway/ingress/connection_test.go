package ingress

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/policy/footprint"
)

// closedConnection is a connection that the gateway has closed.
type closedConnection struct{}

func (closedConnection) CloseCause() string  { return "idle" }
func (closedConnection) ResetOnClose() error { return nil }

func (closedConnection) Holder() *footprint.Holder { return nil }

// Guards against a request that the gateway itself broke off and that its log
// and metrics count as one whose caller left.
func TestLogOfAConnectionClosedByTheGateway(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, func(c net.Conn, br *bufio.Reader, _ *http.Request) bool {
		_, err := br.ReadByte() // ends when the gateway gives up
		return err == nil
	})
	ctx, cancel := context.WithCancel(WithConnection(t.Context(), closedConnection{}))
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://a.example/order/", strings.NewReader("x"))
	is.NoErr(err)
	r.RequestURI = "/order/"
	r.Header.Set("Id", "r1")
	r.Header.Set("Key", "secret")
	ended := make(chan any)
	go func() {
		defer func() { ended <- recover() }()
		f.gateway.ServeHTTP(noWriter{}, r)
	}()
	for len(f.requests()) == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	is.Equal(<-ended, http.ErrAbortHandler)
	line := f.waitForLine("connection closed by the gateway before the answer")
	is.True(strings.Contains(line, `"cause":"idle"`))
	is.True(strings.Contains(f.waitForLine("request ended"), `"reason":"connection_closed"`))
	is.True(!strings.Contains(f.log.String(), "caller disconnected"))
}

// noWriter is an http.ResponseWriter of a closed connection.
type noWriter struct{}

func (noWriter) Header() http.Header       { return http.Header{} }
func (noWriter) Write([]byte) (int, error) { return 0, fmt.Errorf("closed") }
func (noWriter) WriteHeader(int)           {}
