package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/gateway/registry"
)

// earlyEnd is how a server ends a connection on which it has answered a long upload early.
type earlyEnd string

const (
	earlyClose     earlyEnd = "close"      // with the rest unread, which resets the connection
	earlyReset     earlyEnd = "reset"      // at once
	earlyHalfClose earlyEnd = "half close" // the answer ends in good order, and the close follows
)

// uploadBytes is more than the kernel's buffers take at once.
const uploadBytes = 900_000

// earlyServer answers a request without a length when it has read some bytes of its body, and
// ends the connection after a pause.
type earlyServer struct {
	read  int64
	pause time.Duration
	end   earlyEnd
}

func (s earlyServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	r, err := http.ReadRequest(br)
	if err != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, r.Body, s.read)
	_, _ = io.WriteString(c, unframedHead+partFor(r.URL.Path))
	time.Sleep(s.pause)
	tcp := c.(*net.TCPConn)
	switch s.end {
	case earlyReset:
		_ = tcp.SetLinger(0)
	case earlyHalfClose:
		_ = tcp.CloseWrite()
		time.Sleep(s.pause)
	}
}

// start adds a server that serves each connection by serve to a fleet.
func (f *fleet) start(t *testing.T, serve func(c net.Conn)) {
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
			go serve(c)
		}
	}()
	f.servers = append(f.servers, registry.Server{ID: "early", Service: "service", Address: l.Addr().String(), DataCentre: "dc", Slots: 4})
	f.register()
}

// Guards against a part of an answer without a length that looks complete although its
// connection was reset: the write of the upload, which went on, took the error from the
// connection, and the read then found the end of the answer.
func TestEarlyAnswerToAnUploadDoesNotLookComplete(t *testing.T) {
	const trials = 3 // the write and the read race each other
	upload := strings.Repeat("x", uploadBytes)
	for _, target := range []string{"/order/", "/lookup/", "/stream/", "/once/"} {
		for _, read := range []int64{0, 64 << 10} {
			for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
				for _, end := range []earlyEnd{earlyClose, earlyReset, earlyHalfClose} {
					t.Run(fmt.Sprint(target, read, " ", pause, " ", end), func(t *testing.T) {
						f := newFleet(t)
						f.start(t, earlyServer{read, pause, end}.serve)
						for range trials {
							response, body, err := f.call("POST", target, "", upload)
							if err == nil && response.StatusCode == http.StatusOK {
								t.Errorf("complete answer %q", body)
							}
						}
					})
				}
			}
		}
	}
}

// Guards against a whole answer without a length that counts as cut because its upload was
// long, though the server had read it.
func TestAnswerToAWholeUploadIsWhole(t *testing.T) {
	upload := strings.Repeat("x", uploadBytes)
	for _, target := range []string{"/order/", "/lookup/", "/stream/", "/once/"} {
		for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
			t.Run(fmt.Sprint(target, pause), func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t)
				f.start(t, earlyServer{uploadBytes, pause, earlyClose}.serve)
				for range 3 {
					response, body, err := f.call("POST", target, "", upload)
					is.NoErr(err)
					is.Equal(response.StatusCode, http.StatusOK)
					is.Equal(body, partFor(target))
				}
			})
		}
	}
}

// Guards against an answer with a length, or in chunks, that counts as cut because its server
// did not read the rest of the upload: the framing says where it ends.
func TestEarlyAnswerWithAFramingIsWhole(t *testing.T) {
	upload := strings.Repeat("x", uploadBytes)
	for _, target := range []string{"/order/", "/once/"} {
		part := partFor(target)
		for name, framing := range map[string]string{
			"length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(part), part),
			"chunks": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(part), part),
		} {
			t.Run(target+name, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t)
				f.start(t, func(c net.Conn) {
					defer func() { _ = c.Close() }()
					if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nMark: m\r\n"+framing)
						time.Sleep(20 * time.Millisecond)
						_ = r.Body.Close() // reads the rest, or a part of it
					}
				})
				response, body, err := f.call("POST", target, "", upload)
				is.NoErr(err)
				is.Equal(response.StatusCode, http.StatusOK)
				is.Equal(body, part)
			})
		}
	}
}
