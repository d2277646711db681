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
)

// plainPart is a part of a plain answer.
const plainPart = "half of"

// partFor returns a part of an answer for a target: two events of a stream, or some text.
func partFor(target string) string {
	if target == "/stream/" || target == "/once/" {
		return wantEvents(1, 2)
	}
	return plainPart
}

// until answers with the given bytes and closes the connection in good order at a share of
// the time that the request was given.
func until(share float64, text string) answer {
	return func(c net.Conn, _ *bufio.Reader, r *http.Request) bool {
		ms, _ := strconv.Atoi(r.Header.Get("Left"))
		end := time.After(time.Duration(share * float64(ms) * float64(time.Millisecond)))
		_, _ = io.WriteString(c, text)
		<-end
		return false
	}
}

// unframedUntil answers with a part of an answer without a length, and closes the
// connection in good order at a share of the time that the request was given.
func unframedUntil(share float64) answer {
	return func(c net.Conn, br *bufio.Reader, r *http.Request) bool {
		return until(share, unframedHead+partFor(r.URL.Path))(c, br, r)
	}
}

// Guards against an answer without a length that looks complete although its server stopped
// at the time limit that the gateway had passed on: the limit of the caller or of the route.
func TestAnswerEndedAtItsTimeLimitDoesNotLookComplete(t *testing.T) {
	const trials = 8 // the end of the answer and that of the request race each other
	for _, target := range []string{"/order/", "/lookup/", "/stream/", "/once/", "/brief/"} {
		for _, left := range []int{150, 260} {
			t.Run(fmt.Sprint(target, left), func(t *testing.T) {
				t.Parallel()
				f := newFleet(t, unframedUntil(1))
				for range trials {
					response, body, err := f.call("POST", target, fmt.Sprintf("Left: %d\r\n", left), "x")
					if err == nil && response.StatusCode == http.StatusOK {
						t.Errorf("complete answer %q", body)
					}
				}
			})
		}
	}
}

// Guards against a second server that stops at the time limit of a repeat, which is what is
// left of the first one, and whose answer looks complete.
func TestRepeatEndedAtItsTimeLimitDoesNotLookComplete(t *testing.T) {
	for _, target := range []string{"/lookup/", "/stream/"} {
		t.Run(target, func(t *testing.T) {
			is := is.New(t)
			late := func(c net.Conn, _ *bufio.Reader, _ *http.Request) bool {
				time.Sleep(100 * time.Millisecond)
				return false
			}
			either := firstThen(late, unframedUntil(1))
			f := newFleet(t, either, either)
			response, _, err := f.call("POST", target, "Left: 300\r\n", "x")
			is.True(err != nil || response.StatusCode != http.StatusOK)
			is.Equal(len(f.requests()), 2)
		})
	}
}

// Guards against a whole answer without a length that counts as cut because it took a part of
// its time, and against an early end that is put down to the time limit.
func TestAnswerEndedBeforeItsTimeLimitIsWhole(t *testing.T) {
	for _, target := range []string{"/order/", "/lookup/", "/stream/", "/once/"} {
		for _, left := range []int{150, 260, 1500} {
			t.Run(fmt.Sprint(target, left), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				f := newFleet(t, unframedUntil(0.5))
				response, body, err := f.call("POST", target, fmt.Sprintf("Left: %d\r\n", left), "x")
				is.NoErr(err)
				is.Equal(response.StatusCode, http.StatusOK)
				is.Equal(body, partFor(target))
			})
		}
	}
}

// limitAttempts is how often a test tries to make a server stop just before the gateway's own
// deadline. On a busy machine either may be late, and the deadline then ends the request.
const limitAttempts = 8

// stopAtLimit sends requests to new fleets with the given servers until one of them has stopped
// just before the gateway's deadline, and fails the test if none has. check is called after
// each, with a complete answer or an error.
func stopAtLimit(t *testing.T, target, headers string, check func(f *fleet, response *http.Response, err error), servers ...answer) {
	t.Helper()
	for range limitAttempts {
		f := newFleet(t, servers...)
		f.gateway.Scheduler.OnEject = func(_, server string) { t.Errorf("%s was ejected", server) }
		response, _, err := f.call("POST", target, headers, "x")
		check(f, response, err)
		f.waitForLine("request ended")
		if strings.Contains(f.log.String(), `"ending":"at_time_limit"`) {
			return
		}
	}
	t.Fatalf("no server stopped just before the deadline in %d attempts", limitAttempts)
}

// Guards against a server that counts as faulty, and a retry that cannot end in time, because
// it kept to the time limit of the gateway.
func TestEndAtTheTimeLimitIsNoFaultOfTheServer(t *testing.T) {
	is := is.New(t)
	stopAtLimit(t, "/lookup/", "Left: 800\r\n", func(f *fleet, response *http.Response, err error) {
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusGatewayTimeout)
		is.Equal(len(f.requests()), 1)
	}, unframedUntil(0.98), unframedUntil(0.98))
}

// brokenAnswers are answers that are not whole, by what shows that.
var brokenAnswers = map[string]string{
	"length":       "HTTP/1.1 200 OK\r\nMark: m\r\nContent-Length: 999\r\n\r\n" + wantEvents(1, 2),
	"chunks":       "HTTP/1.1 200 OK\r\nMark: m\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc",
	"inside event": unframedHead + wantEvents(1, 2) + "id: 3\nda",
	"no event":     unframedHead,
	"cut head":     unframedHead[:20],
	"no answer":    "",
}

// Guards against a sound server that is ejected, and a retry that cannot end in time but uses
// up the budget, because a server broke off its answer at the time limit of the gateway.
func TestAnswerBrokenOffAtItsTimeLimitIsNoFaultOfTheServer(t *testing.T) {
	for name, text := range brokenAnswers {
		for _, target := range []string{"/order/", "/lookup/", "/stream/", "/once/"} {
			t.Run(name+target, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				stopAtLimit(t, target, "Left: 800\r\n", func(f *fleet, response *http.Response, err error) {
					is.True(err != nil || response.StatusCode == http.StatusGatewayTimeout)
					is.Equal(len(f.requests()), 1)
					for _, message := range []string{"answer broken", "stream broken", "send failed"} {
						is.True(!strings.Contains(f.log.String(), message)) // logged together with a failure of the server
					}
				}, until(0.98, text), until(0.98, text))
			})
		}
	}
}

// Guards against a server that breaks off its answers long before the time limit and still
// counts as sound.
func TestAnswerBrokenOffBeforeItsTimeLimitIsAFailure(t *testing.T) {
	for name, text := range brokenAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(t, until(0.5, text))
			response, _, err := f.call("POST", "/stream/", "Left: 800\r\n", "x")
			is.True(err != nil || response.StatusCode == http.StatusBadGateway)
			is.True(strings.Contains(f.log.String(), "stream broken") || strings.Contains(f.log.String(), "send failed"))
		})
	}
}

// Guards against a crash on a part of a prompt that is not recorded because the server ended
// at the time limit.
func TestCrashAtTheTimeLimitIsRecorded(t *testing.T) {
	stop := until(0.986, brokenAnswers["no event"])
	var current *fleet
	crash := func(c net.Conn, br *bufio.Reader, r *http.Request) bool {
		stop(c, br, r)
		current.closePort("s0")
		return false
	}
	for range limitAttempts {
		current = newFleet(t, crash)
		_, _, _ = current.call("POST", "/stream/", "Left: 1800\r\nParts: p1\r\n", "x") // it cannot succeed
		current.waitForLine("request ended")
		for line := range strings.Lines(current.log.String()) {
			if strings.Contains(line, "answer stopped at its time limit") && strings.Contains(line, `"server_ended":true`) {
				return
			}
		}
	}
	t.Fatalf("no crash at the time limit was recorded in %d attempts", limitAttempts)
}
