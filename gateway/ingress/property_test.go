package ingress

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"camphorwick.dev/policy/retry"
)

// lastEvent is the last event of each stream in the property tests.
const lastEvent = 5

// behaviour is how a server answers one send.
type behaviour struct {
	name string
	// mayRun is set if the gateway cannot exclude that the request ran.
	mayRun bool
	// answer returns the answer to send n.
	answer func(n int) answer
}

// behaviours are the possible answers to orders and lookups.
var behaviours = []behaviour{
	{"good", true, func(n int) answer { return text(200, answerOf(n)) }},
	{"late", true, func(n int) answer { return delayed(text(200, answerOf(n))) }},
	{"refusal", false, func(int) answer { return refusal }},
	{"late refusal", false, func(int) answer { return delayed(refusal) }},
	{"error", true, func(n int) answer { return text(500, answerOf(n)) }},
	{"closed", true, func(int) answer { return raw("") }},
	{"cut body", true, func(n int) answer {
		return raw("HTTP/1.1 200 OK\r\nMark: m\r\nContent-Length: 99\r\n\r\n" + answerOf(n))
	}},
	{"cut head", true, func(int) answer { return raw("HTTP/1.1 200 OK\r\nMa") }},
	{"unmarked", true, func(n int) answer { return raw("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n" + answerOf(n)) }},
	{"unmarked refusal", true, func(int) answer { return raw("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n") }},
}

// streamBehaviours are the possible answers to streams.
var streamBehaviours = []behaviour{
	{"good", true, func(int) answer { return events(lastEvent, true) }},
	{"late", true, func(int) answer { return delayed(events(lastEvent, true)) }},
	{"refusal", false, func(int) answer { return refusal }},
	{"closed", true, func(int) answer { return raw("") }},
	{"cut before the first event", true, func(int) answer { return events(0, false) }},
	{"good from the first event on", true, func(int) answer { return fromFirstEvent(events(lastEvent, true)) }},
	{"cut after two events", true, func(int) answer { return events(2, false) }},
	{"unmarked", true, func(int) answer {
		return raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	}},
}

func answerOf(n int) string { return fmt.Sprintf("answer %d", n) }

func delayed(a answer) answer {
	return func(c net.Conn, br *bufio.Reader, r *http.Request) bool {
		time.Sleep(5 * time.Millisecond)
		return a(c, br, r)
	}
}

// fromFirstEvent ignores the caller's last event and answers with all events.
func fromFirstEvent(a answer) answer {
	return func(c net.Conn, br *bufio.Reader, r *http.Request) bool {
		r.Header.Del("Last")
		return a(c, br, r)
	}
}

// script assigns a behaviour to each send of a request, in the order of
// arrival.
type script struct {
	mu    sync.Mutex
	steps []behaviour
	sends int
}

func (s *script) begin(steps []behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.steps, s.sends = steps, 0
}

func (s *script) answer(c net.Conn, br *bufio.Reader, r *http.Request) bool {
	s.mu.Lock()
	n := s.sends
	s.sends++
	s.mu.Unlock()
	return s.step(n).answer(n)(c, br, r)
}

// step returns the behaviour of send n; the last one applies to all further
// sends.
func (s *script) step(n int) behaviour {
	if n < len(s.steps) {
		return s.steps[n]
	}
	return s.steps[len(s.steps)-1]
}

// behavioursSoFar returns the behaviours of the sends so far.
func (s *script) behavioursSoFar() []behaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []behaviour
	for n := range s.sends {
		out = append(out, s.step(n))
	}
	return out
}

// result is the answer that the caller received.
type result struct {
	status     int
	retryAfter string
	body       string
	err        error
}

// newScriptedFleet starts a gateway with three servers that follow a script,
// and with a budget that allows all retries.
func newScriptedFleet(t *testing.T) (*fleet, *script) {
	s := &script{}
	f := newFleet(t, s.answer, s.answer, s.answer)
	f.gateway.Budget = retry.WindowConfig{Span: 10 * time.Second, Ratio: 1, Extra: 1e6}
	return f, s
}

func (f *fleet) ask(method, target string) result {
	response, body, err := f.call(method, target, "", "x")
	if response == nil {
		return result{err: err}
	}
	return result{status: response.StatusCode, retryAfter: response.Header.Get("Retry-After"), body: body, err: err}
}

// checkGuarantees checks what must hold for every request: it runs and is sent
// no more often than allowed, and a refused request has not run and gets a
// Retry-After.
func checkGuarantees(t *rapid.T, sends []behaviour, maxRuns int, got result) {
	runs := 0
	for _, s := range sends {
		if s.mayRun {
			runs++
		}
	}
	if runs > maxRuns {
		t.Fatalf("%d sends may have run, at most %d are allowed", runs, maxRuns)
	}
	if len(sends) > maxSends {
		t.Fatalf("%d sends", len(sends))
	}
	refused := got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests
	if refused && runs > 0 {
		t.Fatalf("refused with %d, but %d sends may have run", got.status, runs)
	}
	if refused && got.retryAfter == "" {
		t.Fatal("refusal without Retry-After")
	}
}

// Guards against orders that run twice, lookups sent to too many servers,
// refusals of requests that may have run, and answers that are incomplete or
// mixed from two servers, for random sequences of server behaviours.
func TestGuaranteesOfCompleteAnswers(t *testing.T) {
	f, s := newScriptedFleet(t)
	rapid.Check(t, func(t *rapid.T) {
		steps := rapid.SliceOfN(rapid.SampledFrom(behaviours), 1, 5).Draw(t, "behaviours")
		order := rapid.Bool().Draw(t, "order")
		s.begin(steps)
		method, target, maxRuns := "GET", "/lookup/", 2
		if order {
			method, target, maxRuns = "POST", "/order/", 1
		}
		got := f.ask(method, target)
		sends := s.behavioursSoFar()
		checkGuarantees(t, sends, maxRuns, got)
		if got.err != nil {
			t.Fatalf("incomplete answer: %v", got.err)
		}
		if got.status != http.StatusOK && got.status != http.StatusInternalServerError {
			return
		}
		// The body names the send that it answers.
		n, err := strconv.Atoi(strings.TrimPrefix(got.body, "answer "))
		if err != nil || n >= len(sends) {
			t.Fatalf("body %q is not the answer of a server", got.body)
		}
		if name := sends[n].name; got.status == http.StatusOK && name != "good" && name != "late" || got.status != http.StatusOK && name != "error" {
			t.Fatalf("status %d with the answer of send %d (%s)", got.status, n, name)
		}
	})
}

// Guards against streams with missing, duplicate or reordered events, against
// incomplete streams that look complete, and against a second run of streams
// that may run only once.
func TestGuaranteesOfStreams(t *testing.T) {
	f, s := newScriptedFleet(t)
	rapid.Check(t, func(t *rapid.T) {
		steps := rapid.SliceOfN(rapid.SampledFrom(streamBehaviours), 1, 5).Draw(t, "behaviours")
		once := rapid.Bool().Draw(t, "once")
		s.begin(steps)
		target, maxRuns := "/stream/", 2
		if once {
			target, maxRuns = "/once/", 1
		}
		got := f.ask("POST", target)
		sends := s.behavioursSoFar()
		checkGuarantees(t, sends, maxRuns, got)
		if got.status != http.StatusOK {
			return
		}
		complete := wantEvents(1, lastEvent)
		if got.err == nil && got.body != complete {
			t.Fatalf("answer that looks complete has the events %q", got.body)
		}
		if !strings.HasPrefix(complete, got.body) {
			t.Fatalf("missing, duplicate or mixed events: %q (%v)", got.body, got.err)
		}
		if last := sends[len(sends)-1].name; got.err != nil && (last == "late" || strings.HasPrefix(last, "good")) {
			t.Fatalf("answer ends early although the last server answered completely: %v", got.err)
		}
	})
}
