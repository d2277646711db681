package servicehttp

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// serveAnswer answers every request with the given bytes and closes its connection,
// in good order or with a reset.
func serveAnswer(t *testing.T, answer string, reset bool) *Service {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, answer)
				if reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			}()
		}
	}()
	s := New(Options{Address: l.Addr().String()})
	t.Cleanup(s.Close)
	return s
}

// Guards against a part of an order's answer that is recorded as the whole one,
// and against such an order that is reported as not sent, whatever the framing and
// the byte at which the answer ends.
func TestCutAnswerIsNoReply(t *testing.T) {
	const head, body = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n", "order 7 is booked"
	unframed := head + "\r\n" + body
	for name, c := range map[string]struct {
		whole string
		from  int // first byte that may be missing
		reset bool
	}{
		"length":                 {fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body), 0, false},
		"chunks":                 {fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body), 0, false},
		"unframed, in the head":  {unframed[:len(unframed)-len(body)], 0, false},
		"unframed, reset":        {unframed + " ", len(head) + 2, true},
		"interim answer, length": {"HTTP/1.1 100 Continue\r\n\r\n" + fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body), 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			for n := c.from; n < len(c.whole); n++ {
				reply, err := serveAnswer(t, c.whole[:n], c.reset).Call(context.Background(), order)
				if err == nil {
					t.Errorf("%d bytes: reply %d %q", n, reply.Status, reply.Body)
				} else if notSent(t, err) {
					t.Errorf("%d bytes: not sent: %v", n, err)
				}
			}
		})
	}
}

// Guards against an answer without a length that is refused although its connection
// was closed in good order, which is how such an answer ends.
func TestUnframedAnswerIsAReply(t *testing.T) {
	is := is.New(t)
	reply, err := serveAnswer(t, "HTTP/1.1 200 OK\r\n\r\nbooked", false).Call(context.Background(), order)
	is.NoErr(err)
	is.Equal(string(reply.Body), "booked")
}
