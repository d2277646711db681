package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/gateway/routing"
)

// Guards against requests that reach the server changed: the request line, the
// body and other headers stay, the headers that only the gateway may set are
// replaced, and those of the connection are removed.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, text(200, "ok"))
	target := "/order/%2F..//a%20b;c?q=1&&r=%zz"
	response, body, err := f.call("POST", target, "X-Custom: 1\r\nLeft: 1500\r\nAccount: forged\r\nServer: forged\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n", "some body")
	is.NoErr(err)
	is.Equal(response.StatusCode, 200)
	is.Equal(response.Header.Get("Mark"), "m")
	is.Equal(body, "ok")
	got := f.requests()
	is.Equal(len(got), 1)
	is.Equal(got[0].line, "POST "+target)
	is.Equal(got[0].body, "some body")
	is.Equal(got[0].header.Get("X-Custom"), "1")
	is.Equal(got[0].header.Get("Key"), "")   // the caller's key is not forwarded
	is.Equal(got[0].header.Get("X-Hop"), "") // applies to a single connection
	is.Equal(got[0].header["Account"], []string{"hanbit"})
	is.Equal(got[0].header["Server"], []string{"s0"})
}

// Guards against chunked bodies whose bytes change on the way to the server.
func TestChunkedBody(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, text(200, "ok"))
	c, err := net.Dial("tcp", f.address)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "POST /order/ HTTP/1.1\r\nHost: a.example\r\nId: r1\r\nKey: secret\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nab\r\n\r\n3\r\ncde\r\n0\r\n\r\n")
	_, err = http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(f.requests()[0].body, "ab\r\ncde")
}

// Guards against sending the server more time than the caller has left.
func TestTimeLeftIsPassedOn(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, text(200, "ok"))
	_, _, err := f.call("POST", "/order/", "Left: 700\r\n", "x")
	is.NoErr(err)
	left := f.requests()[0].header.Get("Left") // in milliseconds
	is.True(len(left) == 3 && left > "500" && left <= "700")
}

func TestRefusals(t *testing.T) {
	// Guards against requests that reach a server without a route or a valid key.
	for _, c := range []struct {
		name, target, headers string
		want                  int
	}{
		{"no route", "/none/", "", 404},
		{"unknown key", "/order/", "Key: wrong\r\n", 401},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, text(200, "ok"))
			conn, err := net.Dial("tcp", f.address)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, "GET "+c.target+" HTTP/1.1\r\nHost: a.example\r\nId: r1\r\n"+c.headers+"\r\n")
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, c.want)
			is.Equal(len(f.requests()), 0)
		})
	}
}

func TestPublicRouteNeedsNoKey(t *testing.T) {
	// Guards against a public route that checks the key.
	is := is.New(t)
	f := newFleet(t, text(200, "ok"))
	response, _, err := f.call("GET", "/public/", "Key: wrong\r\n", "")
	is.NoErr(err)
	is.Equal(response.StatusCode, 200)
	is.Equal(f.requests()[0].header.Get("Account"), "")
}

func TestBodyOverTheLimit(t *testing.T) {
	// Guards against bodies that exceed the limit of the configuration.
	is := is.New(t)
	f := newFleet(t, text(200, "ok"))
	response, _, err := f.call("POST", "/order/", "", strings.Repeat("x", 1<<20+1)) // the limit is 1 MiB
	is.NoErr(err)
	is.Equal(response.StatusCode, 413)
}

// Guards against 404 and 401 while there is no configuration: only 503 tells the
// caller that it may retry.
func TestWithoutConfiguration(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, text(200, "ok"))
	f.gateway.table.Store(nil)
	response, _, err := f.call("POST", "/order/", "", "x")
	is.NoErr(err)
	is.Equal(response.StatusCode, 503)
	is.True(response.Header.Get("Retry-After") != "")
}

func TestConfigurationsOnlyGoForward(t *testing.T) {
	// Guards against an older configuration that replaces a newer one.
	is := is.New(t)
	f := newFleet(t)
	newer := testTable()
	newer.Version = 5
	older := testTable()
	older.Version = 4
	is.True(f.gateway.SetTable(newer))
	is.True(!f.gateway.SetTable(older))
	is.Equal(f.gateway.Table().Version, int64(5))
}

// Guards against orders that run twice, lookups that fail although another server
// could answer, and refusals of requests that may have run. Each case is one
// failure of the first server, with the status that an order and a lookup get
// and the number of servers that receive them.
func TestFailuresOfServers(t *testing.T) {
	good := text(200, "ok")
	for _, c := range []struct {
		name                     string
		bad                      answer
		orderStatus, orderSeen   int
		lookupStatus, lookupSeen int
	}{
		{"not run", refusal, 200, 2, 200, 2},
		{"closed without an answer", raw(""), 502, 1, 200, 2},
		{"garbage", raw("\x00garbage\r\n\r\n"), 502, 1, 200, 2},
		{"cut body", raw("HTTP/1.1 200 OK\r\nMark: m\r\nContent-Length: 9\r\n\r\nhalf"), 502, 1, 200, 2},
		{"unmarked answer", raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), 502, 1, 200, 2},
		{"unmarked refusal", raw("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"), 502, 1, 200, 2},
		{"encoded answer", raw("HTTP/1.1 200 OK\r\nMark: m\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok"), 502, 1, 200, 2},
		{"only answers to other requests", raw(strings.Repeat("HTTP/1.1 200 OK\r\nMark: m\r\nId: other\r\nContent-Length: 2\r\n\r\nno", 4)), 502, 1, 200, 2},
		{"error of the server", text(500, "bad"), 500, 1, 200, 2},
		{"client error", text(409, "no"), 409, 1, 409, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			for _, r := range []struct {
				method, target string
				status, seen   int
			}{{"POST", "/order/1", c.orderStatus, c.orderSeen}, {"GET", "/lookup/1", c.lookupStatus, c.lookupSeen}} {
				either := firstThen(c.bad, good)
				f := newFleet(t, either, either)
				response, _, err := f.call(r.method, r.target, "", "")
				is.NoErr(err)
				is.Equal(response.StatusCode, r.status)
				got := f.requests()
				is.Equal(len(got), r.seen)
				if len(got) == 2 {
					is.True(got[0].server != got[1].server)
				}
			}
		})
	}
}

// Guards against a lost error answer: if no server succeeds, the caller gets the
// last error answer of a server.
func TestServerErrorIsPassedOn(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, text(500, "one"), text(500, "one"))
	response, body, err := f.call("GET", "/lookup/1", "", "")
	is.NoErr(err)
	is.Equal(response.StatusCode, 500)
	is.Equal(response.Header.Get("Mark"), "m")
	is.Equal(body, "one")
	is.Equal(len(f.requests()), 2)
}

// Guards against an order that is refused at its timeout although it may have
// run.
func TestTimeoutOfAnOrder(t *testing.T) {
	is := is.New(t)
	hang := func(_ net.Conn, br *bufio.Reader, _ *http.Request) bool {
		_, err := br.ReadByte()
		return err == nil
	}
	f := newFleet(t, hang)
	started := time.Now()
	response, _, err := f.call("POST", "/brief/", "", "x")
	is.NoErr(err)
	is.Equal(response.StatusCode, 504)
	took := time.Since(started)
	is.True(took >= 200*time.Millisecond && took < 450*time.Millisecond) // answered at the route's timeout
}

// Guards against a lookup that waits until its deadline for a server that sends
// nothing, while another server could answer.
func TestHangingServerIsAbandoned(t *testing.T) {
	is := is.New(t)
	either := firstThen(func(_ net.Conn, br *bufio.Reader, _ *http.Request) bool {
		_, err := br.ReadByte()
		return err == nil
	}, text(200, "ok"))
	f := newFleet(t, either, either)
	response, _, err := f.call("GET", "/lookup/", "", "")
	is.NoErr(err)
	is.Equal(response.StatusCode, 200)
}

func TestNoServer(t *testing.T) {
	// Guards against a service without servers whose callers are not told to
	// retry.
	is := is.New(t)
	f := newFleet(t)
	response, _, err := f.call("POST", "/order/", "", "x")
	is.NoErr(err)
	is.Equal(response.StatusCode, 503)
	is.True(response.Header.Get("Retry-After") != "")
}

// Guards against more retries than the budget allows while all servers fail.
func TestBudgetBoundsRetries(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, raw(""), raw(""))
	for range 50 {
		_, _, err := f.call("GET", "/lookup/", "", "")
		is.NoErr(err)
	}
	retries := len(f.requests()) - 50
	is.True(retries > 5)
	is.True(retries <= 10+50/5) // the budget: 10, and 0.2 per request
}

// Guards against a server that continues to work on a request whose caller has
// disconnected.
func TestCallerDisconnects(t *testing.T) {
	is := is.New(t)
	ended := make(chan time.Time, 1)
	f := newFleet(t, func(_ net.Conn, br *bufio.Reader, _ *http.Request) bool {
		_, err := br.ReadByte()
		ended <- time.Now()
		return err == nil
	})
	c, err := net.Dial("tcp", f.address)
	is.NoErr(err)
	_, _ = io.WriteString(c, "POST /stream/ HTTP/1.1\r\nHost: a.example\r\nId: r1\r\nKey: secret\r\nContent-Length: 1\r\n\r\nx")
	for len(f.requests()) == 0 {
		time.Sleep(time.Millisecond)
	}
	closed := time.Now()
	_ = c.Close()
	is.True((<-ended).Sub(closed) < 500*time.Millisecond)
}

// Guards against a request that is sent to a server although its caller has
// disconnected while it waited for a slot.
func TestCallerDisconnectsWhileWaiting(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	f := newFleet(t, func(c net.Conn, br *bufio.Reader, r *http.Request) bool {
		<-release
		return events(1, true)(c, br, r)
	})
	send := func(id int) net.Conn {
		c, err := net.Dial("tcp", f.address)
		is.NoErr(err)
		_, _ = fmt.Fprintf(c, "POST /stream/ HTTP/1.1\r\nHost: a.example\r\nId: r%d\r\nKey: secret\r\nTokens: 100\r\nContent-Length: 1\r\n\r\nx", id)
		return c
	}
	for id := range 4 { // all slots of the engine
		defer func(c net.Conn) { _ = c.Close() }(send(id))
	}
	for len(f.requests()) < 4 {
		time.Sleep(time.Millisecond)
	}
	waiting := send(5)
	time.Sleep(50 * time.Millisecond)
	_ = waiting.Close()
	time.Sleep(50 * time.Millisecond)
	close(release)
	time.Sleep(100 * time.Millisecond)
	is.Equal(len(f.requests()), 4)
}

// Guards against an account's priority that does not replace that of the route.
func TestAccountPriorityBeforeTheRoutes(t *testing.T) {
	is := is.New(t)
	own := 0
	x := &exchange{table: routing.NewTable(&routing.Config{}), route: &routing.Route{Priority: 3}}
	is.Equal(x.placement().Priority, 3)
	x.account = &routing.Account{}
	is.Equal(x.placement().Priority, 3)
	x.account.Priority = &own
	is.Equal(x.placement().Priority, 0)
}

// Guards against a stream that cannot be resumed because the event timeout is
// counted from its arrival instead of its last event.
func TestEventTimeoutCountsFromTheLastEvent(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	x := &exchange{table: routing.NewTable(&routing.Config{}), arrived: now,
		route: &routing.Route{Kind: routing.Stream, LatencyTarget: 300 * time.Millisecond, EventGapTarget: 250 * time.Millisecond}}
	is.Equal(x.placement().EventTimeout, minEventTimeout) // 8 times 250 ms; 4 times 300 ms are less
	is.True(!x.placement().Resumed)
	x.headWritten, x.lastEventsAt = true, now.Add(5*time.Second)
	is.Equal(x.placement().EventTimeout, 7*time.Second) // minEventTimeout after the last event
	is.True(x.placement().Resumed)
}

// Guards against an engine that no longer answers and gets further requests
// until callers have given up: it must be suspected after minUnresponsiveTime
// without an answer.
func TestUnresponsiveEngineIsSuspected(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, func(_ net.Conn, br *bufio.Reader, _ *http.Request) bool {
		_, err := br.ReadByte()
		return err == nil
	})
	go func() { _, _, _ = f.call("POST", "/stream/", "Tokens: 100\r\n", "x") }()
	suspected := func() bool {
		for _, line := range f.linesOf("r1") {
			if has(line, map[string]any{"msg": "server suspected, it is unresponsive", "server": "s0"}) {
				return true
			}
		}
		return false
	}
	time.Sleep(minUnresponsiveTime / 2)
	is.True(!suspected())
	for wait := 0; !suspected(); wait++ {
		is.True(wait < 100) // 2 s
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against 404 and 401, after which a caller does not come back, for a route or key
// that a newer configuration has, of which the gateway knows that it exists.
func TestGatewayThatIsBehindAsksToComeBack(t *testing.T) {
	for name, c := range map[string]struct {
		target, headers string
		status          int // of a gateway that is not behind
	}{
		"unknown route": {"/unknown/", "", http.StatusNotFound},
		"unknown key":   {"/lookup/", "Key: other\r\n", http.StatusUnauthorized},
		"known":         {"/public/", "", http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, text(http.StatusOK, "done"))
			call := func() *http.Response {
				conn, err := net.Dial("tcp", f.address)
				is.NoErr(err)
				defer func() { _ = conn.Close() }()
				headers := c.headers
				if headers == "" {
					headers = "Key: secret\r\n"
				}
				_, err = io.WriteString(conn, "GET "+c.target+" HTTP/1.1\r\nHost: a.example\r\nId: r1\r\n"+headers+"\r\n")
				is.NoErr(err)
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				is.NoErr(err)
				return response
			}
			is.Equal(call().StatusCode, c.status)
			var behind atomic.Bool
			f.gateway.Behind = behind.Load
			is.Equal(call().StatusCode, c.status)
			behind.Store(true)
			response := call()
			if c.status == http.StatusOK {
				is.Equal(response.StatusCode, http.StatusOK)
				return
			}
			is.Equal(response.StatusCode, http.StatusServiceUnavailable)
			is.True(response.Header.Get("Retry-After") != "")
		})
	}
}
