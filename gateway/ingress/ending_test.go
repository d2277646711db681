package ingress

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	unframedHead = "HTTP/1.1 200 OK\r\nMark: m\r\nContent-Type: text/event-stream\r\n\r\n"
	chunkedHead  = "HTTP/1.1 200 OK\r\nMark: m\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// lineEndings are the line endings that the events of a stream may have.
var lineEndings = map[string]string{"LF": "\n", "CRLF": "\r\n"}

// cutStream is a stream that a server ends early, in good order.
type cutStream struct {
	name    string
	answer  string // bytes of the answer
	whole   bool   // the end of the stream cannot be told from the end of a whole one
	forward string // the events that the caller gets
}

// cutStreams returns the given events, cut after each byte: without a length and
// ended by the end of the connection, and in chunks with a last chunk.
func cutStreams(events []string) []cutStream {
	var out []cutStream
	body := strings.Join(events, "")
	for n := range len(body) {
		complete := ""
		for _, e := range events {
			if len(complete)+len(e) <= n {
				complete += e
			}
		}
		boundary := len(complete) == n
		out = append(out, cutStream{fmt.Sprintf("unframed, %d bytes", n), unframedHead + body[:n], boundary && n > 0, complete})
		if n > 0 {
			out = append(out, cutStream{fmt.Sprintf("last chunk after %d bytes", n),
				fmt.Sprintf("%s%x\r\n%s\r\n0\r\n\r\n", chunkedHead, n, body[:n]), boundary, complete})
		}
	}
	return out
}

// withLineEnding returns events with another line ending than "\n".
func withLineEnding(ending string, events ...string) []string {
	out := make([]string, len(events))
	for i, e := range events {
		out[i] = strings.ReplaceAll(e, "\n", ending)
	}
	return out
}

// Guards against a stream that its server breaks off inside an event, or before
// the first one, and that looks complete to the caller: the server's connection
// ends in good order, and the answer has no length or has a last chunk.
func TestStreamCutInsideAnEventDoesNotLookComplete(t *testing.T) {
	for name, ending := range lineEndings {
		for _, target := range []string{"/once/", "/stream/"} {
			t.Run(name+target, func(t *testing.T) {
				checkCutStreams(t, target, cutStreams(withLineEnding(ending, "id: 1\ndata: a\n\n", ": x\nid: 2\ndata: b\ndata: c\n\n")))
			})
		}
	}
}

func checkCutStreams(t *testing.T, target string, streams []cutStream) {
	t.Helper()
	for _, s := range streams {
		f := newFleet(t, raw(s.answer))
		response, body, err := f.call("POST", target, "", "x")
		switch {
		case response == nil:
			t.Errorf("%s: no answer: %v", s.name, err)
		case s.forward == "" && response.StatusCode == http.StatusOK:
			t.Errorf("%s: status 200 with body %q, error %v", s.name, body, err)
		case s.forward != "" && body != s.forward:
			t.Errorf("%s: body %q, want %q", s.name, body, s.forward)
		case s.forward != "" && (err == nil) != s.whole:
			t.Errorf("%s: looks whole: %t, want %t", s.name, err == nil, s.whole)
		}
	}
}

// Guards against missing, doubled or partial events if a stream without a length
// breaks off inside an event and another server resumes it.
func TestUnframedStreamResumesOnAnotherServer(t *testing.T) {
	for cut := range len(wantEvents(3, 3)) {
		body := wantEvents(1, 2) + wantEvents(3, 3)[:cut]
		if cut == 0 {
			body = "" // between two events, the end cannot be told from a break
		}
		t.Run(fmt.Sprintf("%d bytes", len(body)), func(t *testing.T) {
			is := is.New(t)
			either := firstThen(raw(unframedHead+body), events(5, true))
			f := newFleet(t, either, either)
			response, got, err := f.call("POST", "/stream/", "", "x")
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusOK)
			is.Equal(got, wantEvents(1, 5))
			is.Equal(len(f.requests()), 2)
		})
	}
}

// Guards against a stream without a length that looks complete although its server
// crashed between two events: the kernel closes the connection in good order.
func TestCrashBetweenEventsDoesNotLookComplete(t *testing.T) {
	for target, want := range map[string]string{"/once/": wantEvents(1, 2), "/stream/": wantEvents(1, 5)} {
		t.Run(target, func(t *testing.T) {
			is := is.New(t)
			var f *fleet
			crash := func(c net.Conn, _ *bufio.Reader, r *http.Request) bool {
				_, _ = io.WriteString(c, unframedHead+wantEvents(1, 2))
				f.closePort(r.Header.Get("Server"))
				return false
			}
			either := firstThen(crash, events(5, true))
			f = newFleet(t, either, either)
			_, body, err := f.call("POST", target, "", "x")
			is.Equal(body, want)
			is.Equal(err == nil, target == "/stream/")
		})
	}
}

// Guards against a part of a plain answer without a length that looks complete
// because its server crashed and the kernel closed the connection in good order.
func TestCrashInAPlainAnswerDoesNotLookComplete(t *testing.T) {
	for target, want := range map[string]int{"/order/": http.StatusBadGateway, "/lookup/": http.StatusOK} {
		t.Run(target, func(t *testing.T) {
			is := is.New(t)
			var f *fleet
			crash := func(c net.Conn, _ *bufio.Reader, r *http.Request) bool {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nMark: m\r\n\r\nhalf of")
				f.closePort(r.Header.Get("Server"))
				return false
			}
			either := firstThen(crash, text(http.StatusOK, "half of it"))
			f = newFleet(t, either, either)
			response, body, err := f.call("POST", target, "", "x")
			is.NoErr(err)
			is.Equal(response.StatusCode, want)
			is.True(body != "half of")
		})
	}
}

// leavingTargets are the kinds of requests, each with a part of an answer, the whole one, and
// whether another server may answer in place of the first.
var leavingTargets = map[string]struct {
	part, whole string
	answer      answer
	repeated    bool
}{
	"/order/":  {"half of", "half of it", text(http.StatusOK, "half of it"), false},
	"/lookup/": {"half of", "half of it", text(http.StatusOK, "half of it"), true},
	"/once/":   {wantEvents(1, 2), wantEvents(1, 5), events(5, true), false},
	"/stream/": {wantEvents(1, 2), wantEvents(1, 5), events(5, true), true},
}

// Guards against a whole answer without a length that counts as broken off because its server
// is leaving, though it still runs.
func TestAnswerOfALeavingServerThatRunsIsWhole(t *testing.T) {
	for _, how := range []leave{leaveDraining, leaveRemoved} {
		for target, c := range leavingTargets {
			t.Run(string(how)+target, func(t *testing.T) {
				is := is.New(t)
				var f *fleet
				leaving := func(conn net.Conn, _ *bufio.Reader, r *http.Request) bool {
					f.leave(r.Header.Get("Server"), how)
					_, _ = io.WriteString(conn, unframedHead+c.whole)
					return false
				}
				f = newFleet(t, leaving, leaving)
				response, body, err := f.call("POST", target, "", "x")
				is.NoErr(err)
				is.Equal(response.StatusCode, http.StatusOK)
				is.Equal(body, c.whole)
				is.Equal(len(f.requests()), 1)
			})
		}
	}
}

// Guards against a part of an answer without a length that looks complete because its
// server, which was leaving, ended in the middle of it. Another server answers in its place
// if the request may be repeated.
func TestAnswerCutByALeavingServerDoesNotLookComplete(t *testing.T) {
	for _, how := range []leave{leaveDraining, leaveRemoved} {
		for target, c := range leavingTargets {
			t.Run(string(how)+target, func(t *testing.T) {
				is := is.New(t)
				var f *fleet
				cut := func(conn net.Conn, _ *bufio.Reader, r *http.Request) bool {
					server := r.Header.Get("Server")
					f.leave(server, how)
					_, _ = io.WriteString(conn, unframedHead+c.part)
					f.closePort(server)
					return false
				}
				either := firstThen(cut, c.answer)
				f = newFleet(t, either, either)
				response, body, err := f.call("POST", target, "", "x")
				if c.repeated {
					is.NoErr(err)
					is.Equal(response.StatusCode, http.StatusOK)
					is.Equal(body, c.whole)
					is.Equal(len(f.requests()), 2)
					return
				}
				is.True(err != nil || response.StatusCode == http.StatusBadGateway)
				is.Equal(len(f.requests()), 1)
			})
		}
	}
}

// Guards against a stream without a length that sent only comments and looks
// complete when its connection ends.
func TestCommentsAreNoEvents(t *testing.T) {
	for _, ending := range lineEndings {
		is := is.New(t)
		f := newFleet(t, raw(unframedHead+": waiting"+ending+ending))
		_, _, err := f.call("POST", "/once/", "", "x")
		is.True(err != nil)
	}
}

// Guards against another server's error answer that is appended to the events of
// a stream and ends it as if it were complete.
func TestErrorAnswerDoesNotEndAResumedStream(t *testing.T) {
	for _, status := range []int{301, 404, 429, 500} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			is := is.New(t)
			either := firstThen(events(3, false), text(status, "an error"))
			f := newFleet(t, either, either)
			_, body, err := f.call("POST", "/stream/", "", "x")
			is.True(err != nil)
			is.Equal(body, wantEvents(1, 3))
			is.Equal(len(f.requests()), 2)
		})
	}
}

// Guards against headers of a server on an answer of the gateway itself: the
// server began a stream and broke it off before the first event.
func TestFailureHasNoHeaderOfAServer(t *testing.T) {
	for name, answer := range map[string]string{
		"unframed, no event":         unframedHead,
		"unframed, half an event":    unframedHead + "id: 1\nda",
		"chunked, no last chunk":     chunkedHead,
		"chunked, half an event":     chunkedHead + "8\r\nid: 1\nda\r\n",
		"length, half an event":      "HTTP/1.1 200 OK\r\nMark: m\r\nContent-Type: text/event-stream\r\nContent-Length: 99\r\n\r\nid: 1\nda",
		"chunked, damaged chunk":     chunkedHead + "zz\r\n",
		"last chunk inside an event": chunkedHead + "8\r\nid: 1\nda\r\n0\r\n\r\n",
	} {
		for _, target := range []string{"/once/", "/stream/"} {
			t.Run(name+target, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, raw(answer), raw(answer))
				response, body, err := f.call("POST", target, "", "x")
				is.NoErr(err)
				is.Equal(response.StatusCode, http.StatusBadGateway)
				is.Equal(body, "")
				for _, header := range []string{"Mark", "Id", "Content-Type"} {
					is.Equal(response.Header.Values(header), nil)
				}
			})
		}
	}
}

// Guards against headers of a server that broke off before its first event, on the
// stream of the server that took its place.
func TestResumedStreamHasTheHeadersOfItsServer(t *testing.T) {
	is := is.New(t)
	first := "HTTP/1.1 200 OK\r\nMark: first\r\nWarning: first\r\nTransfer-Encoding: chunked\r\n\r\n"
	either := firstThen(raw(first), events(2, true))
	f := newFleet(t, either, either)
	response, body, err := f.call("POST", "/stream/", "", "x")
	is.NoErr(err)
	is.Equal(body, wantEvents(1, 2))
	is.Equal(response.Header.Get("Mark"), "m")
	is.Equal(response.Header.Values("Warning"), nil)
}

// Guards against a stream whose 2xx status is replaced by 200.
func TestStatusOfAStreamIsForwarded(t *testing.T) {
	for status, answer := range map[int]string{
		http.StatusCreated:   "HTTP/1.1 201 X\r\nMark: m\r\n\r\n" + wantEvents(1, 2),
		http.StatusNoContent: "HTTP/1.1 204 X\r\nMark: m\r\n\r\n",
	} {
		is := is.New(t)
		f := newFleet(t, raw(answer))
		response, _, err := f.call("POST", "/stream/", "", "x")
		is.NoErr(err)
		is.Equal(response.StatusCode, status)
	}
}

// Guards against events that the caller gets twice: those after the last event
// with an id are sent again by the server that resumes the stream.
func TestStreamIsNotResumedAfterEventsWithoutID(t *testing.T) {
	for name, c := range map[string]struct {
		body    string // of the server that breaks off
		resumed bool
	}{
		"no ids":             {"data: a\n\ndata: b\n\nda", false},
		"last one has none":  {wantEvents(1, 1) + "data: b\n\nda", false},
		"id is not a number": {"id: x\ndata: a\n\nda", false},
		"id after it":        {"data: a\n\n" + wantEvents(2, 2) + "da", true},
		"only comments":      {wantEvents(1, 2) + ": waiting\n\nda", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			either := firstThen(raw(unframedHead+c.body), events(5, true))
			f := newFleet(t, either, either)
			_, body, err := f.call("POST", "/stream/", "", "x")
			is.Equal(err == nil, c.resumed)
			forwarded := strings.TrimSuffix(c.body, "da")
			if c.resumed {
				forwarded += wantEvents(3, 5)
			}
			is.Equal(body, forwarded)
		})
	}
}

// Guards against a broken-off stream that looks complete to an HTTP/1.0 caller,
// whose answer has no chunks and ends with its connection.
func TestBrokenStreamIsResetForHTTP10(t *testing.T) {
	for name, c := range map[string]struct {
		answer answer
		err    error
	}{
		"broken": {events(3, false), syscall.ECONNRESET},
		"whole":  {events(3, true), nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, c.answer)
			conn, err := net.Dial("tcp", f.address)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
			_, err = io.WriteString(conn, "POST /once/ HTTP/1.0\r\nHost: a.example\r\nKey: secret\r\nId: r1\r\nContent-Length: 1\r\n\r\nx")
			is.NoErr(err)
			_, err = io.ReadAll(conn)
			is.True(errors.Is(err, c.err))
		})
	}
}

// Guards against a failure in place of the answer to HEAD, which has no body and so
// no event.
func TestHeadOfAStreamIsForwarded(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, raw(unframedHead))
	response, _, err := f.call("HEAD", "/once/", "", "")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(response.Header.Get("Mark"), "m")
}

// Guards against a request that waits until its deadline for the rest of a refusal,
// although the head says that another server may get it.
func TestRefusalWithoutEndIsRetried(t *testing.T) {
	for name, head := range map[string]string{
		"length":   "Content-Length: 9\r\n",
		"chunks":   "Transfer-Encoding: chunked\r\n",
		"unframed": "",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			unended := func(c net.Conn, br *bufio.Reader, _ *http.Request) bool {
				_, _ = io.WriteString(c, "HTTP/1.1 503 X\r\nNot-Run: 1\r\nId: r1\r\n"+head+"\r\n")
				_, _ = br.ReadByte() // ends when the gateway closes the connection
				return false
			}
			either := firstThen(unended, text(http.StatusOK, "served"))
			f := newFleet(t, either, either)
			started := time.Now()
			response, body, err := f.call("POST", "/order/", "", "x")
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusOK)
			is.Equal(body, "served")
			is.True(time.Since(started) < time.Second) // the route's timeout is 2 s
		})
	}
}

// Guards against an order that may have run and whose caller is told that it has not:
// a server answers with the status of a refusal and does not state that it is one.
func TestPromiseThatIsNotStatedIsNotForwarded(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for target, want := range map[string]int{"/order/": http.StatusBadGateway, "/once/": http.StatusBadGateway, "/lookup/": status, "/stream/": status} {
			t.Run(fmt.Sprint(status, target), func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, text(status, "busy"))
				response, _, err := f.call("POST", target, "", "x")
				is.NoErr(err)
				is.Equal(response.StatusCode, want)
				is.Equal(response.Header.Get("Mark") != "", want == status)
			})
		}
	}
}

// errorAnswers are answers of a server that does not serve the rest of a stream, by
// status, framing and body; some bodies look like events.
func errorAnswers() map[string]string {
	bodies := map[string]string{"text": "out of memory", "events": "id: 4\ndata: error\n\n", "head": "HTTP/1.1 500 X\r\n\r\n", "empty": ""}
	out := map[string]string{}
	for _, status := range []int{301, 400, 404, 408, 421, 429, 500, 503, 504} {
		for shape, body := range bodies {
			for _, mark := range []string{"Mark: other", "Not-Run: 1", "Unmarked: 1"} {
				head := fmt.Sprintf("HTTP/1.1 %d X\r\n%s\r\nId: r1\r\nContent-Type: text/event-stream\r\n", status, mark)
				name := fmt.Sprintf("%d %s %s", status, shape, mark)
				out[name+" length"] = fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
				out[name+" close"] = head + "\r\n" + body
				if body != "" {
					out[name+" chunks"] = fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
				}
			}
		}
	}
	return out
}

// Guards against an error answer, or a part of it, in the middle of a stream that had
// begun, and against a stream that looks complete after it: the second of two servers
// answers the rest with an error.
func TestErrorOfTheNextServerIsNotInTheStream(t *testing.T) {
	for name, answer := range errorAnswers() {
		either := firstThen(events(3, false), raw(answer))
		f := newFleet(t, either, either)
		response, body, err := f.call("POST", "/stream/", "", "x")
		switch {
		case response == nil || response.StatusCode != http.StatusOK:
			t.Errorf("%s: the stream did not begin: %v", name, err)
		case err == nil:
			t.Errorf("%s: the stream looks complete", name)
		case body != wantEvents(1, 3):
			t.Errorf("%s: the caller has %q", name, body)
		case response.Header.Get("Mark") != "m":
			t.Errorf("%s: the stamp is %q", name, response.Header.Get("Mark"))
		}
	}
}
