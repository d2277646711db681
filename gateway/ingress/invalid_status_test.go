package ingress

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// nested is an answer that must not be taken for that to the request. Its body is an event, so
// that it could be the answer to a stream as well.
var nested = fmt.Sprintf("HTTP/1.1 200 OK\r\nMark: m\r\nId: r1\r\nContent-Length: %d\r\n\r\n%s", len(wantEvents(1, 1)), wantEvents(1, 1))

// invalidHeads are heads of which no answer may follow in the bytes behind, by their names.
func invalidHeads() map[string]string {
	heads := map[string]string{}
	for _, status := range []int{0, 1, 9, 42, 99} {
		for name, framing := range map[string]string{
			"length": fmt.Sprintf("Content-Length: %d\r\n", len(nested)),
			"chunks": "Transfer-Encoding: chunked\r\n",
			"close":  "",
			"behind": "Content-Length: 0\r\n",
		} {
			heads[fmt.Sprintf("%03d %s", status, name)] = fmt.Sprintf("HTTP/1.1 %03d X\r\nMark: m\r\nId: r1\r\n%s\r\n", status, framing)
		}
	}
	heads["switch of the protocol"] = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"
	heads["interim answer with a body"] = fmt.Sprintf("HTTP/1.1 103 X\r\nContent-Length: %d\r\n\r\n", len(nested))
	heads["interim answer in chunks"] = "HTTP/1.1 103 X\r\nTransfer-Encoding: chunked\r\n\r\n"
	return heads
}

// Guards against bytes that reach a caller as an answer though they stand in the body of an
// answer with an invalid status, or behind it, which was skipped like an interim one.
func TestAnswerInsideAnInvalidOneIsNotForwarded(t *testing.T) {
	for name, head := range invalidHeads() {
		for _, target := range []string{"/order/", "/once/"} {
			t.Run(name+target, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, raw(head+nested))
				response, body, err := f.call("POST", target, "", "x")
				is.NoErr(err)
				is.Equal(response.StatusCode, http.StatusBadGateway) // it may have run
				is.Equal(body, "")
				is.Equal(response.Header.Get("Mark"), "")
			})
		}
	}
}

// Guards against an invalid status that ends a request which another server can answer.
func TestInvalidStatusIsRetried(t *testing.T) {
	for name, head := range invalidHeads() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			either := firstThen(raw(head+nested), text(http.StatusOK, "served"))
			f := newFleet(t, either, either)
			response, body, err := f.call("POST", "/lookup/", "", "x")
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusOK)
			is.Equal(body, "served")
		})
	}
}

// Guards against an answer that is lost because interim answers come before it.
func TestInterimAnswersAreSkipped(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, raw("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\nContent-Length: 0\r\n\r\n"+nested))
	response, body, err := f.call("POST", "/order/", "", "x")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(body, wantEvents(1, 1))
}
