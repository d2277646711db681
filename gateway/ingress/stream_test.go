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
	is := is.New(t)
	f := newFleet(t, events(5, true))
	response, body, err := f.call("POST", "/stream/", "", "x")
	is.NoErr(err)
	is.Equal(response.Header.Get("Content-Type"), "text/event-stream")
	is.Equal(response.Header.Get("Mark"), "m")
	is.Equal(body, wantEvents(1, 5))
}

// Guards against missing and doubled events when a server dies in the middle
// of one: another server goes on after the last whole event.
func TestStreamGoesOnElsewhere(t *testing.T) {
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

// Guards against doubled events from a server that starts a little before the
// place that was asked for.
func TestRepeatedEventsAreDropped(t *testing.T) {
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

// Guards against a caller's own place that is forgotten.
func TestCallerResumes(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, events(5, true))
	_, body, err := f.call("POST", "/stream/", "Last: 3\r\n", "x")
	is.NoErr(err)
	is.Equal(body, wantEvents(4, 5))
	is.Equal(f.requests()[0].header.Get("Last"), "3")
}

// Guards against a broken stream that looks complete, where no server can go
// on.
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

// Guards against a second run of a stream that must not be repeated.
func TestStreamThatCannotBeResumedRunsOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, raw(""), raw(""))
	response, _, err := f.call("POST", "/once/", "", "x")
	is.NoErr(err)
	is.Equal(response.StatusCode, 502)
	is.Equal(len(f.requests()), 1)
}

// Guards against events that are held back.
func TestEventsAreNotHeldBack(t *testing.T) {
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

// Guards against a stream that goes on past its route's timeout.
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

// Guards against a log that blames the time limit, or a server, when a caller
// has left in the middle of a silent stream (seen in a burst of reviews).
func TestLogOfACallerThatLeftItsStream(t *testing.T) {
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

// Guards against streams that a stopping gateway would have to cut, and
// against the refusal of those that it can still serve: while all gateways are
// replaced in turn, there may be no other (inc-6315).
func TestStoppingGatewayRefusesLongStreams(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, events(2, true))
	f.gateway.CloseConnections()
	f.gateway.RefuseAfter(time.Now().Add(300 * time.Millisecond))
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

// Guards against the search of a long event from its beginning for each read:
// found by the fuzz run, which stood still for seconds.
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

// Guards against streams that a stopping gateway takes on the word of the
// caller's estimate and has to cut (hunt on hanbit-route, mix seed
// 173897548634).
func TestLongestTimeIgnoresTheEstimate(t *testing.T) {
	is := is.New(t)
	x := &exchange{route: testTable().Match("a.example", "/stream/"), meta: Meta{MaxAnswerTokens: 4000, AnswerHint: 500}}
	is.True(x.maxStreamTime() > 4000*loadedTokenTime)
}

func FuzzEventBuffer(f *testing.F) {
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
