package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// repeatedRefusals are refusals as a server may send them once more, by status and
// framing. %s is the line with the ID of the refused request, or empty.
func repeatedRefusals() map[string]string {
	out := map[string]string{}
	for _, status := range []int{400, 408, 421, 429, 503} {
		out[fmt.Sprint(status, " length")] = fmt.Sprintf("HTTP/1.1 %d X\r\nNot-Run: 1\r\n%%sContent-Length: 4\r\n\r\nbusy", status)
		out[fmt.Sprint(status, " chunks")] = fmt.Sprintf("HTTP/1.1 %d X\r\nNot-Run: 1\r\n%%sTransfer-Encoding: chunked\r\n\r\n4\r\nbusy\r\n0\r\n\r\n", status)
	}
	return out
}

// refusesOnceMore answers its first request with result. For each later one on the same
// connection it sends the refusal before the result.
func refusesOnceMore(refusal string, result answer, kept *atomic.Int32) answer {
	var served atomic.Int32
	return func(c net.Conn, br *bufio.Reader, r *http.Request) bool {
		if served.Add(1) > 1 {
			kept.Add(1)
			_, _ = io.WriteString(c, refusal)
		}
		return result(c, br, r)
	}
}

// Guards against a request that runs at a second server, or whose caller is told that it
// has not run, because its server sends an earlier refusal once more before the answer:
// without the ID of a request it may be taken for the answer.
func TestRefusalOfAnEarlierRequestIsNotAnAnswer(t *testing.T) {
	results := map[string]answer{"/order/": text(http.StatusOK, "done"), "/lookup/": text(http.StatusOK, "done"),
		"/once/": events(3, true), "/stream/": events(3, true)}
	for name, refusal := range repeatedRefusals() {
		for id, line := range map[string]string{"without id": "", "id of the earlier request": "Id: r0\r\n"} {
			for target, result := range results {
				t.Run(name+" "+id+" "+target, func(t *testing.T) {
					is := is.New(t)
					var kept atomic.Int32
					f := newFleet(t, refusesOnceMore(fmt.Sprintf(refusal, line), result, &kept))
					for n := range 2 {
						response, _, err := f.call("POST", target, fmt.Sprintf("Id: r%d\r\n", n), "x")
						is.NoErr(err)
						is.Equal(response.StatusCode, http.StatusOK)
					}
					is.Equal(len(f.requests()), 2)
					is.Equal(kept.Load(), int32(1)) // the second request came on the kept connection
				})
			}
		}
	}
}

// Guards against an order that runs at a second server because a refusal that does not
// name its request is believed, although nothing shows that it is the order's.
func TestRefusalWithoutIDIsNotBelieved(t *testing.T) {
	for name, refusal := range repeatedRefusals() {
		for target, want := range map[string]int{"/order/": http.StatusBadGateway, "/once/": http.StatusBadGateway, "/lookup/": http.StatusOK} {
			t.Run(name+" "+target, func(t *testing.T) {
				is := is.New(t)
				either := firstThen(raw(fmt.Sprintf(refusal, "")), text(http.StatusOK, "done"))
				f := newFleet(t, either, either)
				response, _, err := f.call("POST", target, "", "x")
				is.NoErr(err)
				is.Equal(response.StatusCode, want)
			})
		}
	}
}
