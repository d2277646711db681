package ingress

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"pgregory.net/rapid"

	"camphorwick.dev/gateway/upstream"
)

// lastEvent is the last event of each stream in the property tests.
const lastEvent = 4

// bytesEnd is what follows the last byte that a server sends of its answer.
type bytesEnd string

const (
	endClosed  bytesEnd = "closed"        // the connection is closed in good order
	endReset   bytesEnd = "reset"         // the connection is reset
	endSilence bytesEnd = "silence"       // nothing, until the gateway closes the connection
	endKept    bytesEnd = "kept"          // the connection is kept; whole answers only
	endExtra   bytesEnd = "extra bytes"   // bytes of no answer; whole answers only
	endSecond  bytesEnd = "second answer" // the same answer again; whole answers only
)

// modelAnswer is a server's answer to one send, as a test draws it.
type modelAnswer struct {
	send     int // number of the send
	status   int
	refusal  bool // it states that the request did not run
	stamped  bool
	named    bool // it names the request
	interim  bool // a 100 comes before it
	foreign  bool // an answer to another request comes before it
	framing  upstream.Framing
	http10   bool
	closing  bool // Connection: close
	crlf     bool // line ending of a stream's events
	comments bool // comments inside of and between events
	note     int  // an event without an id follows the event with this id; 0 for none
	chunk    int  // size of the chunks
	cut      int  // number of bytes sent; beyond the answer's length if it is whole
	end      bytesEnd
	leave    leave // the server leaves while it answers
}

// leave is how a server leaves the registry. Its answer under way is not affected.
type leave string

const (
	leaveNot      leave = ""
	leaveDraining leave = "draining"
	leaveRemoved  leave = "removed"
)

// encoded is the encoding of a modelAnswer.
type encoded struct {
	bytes   string
	headEnd int
	body    string
	// dataEnds holds, for each byte of the body, how many bytes must be sent until
	// it has arrived.
	dataEnds []int
	blocks   []block // of a stream
}

// block is a part of a stream up to an empty line.
type block struct {
	text    string
	comment bool
	id      int // 0 for none
}

func drawAnswer(t *rapid.T, send int, stream bool) modelAnswer {
	label := func(name string) string { return fmt.Sprintf("%s %d", name, send) }
	a := modelAnswer{send: send, status: rapid.SampledFrom([]int{200, 200, 200, 200, 200, 200, 200, 201, 404, 408, 429, 500, 503}).Draw(t, label("status")),
		stamped:  rapid.IntRange(0, 9).Draw(t, label("stamped")) > 0,
		named:    rapid.Bool().Draw(t, label("named")),
		interim:  rapid.IntRange(0, 4).Draw(t, label("interim")) == 0,
		foreign:  rapid.IntRange(0, 4).Draw(t, label("foreign")) == 0,
		framing:  rapid.SampledFrom([]upstream.Framing{upstream.FramedByLength, upstream.FramedByChunks, upstream.FramedByClose}).Draw(t, label("framing")),
		http10:   rapid.IntRange(0, 4).Draw(t, label("HTTP/1.0")) == 0,
		closing:  rapid.IntRange(0, 4).Draw(t, label("close")) == 0,
		crlf:     rapid.Bool().Draw(t, label("CRLF")),
		comments: rapid.Bool().Draw(t, label("comments")),
		chunk:    rapid.IntRange(1, 40).Draw(t, label("chunk")),
		leave:    rapid.SampledFrom([]leave{leaveNot, leaveNot, leaveDraining, leaveRemoved}).Draw(t, label("leave")),
	}
	a.refusal = isPromise(a.status) && rapid.IntRange(0, 2).Draw(t, label("refusal")) > 0
	if rapid.IntRange(0, 2).Draw(t, label("note")) == 0 {
		a.note = rapid.IntRange(1, lastEvent).Draw(t, label("note after"))
	}
	a.http10 = a.http10 && a.framing != upstream.FramedByChunks
	a.drawEnd(t, label, stream)
	return a
}

func (a *modelAnswer) drawEnd(t *rapid.T, label func(string) string, stream bool) {
	whole := !rapid.Bool().Draw(t, label("cut"))
	a.cut = math.MaxInt
	if !whole {
		a.cut = rapid.IntRange(0, len(a.encode(0, stream).bytes)-1).Draw(t, label("bytes"))
	}
	ends := slices.Repeat([]bytesEnd{endClosed}, 12) // silence takes time, so it is rare
	ends = append(ends, endReset, endReset, endReset, endSilence)
	if whole && a.framing != upstream.FramedByClose {
		ends = append(ends, slices.Repeat([]bytesEnd{endKept, endExtra, endSecond}, 6)...)
	}
	a.end = rapid.SampledFrom(ends).Draw(t, label("end"))
	// A second answer may arrive after the next request was sent. Then only the name
	// tells them apart, which the users' servers always state.
	a.named = a.named || a.end == endSecond
}

// encode encodes the answer to a request whose caller has the event after.
func (a *modelAnswer) encode(after int, stream bool) encoded {
	e := encoded{body: fmt.Sprintf("answer %d of %d", a.send, a.status)}
	if stream && a.status < http.StatusMultipleChoices {
		e.blocks = a.stream(after)
		e.body = ""
		for _, b := range e.blocks {
			e.body += b.text
		}
	}
	e.bytes = a.head(len(e.body))
	e.headEnd = len(e.bytes)
	for rest := e.body; rest != ""; {
		part := rest
		if a.framing == upstream.FramedByChunks {
			part = rest[:min(a.chunk, len(rest))]
			e.bytes += fmt.Sprintf("%x\r\n", len(part))
		}
		for i := range len(part) {
			e.dataEnds = append(e.dataEnds, len(e.bytes)+i+1)
		}
		e.bytes += part
		if a.framing == upstream.FramedByChunks {
			e.bytes += "\r\n"
		}
		rest = rest[len(part):]
	}
	if a.framing == upstream.FramedByChunks {
		e.bytes += "0\r\n\r\n"
	}
	return e
}

// head returns the head of the answer and what comes before it.
func (a *modelAnswer) head(bodyLength int) string {
	var h strings.Builder
	if a.interim {
		h.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
	}
	if a.foreign {
		h.WriteString("HTTP/1.1 200 OK\r\nMark: other\r\nId: other\r\nContent-Length: 5\r\n\r\nother")
	}
	proto := "HTTP/1.1"
	if a.http10 {
		proto = "HTTP/1.0"
	}
	fmt.Fprintf(&h, "%s %d X\r\nFrom-%d: x\r\n", proto, a.status, a.send)
	for _, line := range []struct {
		text string
		on   bool
	}{
		{"Mark: m" + strconv.Itoa(a.send), a.stamped && !a.refusal},
		{"Not-Run: 1", a.refusal},
		{"Id: r1", a.named},
		{"Connection: close", a.closing},
		{"Content-Length: " + strconv.Itoa(bodyLength), a.framing == upstream.FramedByLength},
		{"Transfer-Encoding: chunked", a.framing == upstream.FramedByChunks},
	} {
		if line.on {
			h.WriteString(line.text + "\r\n")
		}
	}
	h.WriteString("\r\n")
	return h.String()
}

// stream returns the events after the given one.
func (a *modelAnswer) stream(after int) []block {
	var out []block
	add := func(b block) {
		if a.crlf {
			b.text = strings.ReplaceAll(b.text, "\n", "\r\n")
		}
		out = append(out, b)
	}
	note := block{text: "data: note\n\n"}
	if after > 0 && after == a.note {
		add(note)
	}
	for id := after + 1; id <= lastEvent; id++ {
		inside := ""
		if a.comments {
			add(block{text: ": waiting\n\n", comment: true})
			inside = ": comment\n"
		}
		add(block{text: fmt.Sprintf("id: %d\n%sdata: send %d\ndata: event %d\n\n", id, inside, a.send, id), id: id})
		if id == a.note {
			add(note)
		}
	}
	return out
}

// bodySent returns the part of the body that is sent.
func (a *modelAnswer) bodySent(e encoded) string {
	n := 0
	for n < len(e.dataEnds) && e.dataEnds[n] <= a.cut {
		n++
	}
	return e.body[:n]
}

// framedWhole reports whether the answer ends where its framing says.
func (a *modelAnswer) framedWhole(e encoded) bool {
	switch {
	case a.cut < e.headEnd:
		return false
	case a.framing == upstream.FramedByClose:
		return a.end == endClosed
	case a.framing == upstream.FramedByLength:
		return len(a.bodySent(e)) == len(e.body)
	}
	return a.cut >= len(e.bytes)
}

// isPromise reports whether a status tells callers that their request has not run
// and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// outcome is what the caller must see.
type outcome struct {
	status int // 0: the gateway fails the request
	from   int // send whose headers the answer has
	body   string
	whole  bool
	// runs is the number of sends after which the request may have run.
	runs int
	// sends is the number of sends until the answer or the silence that decides.
	sends int
	// timeUp is set if the time of the request passes.
	timeUp bool
}

// expect returns what a caller must see of the answers of the sends of one request,
// as the users' pages have it.
func expect(answers []modelAnswer, stream, repeatable bool) outcome {
	var o outcome
	after, held, begun, unnumbered := 0, -1, false, false
	for n := range answers {
		a := &answers[n]
		e := a.encode(after, stream)
		o.sends = n + 1
		// A refusal, an answer without a stamp and a false promise are known by their
		// heads.
		unread := a.cut >= e.headEnd && (!a.stamped || a.refusal || !repeatable && isPromise(a.status))
		o.timeUp = a.end == endSilence && !a.framedWhole(e) && !unread
		switch {
		case a.cut >= e.headEnd && a.refusal && a.named: // has not run
		case a.cut < e.headEnd, !a.stamped, a.refusal, !repeatable && isPromise(a.status): // may have run
			o.runs++
		case stream && a.status < http.StatusMultipleChoices:
			o.runs++
			events, sent := 0, a.bodySent(e)
			for _, b := range e.blocks {
				if !strings.HasPrefix(sent, b.text) {
					break
				}
				sent = sent[len(b.text):]
				if !begun {
					begun, o.status, o.from = true, a.status, n
				}
				o.body += b.text
				if b.id > 0 {
					after, unnumbered = b.id, false
				} else if !b.comment {
					unnumbered = true
				}
				if !b.comment {
					events++
				}
			}
			if a.framedWhole(e) && sent == "" && (events > 0 || a.framing != upstream.FramedByClose) {
				if !begun {
					o.status, o.from = a.status, n
				}
				o.whole = true
				return o
			}
		case a.framedWhole(e) && a.status < http.StatusInternalServerError && !begun:
			o.runs++
			return outcome{status: a.status, from: n, body: a.bodySent(e), whole: true, runs: o.runs}
		default:
			o.runs++
			if a.framedWhole(e) && a.status >= http.StatusInternalServerError {
				held = n
			}
		}
		if o.timeUp || unnumbered || o.runs > 0 && !repeatable || o.runs == 2 {
			break
		}
	}
	if held >= 0 && !begun && !o.timeUp {
		e := answers[held].encode(0, stream)
		return outcome{status: answers[held].status, from: held, body: answers[held].bodySent(e), whole: true, runs: o.runs}
	}
	return o
}
