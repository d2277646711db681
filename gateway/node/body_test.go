package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/policy/footprint"
)

// serveUntilCancelled serves with a callerListener and a handler that reads the body
// and then takes a time, unless the context of its request ends first.
func serveUntilCancelled(t *testing.T, idleTimeout, handlerTime time.Duration) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	wrapped := newCallerListener(l, idleAfter(func() time.Duration { return idleTimeout }), footprint.NewTracker(footprint.Limits{}))
	server := &http.Server{ConnState: trackState, ConnContext: connContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		select {
		case <-r.Context().Done():
			w.WriteHeader(http.StatusInternalServerError)
		case <-time.After(handlerTime):
		}
	})}
	go func() { _ = wrapped.serve(server) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// Guards against an idle timeout that ends a request in flight, whose context or
// body it must not concern, on a new connection and on one that was used before.
func TestIdleTimeoutDoesNotConcernRequests(t *testing.T) {
	const idleTimeout = 200 * time.Millisecond
	for name, tc := range map[string]struct{ headDelay, bodyDelay time.Duration }{
		"slow answer":                 {},
		"slow answer after late head": {headDelay: idleTimeout / 2},
		"late body":                   {bodyDelay: 2 * idleTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, err := net.Dial("tcp", serveUntilCancelled(t, idleTimeout, 2*idleTimeout))
			is.NoErr(err)
			defer func() { _ = c.Close() }()
			br := bufio.NewReader(c)
			for range 2 {
				_ = c.SetDeadline(time.Now().Add(10 * idleTimeout))
				for _, part := range []struct {
					text  string
					delay time.Duration
				}{{"POST / HTTP/1.1\r\nHo", tc.headDelay}, {"st: h\r\nContent-Length: 4\r\n\r\nbo", tc.bodyDelay}, {"dy", 0}} {
					_, err := io.WriteString(c, part.text)
					is.NoErr(err)
					time.Sleep(part.delay)
				}
				response, err := http.ReadResponse(br, nil)
				is.NoErr(err)
				_, _ = io.Copy(io.Discard, response.Body)
				is.Equal(response.StatusCode, http.StatusOK)
			}
		})
	}
}
