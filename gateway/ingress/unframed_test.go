package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/cloud/tcpprobe"
)

// unframedPart answers with a part of an answer without a length and closes the connection.
func unframedPart(c net.Conn, _ *bufio.Reader, r *http.Request) bool {
	_, _ = io.WriteString(c, unframedHead+partFor(r.URL.Path))
	return false
}

// Guards against an answer without a length that looks complete although it is not known
// whether its server has ended: nothing is heard of the server.
func TestEndOfAnUnreachableServerDoesNotLookComplete(t *testing.T) {
	for _, target := range []string{"/order/", "/lookup/", "/stream/", "/once/"} {
		t.Run(target, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, unframedPart)
			var dials atomic.Int32
			f.gateway.Client.OnDial = func() {
				if dials.Add(1) > 1 { // the first one is for the request
					time.Sleep(2 * tcpprobe.Timeout)
				}
			}
			response, body, err := f.call("POST", target, "", "x")
			if err == nil && response.StatusCode == http.StatusOK {
				t.Errorf("complete answer %q", body)
			}
			is.Equal(len(f.requests()), 1)
			f.waitForLine(`"ending":"server_unknown"`)
		})
	}
}

// Guards against an answer without a length that looks complete because its time ends while
// the gateway finds out whether its server has ended.
func TestEndOfTimeDuringTheProbeDoesNotLookComplete(t *testing.T) {
	for _, target := range []string{"/order/", "/lookup/", "/stream/", "/once/"} {
		t.Run(target, func(t *testing.T) {
			t.Parallel()
			// The probe takes longer than what is left, and the time limit is not reached yet.
			f := newFleet(t, unframedUntil(0.97))
			response, body, err := f.call("POST", target, "Left: 850\r\n", "x")
			if err == nil && response.StatusCode == http.StatusOK {
				t.Errorf("complete answer %q", body)
			}
		})
	}
}
