package ingress

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestStreamIsRelayed(t *testing.T) {
	// Guards against headers or events of a stream that are lost or changed.
	is := is.New(t)
	f := newFleet(t, events(5, true))
	response, body, err := f.call("POST", "/stream/", "", "x")
	is.NoErr(err)
	is.Equal(response.Header.Get("Content-Type"), "text/event-stream")
	is.Equal(response.Header.Get("Mark"), "m")
	is.Equal(body, wantEvents(1, 5))
}

// Guards against missing and duplicate events when a server dies within an
// event: another server resumes after the last complete event.
func TestStreamResumesOnAnotherServer(t *testing.T) {
	is := is.New(t)
	either := firstThen(events(3, false), events(6, true))
	f := newFleet(t, either, either)
	_, body, err := f.call("POST", "/stream/", "", "x")
	is.NoErr(err)
	is.Equal(body, wantEvents(1, 6))
	got := f.requests()
	is.Equal(len(got), 2)
	is.Equal(got[1].header.Get("Last"), "3")
	is.True(got[0].server != got[1].server)
}

// Guards against duplicate events if a server resumes a stream earlier than after
// the requested event.
func TestDuplicateEventsAreDropped(t *testing.T) {
	is := is.New(t)
	either := firstThen(events(3, false), func(c net.Conn, br *bufio.Reader, r *http.Request) bool {
		r.Header.Set("Last", "1")
		return events(5, true)(c, br, r)
	})
	f := newFleet(t, either, either)
	_, body, err := f.call("POST", "/stream/", "", "x")
	is.NoErr(err)
	is.Equal(body, wantEvents(1, 5))
}

// Guards against a stream that starts anew although the caller has sent the ID of
// its last event.
func TestCallerResumes(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, events(5, true))
	_, body, err := f.call("POST", "/stream/", "Last: 3\r\n", "x")
	is.NoErr(err)
	is.Equal(body, wantEvents(4, 5))
	is.Equal(f.requests()[0].header.Get("Last"), "3")
}

// Guards against a stream that looks complete although it broke off and no other
// server can resume it.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	for _, target := range []string{"/once/", "/stream/"} {
		t.Run(target, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, events(3, false))
			_, body, err := f.call("POST", target, "", "x")
			is.True(err != nil)
			is.Equal(body, wantEvents(1, 3))
		})
	}
}

// Guards against a second run of a stream that must not be retried.
func TestStreamThatCannotBeResumedRunsOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, raw(""), raw(""))
	response, _, err := f.call("POST", "/once/", "", "x")
	is.NoErr(err)
	is.Equal(response.StatusCode, 502)
	is.Equal(len(f.requests()), 1)
}

// Guards against events that the caller receives late because they are not
// flushed.
func TestEventsAreFlushed(t *testing.T) {
	is := is.New(t)
	proceed := make(chan struct{})
	f := newFleet(t, func(c net.Conn, _ *bufio.Reader, _ *http.Request) bool {
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nMark: m\r\nTransfer-Encoding: chunked\r\n\r\n")
		chunk(c, "id: 1\ndata: a\n\n")
		<-proceed
		return false
	})
	defer close(proceed)
	c, err := net.Dial("tcp", f.address)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	_, _ = fmt.Fprint(c, "POST /stream/ HTTP/1.1\r\nHost: a.example\r\nId: r1\r\nKey: secret\r\nContent-Length: 1\r\n\r\nx")
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	buffer := make([]byte, 100)
	n, err := response.Body.Read(buffer)
	is.NoErr(err)
	is.Equal(string(buffer[:n]), "id: 1\ndata: a\n\n")
}

// Guards against a stream that continues after its route's timeout.
func TestStreamEndsAtTheTimeout(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, func(c net.Conn, br *bufio.Reader, _ *http.Request) bool {
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nMark: m\r\nTransfer-Encoding: chunked\r\n\r\n")
		chunk(c, "id: 1\ndata: a\n\n")
		_, err := br.ReadByte()
		return err == nil
	})
	begun := time.Now()
	_, body, err := f.call("POST", "/stream/", "Left: 400\r\n", "x")
	is.True(err != nil)
	is.Equal(body, "id: 1\ndata: a\n\n")
	is.True(time.Since(begun) < 800*time.Millisecond)
}

// Guards against a log line that names the timeout or a server as the reason
// when a caller has disconnected from a stream without events, as happens in
// bursts of long prompts.
func TestLogOfACallerThatDisconnectsFromItsStream(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, func(c net.Conn, br *bufio.Reader, _ *http.Request) bool {
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nMark: m\r\nTransfer-Encoding: chunked\r\n\r\n")
		chunk(c, "id: 1\ndata: a\n\n")
		_, err := br.ReadByte()
		return err == nil
	})
	c, err := net.Dial("tcp", f.address)
	is.NoErr(err)
	_, _ = fmt.Fprint(c, "POST /stream/ HTTP/1.1\r\nHost: a.example\r\nId: r1\r\nKey: secret\r\nContent-Length: 1\r\n\r\nx")
	_, err = bufio.NewReader(c).ReadString('a')
	is.NoErr(err)
	_ = c.Close()
	line := f.waitForLine("request ended")
	is.True(strings.Contains(line, `"reason":"caller_gone"`))
	is.True(strings.Contains(line, `"status":499`))
}

// Guards against streams that a stopping gateway accepts and has to break off, and
// against the refusal of requests that it can still serve: while all gateways
// are replaced in turn, there may be no other one (inc-6315).
func TestStoppingGatewayRefusesLongStreams(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, events(2, true))
	f.gateway.CloseConnections()
	f.gateway.RefuseAfter(time.Now().Add(300 * time.Millisecond)) // a stream may take 730 ms
	response, _, err := f.call("POST", "/stream/", "", "x")
	is.NoErr(err)
	is.Equal(response.StatusCode, 503)
	is.True(response.Close)
	is.Equal(len(f.requests()), 0)
	response, _, err = f.call("GET", "/lookup/", "", "")
	is.NoErr(err)
	is.Equal(response.StatusCode, 200)
	f.gateway.RefuseAfter(time.Now().Add(5 * time.Second))
	response, _, err = f.call("POST", "/stream/", "", "x")
	is.NoErr(err)
	is.Equal(response.StatusCode, 200)
}

// Guards against a long event that is searched from its beginning on each read,
// which takes time quadratic in its length: seconds in the fuzz test.
func TestLongEventIsSearchedOnce(t *testing.T) {
	is := is.New(t)
	var buffer eventBuffer
	begun := time.Now()
	for range maxEventBytes {
		buffer.add([]byte("x"))
		is.Equal(buffer.next(), nil)
	}
	buffer.add([]byte("\n"))
	is.Equal(buffer.next(), nil)
	buffer.add([]byte("\n"))
	is.Equal(len(buffer.next()), maxEventBytes+2)
	is.True(time.Since(begun) < 5*time.Second)
}

// Guards against streams that a stopping gateway accepts because the caller's
// estimate of the answer is too short, and then has to break off.
func TestDurationIgnoresTheEstimate(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	x := &exchange{g: f.gateway, table: f.gateway.Table(), route: testTable().Match("a.example", "/stream/"), service: "service", deadline: time.Now().Add(15 * time.Second),
		meta: Meta{MaxAnswerTokens: 4000, AnswerHint: 500, PromptTokens: 10}}
	is.Equal(x.duration(time.Now()).AnswerTokens, 4000) // not 500
	placement := x.placement()
	f.gateway.RefuseAfter(time.Now().Add(4 * time.Second)) // 1 ms a token at least
	is.True(f.gateway.Scheduler.CheckStop(&placement) != nil)
}

func FuzzEventBuffer(f *testing.F) {
	// Guards against bytes that are lost, added or reordered, wherever reads cut
	// the stream.
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\n"), 3)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		cut = max(1, min(cut, max(len(data), 1)))
		var buffer eventBuffer
		var out []byte
		for rest := data; len(rest) > 0; {
			n := min(cut, len(rest))
			buffer.add(rest[:n])
			rest = rest[n:]
			for e := buffer.next(); e != nil; e = buffer.next() {
				eventID(e)
				out = append(out, e...)
			}
		}
		if got := string(out) + string(buffer.rest()); got != string(data) {
			t.Fatalf("%q became %q", data, got)
		}
	})
}
