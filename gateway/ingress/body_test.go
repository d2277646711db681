package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/gateway/routing"
	"camphorwick.dev/policy/footprint"
)

// Guards against a caller whose body does not arrive in its time and who gets no
// answer then.
func TestTimeEndsWhileBodyIsRead(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, text(200, "done"))
	c, err := net.Dial("tcp", f.address)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "POST /order/1 HTTP/1.1\r\nHost: a.example\r\nKey: secret\r\nId: r1\r\nLeft: 300\r\nContent-Length: 8\r\n\r\nhalf")
	is.NoErr(err)
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable) // it has not run
}

// Guards against a gateway whose process is ended because the bodies of its requests, each
// within the limit, take more than its memory: those without room are refused at once, and
// the memory is free again at the end of the requests.
func TestBodiesAreBoundedTogether(t *testing.T) {
	const (
		body  = 8 << 20 // more than the kernel's buffers hold
		limit = 3 * body
		calls = 8
	)
	// The route's time is long enough for all bodies on a slow machine, and no request is
	// sent to a second server while the first one holds it.
	table := routing.NewTable(&routing.Config{Version: 1, Limits: routing.Limits{BodyBytes: 2 * body}, Services: []routing.Service{{Name: "service"}},
		Routes: []routing.Route{{Name: "lookup", Host: "a.example", Prefix: "/lookup/", Kind: routing.NonIdempotent, Timeout: 8 * time.Second,
			LatencyTarget: 8 * time.Second, MaxServers: 1, Targets: []routing.Target{{Service: "service", Weight: 1}}}},
		Accounts: []routing.Account{{Name: "hanbit", Keys: []string{"secret"}}}})
	for name, chunked := range map[string]bool{"with a length": false, "in chunks": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			release := make(chan struct{})
			hold := func(c net.Conn, br *bufio.Reader, r *http.Request) bool {
				<-release
				return text(200, "done")(c, br, r)
			}
			f := newFleet(t, hold, hold, hold, hold)
			g := f.newGateway()
			g.table.Store(table)
			g.Footprint = footprint.NewTracker(footprint.Limits{Bytes: limit})
			f.mu.Lock()
			f.gateway = g
			f.mu.Unlock()
			payload, headers := strings.Repeat("x", body), "Left: 8000\r\n"
			if chunked {
				headers += "Transfer-Encoding: chunked\r\n"
			}
			statuses := make(chan int, calls)
			for n := range calls {
				go func() {
					response := f.callWithBody("/lookup/"+strconv.Itoa(n), headers, payload, chunked)
					if response == nil {
						statuses <- 0
						return
					}
					if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") == "" {
						t.Error("a refusal without Retry-After")
					}
					statuses <- response.StatusCode
				}()
			}
			for wait := 0; len(statuses) < calls-limit/body && wait < 500; wait++ {
				time.Sleep(10 * time.Millisecond) // the refused ones do not wait for the others, which are held
			}
			is.True(g.Footprint.Usage().Bytes <= limit)
			is.True(g.Footprint.Usage().Bytes > 0)
			refusedAtOnce := len(statuses)
			close(release)
			counts := map[int]int{}
			for range calls {
				counts[<-statuses]++
			}
			is.Equal(counts[200]+counts[503], calls)
			is.True(counts[200] >= 1) // a buffer that grows counts twice for a moment, and is up to twice its body
			is.True(refusedAtOnce >= calls-limit/body)
			for wait := 0; g.Footprint.Usage().Bytes > 0 && wait < 100; wait++ {
				time.Sleep(10 * time.Millisecond) // an answer may arrive before its request has ended
			}
			is.Equal(g.Footprint.Usage().Bytes, int64(0))
			response := f.callWithBody("/lookup/last", headers, payload, chunked)
			is.Equal(response.StatusCode, 200)
		})
	}
}

// callWithBody sends a request with a body, in chunks if chunked is set, and returns its
// answer, or nil.
func (f *fleet) callWithBody(target, headers, body string, chunked bool) *http.Response {
	c, err := net.Dial("tcp", f.address)
	if err != nil {
		return nil
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	if chunked {
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	} else {
		headers += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	// The answer is read only when all of the request was sent, as many callers do.
	if _, err := io.WriteString(c, "POST "+target+" HTTP/1.1\r\nHost: a.example\r\nKey: secret\r\nId: "+target[len("/lookup/"):]+"\r\n"+headers+"\r\n"+body); err != nil {
		return nil
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil
	}
	return response
}
