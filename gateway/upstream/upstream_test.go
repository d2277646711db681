package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/cloud/tcpprobe"
)

// script answers the requests of one connection; n is its number, from 1.
type script func(n int, c net.Conn, br *bufio.Reader)

// serve runs a raw TCP server and returns its address and its connection count.
func serve(t *testing.T, s script) (address string, connections *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	connections = &atomic.Int32{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := int(connections.Add(1))
			go func() {
				defer func() { _ = c.Close() }()
				s(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String(), connections
}

// readRequest reads one request with its body.
func readRequest(br *bufio.Reader) (*http.Request, string, error) {
	r, err := http.ReadRequest(br)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(r.Body)
	return r, string(body), err
}

func get(id string) *Request {
	return &Request{Method: http.MethodGet, Head: []byte("GET /x HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n\r\n"),
		IsAnswer: func(h http.Header, _ bool) bool { return h.Get("Id") == "" || h.Get("Id") == id }}
}

// fetch sends one request and returns the body. The connection is kept if the
// body was read completely.
func fetch(c *Client, address string, r *Request) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	answer, err := c.Do(ctx, address, r)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(answer.Body)
	answer.Close(err == nil)
	return string(body), err
}

// answering is a script that answers all requests with the same bytes.
func answering(text string) script {
	return func(_ int, c net.Conn, br *bufio.Reader) {
		for {
			if _, _, err := readRequest(br); err != nil {
				return
			}
			_, _ = io.WriteString(c, text)
		}
	}
}

// Guards against reuse of a connection that the server closes or on which
// unexpected bytes were received, and against a new connection for each request.
// want is the number of connections for two requests.
func TestReuseOfConnections(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for _, c := range []struct {
		name, answer string
		want         int32
	}{
		{"complete answer", ok, 1},
		{"chunked answer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 1},
		{"bytes after the answer", ok + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong", 2},
		{"server closes", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 2},
		{"timeout of zero", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", 2},
		{"timeout of a minute", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\nContent-Length: 2\r\n\r\nok", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address, connections := serve(t, answering(c.answer))
			client := New()
			for range 2 {
				body, err := fetch(client, address, get("1"))
				is.NoErr(err)
				is.Equal(body, "ok")
			}
			is.Equal(connections.Load(), c.want)
		})
	}
}

// Guards against a late answer to an earlier request that is taken for the
// answer to the next one.
func TestLateAnswerIsSkipped(t *testing.T) {
	is := is.New(t)
	address, _ := serve(t, func(_ int, c net.Conn, br *bufio.Reader) {
		for {
			r, _, err := readRequest(br)
			if err != nil {
				return
			}
			if r.Header.Get("Id") == "2" {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nwrong")
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	client := New()
	for _, id := range []string{"1", "2", "3"} {
		body, err := fetch(client, address, get(id))
		is.NoErr(err)
		is.Equal(body, "ok")
	}
}

// Guards against broken answers that pass as complete, and against retries by
// the client: the server must see each request once.
func TestBrokenAnswers(t *testing.T) {
	for name, answer := range map[string]string{
		"cut body":       "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"cut chunk":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\nhalf",
		"no last chunk":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"no answer":      "",
		"not a response": "\x00\x01garbage\r\n\r\n",
		"cut head":       "HTTP/1.1 200 OK\r\nContent-",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var requests atomic.Int32
			address, _ := serve(t, func(_ int, c net.Conn, br *bufio.Reader) {
				if _, _, err := readRequest(br); err == nil {
					requests.Add(1)
				}
				_, _ = io.WriteString(c, answer)
			})
			_, err := fetch(New(), address, get("1"))
			is.True(err != nil)
			is.Equal(requests.Load(), int32(1))
		})
	}
}

// Guards against an answer without a length that counts as complete although a
// reset of the connection has cut it.
func TestResetIsNotAnEnd(t *testing.T) {
	is := is.New(t)
	address, _ := serve(t, func(_ int, c net.Conn, br *bufio.Reader) {
		_, _, _ = readRequest(br)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
		time.Sleep(50 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	_, err := fetch(New(), address, get("1"))
	is.True(err != nil)
}

// Guards against a failed dial that is reported as a request that may have run.
func TestUnreachableServerIsReportedAsNotSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	is.NoErr(l.Close())
	_, err = fetch(New(), address, get("1"))
	var failed *Error
	is.True(errors.As(err, &failed))
	is.True(!failed.Sent)
}

// Guards against reuse of a connection on which the rest of a long request is
// still to be written because the server has answered early.
func TestEarlyAnswer(t *testing.T) {
	is := is.New(t)
	address, connections := serve(t, func(n int, c net.Conn, br *bufio.Reader) {
		if n == 1 {
			_, _ = br.ReadString('\n')
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			time.Sleep(2 * time.Second)
			return
		}
		answering("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")(n, c, br)
	})
	client := New()
	body := strings.Repeat("x", 16<<20) // more than the socket buffers hold
	r := &Request{Method: http.MethodPost, Head: []byte("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 16777216\r\n\r\n"), Body: []byte(body)}
	for range 2 {
		got, err := fetch(client, address, r)
		is.NoErr(err)
		is.Equal(got, "ok")
	}
	is.Equal(connections.Load(), int32(2))
}

// Guards against a server that continues to work after its caller has
// disconnected.
func TestCancelClosesTheConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan time.Time, 1)
	address, _ := serve(t, func(_ int, _ net.Conn, br *bufio.Reader) {
		_, _, _ = readRequest(br)
		_, _ = br.ReadByte()
		closed <- time.Now()
	})
	ctx, cancel := context.WithCancel(context.Background())
	begun := time.Now()
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := New().Do(ctx, address, get("1"))
	is.True(errors.Is(err, context.Canceled))
	is.True((<-closed).Sub(begun) < 500*time.Millisecond)
}

// Guards against an order that fails because it is sent on a connection that the
// server may have dropped: it could not be retried.
func TestOrdersUseFreshConnections(t *testing.T) {
	is := is.New(t)
	address, connections := serve(t, answering("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\nContent-Length: 2\r\n\r\nok"))
	client := New()
	order := get("1")
	order.AtMostOnce = true
	_, err := fetch(client, address, order)
	is.NoErr(err)
	client.mu.Lock()
	client.idle[address][0].idleSince = time.Now().Add(-maxIdleAtMostOnce - time.Millisecond)
	client.mu.Unlock()
	_, err = fetch(client, address, order)
	is.NoErr(err)
	is.Equal(connections.Load(), int32(2))
}

// Guards against a request that is sent on a connection that the server has
// closed.
func TestClosedConnectionIsNoticed(t *testing.T) {
	is := is.New(t)
	address, connections := serve(t, func(_ int, c net.Conn, br *bufio.Reader) {
		_, _, _ = readRequest(br)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	client := New()
	for range 3 {
		_, err := fetch(client, address, get("1"))
		is.NoErr(err)
		time.Sleep(20 * time.Millisecond)
	}
	is.Equal(connections.Load(), int32(3))
}

func TestSweepClosesIdleConnections(t *testing.T) {
	// Guards against connections that stay open after their idle timeout.
	is := is.New(t)
	address, _ := serve(t, answering("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	client := New()
	_, err := fetch(client, address, get("1"))
	is.NoErr(err)
	client.Sweep(time.Now())
	is.Equal(len(client.idle), 1)
	client.Sweep(time.Now().Add(defaultIdleTimeout + time.Second))
	is.Equal(len(client.idle), 0)
}

// Guards against reuse of a connection on which the rest of an answer is still to
// be read: the next request would get it as its answer.
func TestPartlyReadAnswerEndsItsConnection(t *testing.T) {
	is := is.New(t)
	rest := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
	first := "HTTP/1.1 200 OK\r\nContent-Length: 64\r\n\r\nbegin"
	address, connections := serve(t, func(n int, c net.Conn, br *bufio.Reader) {
		for i := 1; ; i++ {
			if _, _, err := readRequest(br); err != nil {
				return
			}
			switch {
			case n > 1:
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			case i == 1:
				_, _ = io.WriteString(c, first)
			default: // the rest of the first answer
				_, _ = io.WriteString(c, rest+strings.Repeat(" ", 64))
			}
		}
	})
	client := New()
	answer, err := client.Do(context.Background(), address, get("1"))
	is.NoErr(err)
	_, err = io.ReadAll(io.LimitReader(answer.Body, 5))
	is.NoErr(err)
	answer.Close(true) // the reader's limit was reached without an error
	body, err := fetch(client, address, get("2"))
	is.NoErr(err)
	is.Equal(body, "ok")
	is.Equal(connections.Load(), int32(2))
}

// Guards against a server that runs and counts as gone, against the reverse, against either
// where it is not known, and against a connection for each look at a server.
func TestProbe(t *testing.T) {
	is := is.New(t)
	address, connections := serve(t, answering("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	client := New()
	is.Equal(client.Probe(context.Background(), address), tcpprobe.Accepting)
	_, err := fetch(client, address, get("1"))
	is.NoErr(err)
	is.Equal(connections.Load(), int32(1))
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	is.Equal(client.Probe(ended, address), tcpprobe.Unknown)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	is.Equal(client.Probe(context.Background(), l.Addr().String()), tcpprobe.Refusing)
}

// Guards against interim answers that count as answers to other requests: after two of
// them, a late answer to an earlier request ended the next one.
func TestInterimAnswersAreNotSkippedAnswers(t *testing.T) {
	is := is.New(t)
	interim := strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", maxSkipped+1)
	address, _ := serve(t, answering(interim+"HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 5\r\n\r\nwrong"+
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"))
	request := get("1")
	request.IsAnswer = func(h http.Header, _ bool) bool { return h.Get("Id") == "1" }
	body, err := fetch(New(), address, request)
	is.NoErr(err)
	is.Equal(body, "ok")
}

// Guards against a request that reads interim answers without end.
func TestInterimAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	address, _ := serve(t, answering(strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", maxInterim+1)))
	_, err := fetch(New(), address, get("1"))
	is.True(errors.Is(err, errTooManyInterim))
}
