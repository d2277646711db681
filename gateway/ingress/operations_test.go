package ingress

import (
	"bufio"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// linesOf returns the log lines of a request, found by its ID as
// docs/OPERATIONS.md describes.
func (f *fleet) linesOf(id string) []map[string]any {
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	var lines []map[string]any
	for _, text := range strings.Split(f.log.b.String(), "\n") {
		var line map[string]any
		if json.Unmarshal([]byte(text), &line) == nil && line["request_id"] == id {
			lines = append(lines, line)
		}
	}
	return lines
}

// has reports whether a line contains all of the fields.
func has(line map[string]any, fields map[string]any) bool {
	for name, want := range fields {
		if line[name] != want {
			return false
		}
	}
	return true
}

// Guards against log lines or fields that docs/OPERATIONS.md names and that no
// longer exist: in each of its cases, the lines found by the request's ID
// must lead to the cause.
func TestOperationsPageLeadsToTheCause(t *testing.T) {
	hang := func(_ net.Conn, br *bufio.Reader, _ *http.Request) bool {
		_, err := br.ReadByte()
		return err == nil
	}
	for _, c := range []struct {
		name    string
		answers []answer
		before  func(f *fleet) // called before the request; nil for none
		target  string
		headers string
		want    []map[string]any
	}{
		{
			name: "refused under load", answers: []answer{hang}, target: "/stream/", headers: "Tokens: 100\r\nLeft: 300\r\n",
			before: func(f *fleet) {
				for range 4 {
					go func() { _, _, _ = f.call("POST", "/stream/", "Tokens: 100\r\nId: other\r\n", "x") }()
				}
				for len(f.requests()) < 4 {
					time.Sleep(time.Millisecond)
				}
			},
			want: []map[string]any{{"msg": "request not placed", "reason": "overloaded", "service": "service"},
				{"msg": "request ended", "status": 503.0, "reason": "overloaded", "sends": 0.0, "ran": 0.0}},
		},
		{
			name: "broken stream", answers: []answer{events(3, false)}, target: "/stream/",
			want: []map[string]any{{"msg": "stream broken", "server": "s0", "last_event": "3"},
				{"msg": "request ended", "status": 502.0, "sends": 1.0, "ran": 1.0}},
		},
		{
			name: "answer that ended early", answers: []answer{raw(unframedHead + wantEvents(1, 3) + "id: 4\nda")}, target: "/once/",
			want: []map[string]any{{"msg": "stream broken", "server": "s0", "last_event": "3", "framing": "close", "ending": "inside_event", "events": 3.0},
				{"msg": "request ended", "status": 502.0, "reason": "answer_broken", "sends": 1.0, "framing": "close", "ending": "inside_event"}},
		},
		{
			name: "answer cut at its time limit", answers: []answer{unframedUntil(0.985)}, target: "/stream/", headers: "Left: 1900\r\n",
			want: []map[string]any{{"msg": "answer stopped at its time limit", "server": "s0", "last_event": "2", "ending": "at_time_limit"},
				{"msg": "request ended", "status": 502.0, "reason": "timeout", "framing": "close", "ending": "at_time_limit", "events": 2.0}},
		},
		{
			name: "refused by a gateway that stops", answers: []answer{hang}, target: "/stream/", headers: "Tokens: 100\r\n",
			before: func(f *fleet) { f.gateway.RefuseAfter(time.Now().Add(50 * time.Millisecond)) },
			want: []map[string]any{{"msg": "request not placed", "reason": "stopping", "service": "service"},
				{"msg": "request ended", "status": 503.0, "reason": "stopping", "sends": 0.0, "ran": 0.0}},
		},
		{
			name: "order without an answer", answers: []answer{raw("")}, target: "/order/7",
			want: []map[string]any{{"msg": "send failed", "server": "s0", "sent": true},
				{"msg": "request ended", "status": 502.0, "reason": "no_answer", "route": "/order/", "config": 1.0, "server": "s0", "ran": 1.0}},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, c.answers...)
			if c.before != nil {
				c.before(f)
			}
			_, _, _ = f.call("POST", c.target, c.headers, "x") // the failure is expected
			lines := f.linesOf("r1")
			for _, want := range c.want {
				found := false
				for _, line := range lines {
					found = found || has(line, want)
				}
				if !found {
					t.Errorf("no line with %v among %v", want, lines)
				}
			}
			is.Equal(lines[len(lines)-1]["msg"], "request ended")
		})
	}
}

// Guards against a failure that is answered but not logged.
func TestFailureIsLogged(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, raw(""))
	_, _, err := f.call("POST", "/order/7", "", "x")
	is.NoErr(err)
	lines := f.linesOf("r1")
	is.Equal(len(lines), 2)
	is.True(has(lines[0], map[string]any{"msg": "send failed", "server": "s0", "sent": true}))
	is.True(has(lines[1], map[string]any{"msg": "request ended", "status": 502.0, "reason": "no_answer"}))
}

// Guards against a line that names another server than the one whose answer the
// caller has: the error answer of the first server is kept while a second one fails.
func TestKeptAnswerIsLoggedWithItsServer(t *testing.T) {
	is := is.New(t)
	either := firstThen(text(http.StatusInternalServerError, "an error"), raw(unframedHead[:20]))
	f := newFleet(t, either, either)
	response, _, err := f.call("GET", "/lookup/", "", "")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusInternalServerError)
	f.waitForLine("request ended")
	lines, first := f.linesOf("r1"), f.requests()[0].server
	want := map[string]any{"status": 500.0, "server": first, "framing": "length", "ending": "whole", "sends": 2.0}
	if got := lines[len(lines)-1]; !has(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}

// Guards against an answer that ended early without a trace in the logs: the last
// line must say how the answer was framed, how it ended and after how many events.
func TestEndOfAnAnswerIsLogged(t *testing.T) {
	const unframed = "HTTP/1.1 200 OK\r\nMark: m\r\n\r\n"
	const chunked = "HTTP/1.1 200 OK\r\nMark: m\r\nTransfer-Encoding: chunked\r\n\r\n"
	const event = "id: 1\ndata: a\n\n"
	for _, c := range []struct {
		name, target, answer string
		framing, ending      string
		events               float64
	}{
		{"unframed, inside an event", "/once/", unframed + event + "id: 2\nda", "close", "inside_event", 1},
		{"unframed, inside the first event", "/once/", unframed + "id: 1\nda", "close", "inside_event", 0},
		{"unframed, no event", "/once/", unframed, "close", "before_first_event", 0},
		{"unframed, whole", "/once/", unframed + event, "close", "whole", 1},
		{"chunked, inside an event", "/once/", chunked + "8\r\nid: 1\nda\r\n0\r\n\r\n", "chunks", "inside_event", 0},
		{"chunked, no last chunk", "/once/", chunked + "f\r\n" + event + "\r\n", "chunks", "broken_off", 1},
		{"cut order", "/order/7", "HTTP/1.1 200 OK\r\nMark: m\r\nContent-Length: 9\r\n\r\nhalf", "length", "broken_off", 0},
		{"unframed order", "/order/7", unframed + "ok", "close", "whole", 0},
		{"no answer", "/order/7", "", "", "", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, raw(c.answer))
			_, _, _ = f.call("POST", c.target, "", "x")
			f.waitForLine("request ended")
			lines := f.linesOf("r1")
			want := map[string]any{"framing": c.framing, "ending": c.ending, "events": c.events}
			if got := lines[len(lines)-1]; !has(got, want) {
				t.Errorf("%v, want %v", got, want)
			}
		})
	}
}
