package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// hang accepts a request and answers nothing until the gateway gives up.
func hang(_ net.Conn, br *bufio.Reader, _ *http.Request) bool {
	_, err := br.ReadByte()
	return err == nil
}

// Guards against orders that a stopping gateway accepts although it may end
// before their answer: their callers must not retry them.
func TestStoppingGatewayRefusesOrdersThatMayNotEnd(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, text(200, "ok"))
	f.gateway.CloseConnections()
	f.gateway.RefuseAfter(time.Now().Add(800 * time.Millisecond)) // an order may take 900 ms
	response, _, err := f.call("POST", "/order/", "", "x")
	is.NoErr(err)
	is.Equal(response.StatusCode, 503)
	is.True(response.Header.Get("Retry-After") != "")
	is.Equal(len(f.requests()), 0)
	f.gateway.RefuseAfter(time.Now().Add(5 * time.Second))
	response, _, err = f.call("POST", "/order/", "", "x")
	is.NoErr(err)
	is.Equal(response.StatusCode, 200)
}

// Guards against aborted requests whose callers get a closed connection in place
// of an answer, and against a refusal of a request that may have run.
func TestAbortedRequestsAreAnswered(t *testing.T) {
	for _, c := range []struct {
		name, method, target string
	}{
		{"order", "POST", "/order/"},
		{"lookup", "GET", "/lookup/"},
		{"stream without events", "POST", "/stream/"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, hang)
			time.AfterFunc(200*time.Millisecond, f.gateway.Abort)
			response, _, err := f.call(c.method, c.target, "", "x")
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusGatewayTimeout)
		})
	}
}

// Guards against a request that waits for an engine and gets a closed connection,
// or an answer that forbids a retry, when its gateway ends.
func TestAbortedRequestInTheQueueIsRefused(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, hang)
	statuses := make(chan int)
	for id := range 5 { // one more than the engine has slots
		go func() {
			response, _, err := f.call("POST", "/stream/", fmt.Sprintf("Id: r%d\r\nTokens: 100\r\n", id), "x")
			if err != nil {
				statuses <- 0
				return
			}
			statuses <- response.StatusCode
		}()
	}
	for len(f.requests()) < 4 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond) // the last request waits
	f.gateway.Abort()
	count := map[int]int{}
	for range 5 {
		count[<-statuses]++
	}
	is.Equal(count, map[int]int{http.StatusGatewayTimeout: 4, http.StatusServiceUnavailable: 1})
	is.Equal(len(f.requests()), 4)
}

// Guards against an aborted stream that looks complete to its caller.
func TestAbortedStreamDoesNotLookComplete(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, func(c net.Conn, br *bufio.Reader, r *http.Request) bool {
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nMark: m\r\nTransfer-Encoding: chunked\r\n\r\n")
		chunk(c, "id: 1\ndata: e1\n\n")
		return hang(c, br, r)
	})
	time.AfterFunc(200*time.Millisecond, f.gateway.Abort)
	_, body, err := f.call("POST", "/stream/", "", "x")
	is.True(err != nil)
	is.Equal(body, wantEvents(1, 1))
}

// Guards against an answer of a stopping gateway that lets its caller reuse a
// connection that is about to be closed, because its request began before the stop.
func TestAnswerToARequestBegunBeforeTheStopClosesItsConnection(t *testing.T) {
	for _, c := range []struct{ name, method, target string }{
		{"order", "POST", "/order/"},
		{"stream", "POST", "/stream/"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var f *fleet
			f = newFleet(t, func(conn net.Conn, br *bufio.Reader, r *http.Request) bool {
				f.gateway.CloseConnections()
				if c.name == "stream" {
					return events(2, true)(conn, br, r)
				}
				return text(200, "ok")(conn, br, r)
			})
			response, _, err := f.call(c.method, c.target, "", "x")
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusOK)
			is.True(response.Close)
		})
	}
}

// Guards against a request whose body is still on its way when its gateway ends:
// its connection was closed without an answer.
func TestRequestWithoutItsWholeBodyIsRefusedAtAbort(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, text(200, "ok"))
	c, err := net.Dial("tcp", f.address)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "POST /order/ HTTP/1.1\r\nHost: a.example\r\nKey: secret\r\nId: r1\r\nContent-Length: 2\r\n\r\nx")
	time.AfterFunc(100*time.Millisecond, f.gateway.Abort)
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(len(f.requests()), 0)
}

// Guards against a stream that waits for an engine until the gateway has too little
// time left, is sent nevertheless and is cut after its first events.
func TestStoppingGatewayRefusesStreamsThatWaitedTooLong(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, func(c net.Conn, _ *bufio.Reader, _ *http.Request) bool {
		time.Sleep(500 * time.Millisecond)
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nMark: m\r\nTransfer-Encoding: chunked\r\n\r\n")
		chunk(c, "id: 1\ndata: e1\n\n")
		_, err := fmt.Fprint(c, "0\r\n\r\n")
		return err == nil
	})
	f.gateway.RefuseAfter(time.Now().Add(time.Second)) // a stream may take 730 ms
	statuses := make(chan int)
	for id := range 5 { // one more than the engine has slots
		go func() {
			response, _, err := f.call("POST", "/stream/", fmt.Sprintf("Id: r%d\r\nTokens: 100\r\n", id), "x")
			if err != nil {
				statuses <- 0
				return
			}
			statuses <- response.StatusCode
		}()
	}
	count := map[int]int{}
	for range 5 {
		count[<-statuses]++
	}
	is.Equal(count, map[int]int{http.StatusOK: 4, http.StatusServiceUnavailable: 1})
	is.Equal(len(f.requests()), 4)
}
