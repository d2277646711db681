package entry

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"camphorwick.dev/api/outcome"
)

// maxTestBody is the largest body that the server of readBodyOf accepts.
const maxTestBody = 64 << 10

// readBodyOf returns what readBody makes of a request whose connection ends after
// the given bytes. The error is errNotHandled if the server refused the request
// before its handler.
func readBodyOf(t *testing.T, request string) (body string, err error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	err = errNotHandled
	server := (&Entry{stop: make(chan struct{})}).newServer("test", maxTestBody, func(c *fasthttp.RequestCtx) {
		err = (&bodyRoom{}).read(c, maxTestBody)
		if err == nil {
			body = string(c.PostBody())
		}
	})
	served := make(chan struct{})
	go func() {
		_ = server.Serve(l)
		close(served)
	}()
	conn, dialErr := net.Dial("tcp", l.Addr().String())
	if dialErr != nil {
		t.Fatal(dialErr)
	}
	_, _ = io.WriteString(conn, request)
	_ = conn.(*net.TCPConn).CloseWrite()
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.Copy(io.Discard, conn) // until the server has answered and closed the connection
	_ = conn.Close()
	_ = server.Shutdown()
	<-served
	return body, err
}

var errNotHandled = errors.New("the handler was not called")

// Guards against an order that is sent on with a part of its body, because the
// connection of the caller ended in it. The server reads the first 8 KiB itself.
func TestCutBodyIsRefused(t *testing.T) {
	order := strings.Repeat("3 buckles and a strap. ", 1000)
	head := func(framing string) string {
		return "POST /v1/services/s/ HTTP/1.1\r\nHost: a\r\n" + framing + "\r\n\r\n"
	}
	for _, n := range []int{0, 1, 8<<10 - 1, 8 << 10, 8<<10 + 1, 16 << 10, len(order) - 1} {
		for name, request := range map[string]string{
			"length": head(fmt.Sprintf("Content-Length: %d", len(order))) + order[:n],
			"chunk":  head("Transfer-Encoding: chunked") + fmt.Sprintf("%x\r\n%s", len(order), order[:n]),
		} {
			if body, err := readBodyOf(t, request); err == nil {
				t.Errorf("%s: %d of %d bytes were accepted as %d", name, n, len(order), len(body))
			}
		}
	}
	is := is.New(t)
	body, err := readBodyOf(t, head(fmt.Sprintf("Content-Length: %d", len(order)))+order)
	is.NoErr(err)
	is.Equal(body, order)
}

// Guards against an order that is sent on with a part of its body, because the
// connection of the caller ended at a byte between two chunks.
func TestCutChunkedBodyIsRefused(t *testing.T) {
	const head = "POST /v1/services/s/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, first := range []string{"3 buckles", strings.Repeat("3 buckles and a strap. ", 1000)} {
		chunks := fmt.Sprintf("%x\r\n%s\r\n7\r\n a belt\r\n0\r\n\r\n", len(first), first)
		for n := len(first); n < len(chunks); n++ {
			if body, err := readBodyOf(t, head+chunks[:n]); err == nil {
				t.Errorf("%d of %d bytes of chunks were accepted as a body of %d bytes", n, len(chunks), len(body))
			}
		}
		is := is.New(t)
		body, err := readBodyOf(t, head+chunks)
		is.NoErr(err)
		is.Equal(body, first+" a belt")
	}
}

// Guards against 413 for a body that is not too long but could not be read.
func TestStatusOfUnreadableBody(t *testing.T) {
	for name, c := range map[string]struct {
		err    error
		status int
		code   outcome.Code
	}{
		"too long":     {outcome.Wrap(errBodyTooLong, outcome.InvalidRequest, "the body exceeds 1 bytes"), http.StatusRequestEntityTooLarge, outcome.InvalidRequest},
		"late":         {bodyError(fmt.Errorf("read: %w", os.ErrDeadlineExceeded)), http.StatusGatewayTimeout, outcome.DeadlineExceeded},
		"broken chunk": {bodyError(io.ErrUnexpectedEOF), http.StatusBadRequest, outcome.InvalidRequest},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var ctx fasthttp.RequestCtx
			writeError(&ctx, "r", outcome.NotRun, c.err)
			is.Equal(ctx.Response.StatusCode(), c.status)
			is.Equal(outcome.CodeOf(c.err), c.code)
		})
	}
}
