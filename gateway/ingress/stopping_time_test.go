package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/gateway/routing"
)

// paced answers with events in chunks, the first one at once and the others after a pause each.
func paced(count int, pause time.Duration) answer {
	return func(c net.Conn, _ *bufio.Reader, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nMark: m\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		first, _ := strconv.Atoi(r.Header.Get("Last"))
		for id := first + 1; id <= count; id++ {
			chunk(c, fmt.Sprintf("id: %d\ndata: e%d\n\n", id, id))
			if id < count {
				time.Sleep(pause)
			}
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
}

// after answers after a time.
func after(d time.Duration, a answer) answer {
	return func(c net.Conn, br *bufio.Reader, r *http.Request) bool {
		time.Sleep(d)
		return a(c, br, r)
	}
}

// stoppingCase is a request that reaches a gateway which stops.
type stoppingCase struct {
	name            string
	target, headers string
	server          answer
	change          func(c *routing.Config) // of the configuration; nil for none
	earlier         int                     // such requests that ended before the stop
	left            time.Duration           // until the gateway stops
	taken           bool                    // the gateway can finish it
}

const withPrompt = "Tokens: 100\r\n"

// latencyTarget returns a change of the latency target of all routes.
func latencyTarget(target time.Duration) func(c *routing.Config) {
	return func(c *routing.Config) {
		for i := range c.Routes {
			c.Routes[i].LatencyTarget = target
		}
	}
}

// stepMillis returns a change of the time of a token in the model of the engines.
func stepMillis(millis float64) func(c *routing.Config) {
	return func(c *routing.Config) { c.Services[0].Engine.StepMillis = millis }
}

// Guards against requests that a stopping gateway takes and cannot finish, and against the
// refusal of those that it can: while all gateways are replaced in turn, there may be no other
// one. Answers have 100 tokens, 10 in an event; by the model a token takes 1 ms.
func TestStoppingGatewayTakesWhatItCanFinish(t *testing.T) {
	for _, c := range []stoppingCase{
		{name: "slow engine by its model", target: "/stream/", headers: withPrompt, server: events(2, true), change: stepMillis(40), left: 1500 * time.Millisecond},
		{name: "fast engine", target: "/stream/", headers: withPrompt, server: paced(10, 2*time.Millisecond), change: stepMillis(0.1), earlier: 3, left: time.Second, taken: true},
		{name: "engine slower than its model", target: "/stream/", headers: withPrompt, server: paced(10, 100*time.Millisecond), earlier: 3, left: 900 * time.Millisecond},
		{name: "long prompt", target: "/stream/", headers: "Tokens: 90000\r\n", server: events(2, true), left: 1200 * time.Millisecond},
		{name: "long target, fast engine", target: "/stream/", headers: withPrompt, server: paced(10, 10*time.Millisecond), change: latencyTarget(8 * time.Second), earlier: 3, left: 1500 * time.Millisecond, taken: true},
		{name: "first event later than its model", target: "/stream/", headers: withPrompt, server: after(800*time.Millisecond, events(2, true)), earlier: 1, left: 850 * time.Millisecond},
		{name: "answers shorter than the longest", target: "/stream/", headers: withPrompt + "Answer: 4000\r\n", server: paced(10, 2*time.Millisecond), earlier: minAnswers, left: time.Second, taken: true},
		{name: "few answers far longer than most", target: "/stream/", headers: withPrompt + "Answer: 4000\r\n", server: firstThen(paced(150, time.Millisecond), paced(10, 10*time.Millisecond)), earlier: 40, left: time.Second},
		{name: "few answers seen", target: "/stream/", headers: withPrompt + "Answer: 4000\r\n", server: paced(10, 2*time.Millisecond), earlier: minAnswers - 1, left: time.Second},
		{name: "no estimate, long streams", target: "/once/", headers: "Answer: 0\r\n", server: paced(5, 250*time.Millisecond), earlier: 3, left: 900 * time.Millisecond},
		{name: "no estimate, short streams", target: "/once/", headers: "Answer: 0\r\n", server: paced(5, 10*time.Millisecond), earlier: 3, left: time.Second, taken: true},
		{name: "no estimate, nothing known", target: "/once/", headers: "Answer: 0\r\n", server: paced(5, 10*time.Millisecond), left: 1500 * time.Millisecond},
		{name: "order slower than three targets", target: "/order/", server: after(1100*time.Millisecond, text(200, "ok")), earlier: 3, left: time.Second},
		{name: "time limit before the stop", target: "/stream/", headers: withPrompt + "Left: 800\r\n", server: events(2, true), change: stepMillis(40), left: 1500 * time.Millisecond, taken: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(t, c.server)
			if c.change != nil {
				f.gateway.SetTable(tableWith(c.change))
			}
			for range c.earlier {
				response, _, err := f.call("POST", c.target, c.headers, "x")
				is.NoErr(err)
				is.Equal(response.StatusCode, http.StatusOK)
			}
			f.gateway.RefuseAfter(time.Now().Add(c.left))
			response, _, err := f.call("POST", c.target, c.headers, "x")
			is.NoErr(err)
			want, requests := http.StatusServiceUnavailable, c.earlier
			if c.taken {
				want, requests = http.StatusOK, c.earlier+1
			}
			is.Equal(response.StatusCode, want)
			is.Equal(response.Header.Get("Retry-After") != "", !c.taken)
			is.Equal(len(f.requests()), requests)
		})
	}
}

// Guards against a stream that goes on at another server shortly before its gateway stops, and
// is cut a second time: its caller would resume it elsewhere at once.
func TestStoppingGatewayDoesNotResumeWhatItCannotFinish(t *testing.T) {
	is := is.New(t)
	either := firstThen(after(400*time.Millisecond, events(2, false)), events(10, true))
	f := newFleet(t, either, either)
	f.gateway.SetTable(tableWith(stepMillis(4)))
	f.gateway.RefuseAfter(time.Now().Add(1300 * time.Millisecond))
	_, body, err := f.call("POST", "/stream/", withPrompt, "x")
	is.True(err != nil)
	is.Equal(body, wantEvents(1, 2))
	is.Equal(len(f.requests()), 1)
	f.waitForLine(`"reason":"stopping"`)
}

// Guards against a stream that goes on at another server though its gateway stops, because only
// the rest of its answer is needed.
func TestStoppingGatewayResumesWhatItCanFinish(t *testing.T) {
	is := is.New(t)
	either := firstThen(after(400*time.Millisecond, events(9, false)), events(10, true))
	f := newFleet(t, either, either)
	f.gateway.SetTable(tableWith(stepMillis(4)))
	f.gateway.RefuseAfter(time.Now().Add(1500 * time.Millisecond))
	_, body, err := f.call("POST", "/stream/", withPrompt, "x")
	is.NoErr(err)
	is.Equal(body, wantEvents(1, 10))
}

// Guards against a request that waits for a place in a gateway that stops until its time has
// passed, though it has been too late for long.
func TestStoppingGatewayRefusesWaitingRequestsOnceTheyAreTooLate(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, hang)
	for id := range 4 { // as many as the engine has slots
		go func() { _, _, _ = f.call("POST", "/stream/", fmt.Sprintf("Id: held%d\r\n%s", id, withPrompt), "x") }()
	}
	is.True(waitUntil(func() bool { return len(f.requests()) == 4 }, time.Second))
	waiting := f.send("POST", "/stream/", withPrompt, "x")
	defer func() { _ = waiting.Close() }()
	time.Sleep(50 * time.Millisecond)
	started := time.Now()
	f.gateway.RefuseAfter(started.Add(100 * time.Millisecond)) // an answer takes 100 ms at least
	response, err := http.ReadResponse(bufio.NewReader(waiting), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.True(time.Since(started) < 500*time.Millisecond) // the request may wait for 1.3 s
	is.Equal(len(f.requests()), 4)
}
