package e2e

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/settings"
	"camphorwick.dev/testbed/fleet"
	"camphorwick.dev/testbed/history"
)

// rawRequest returns an HTTP request as bytes.
func rawRequest(method, path, body string, headers ...string) string {
	extra := ""
	for _, h := range headers {
		extra += h + "\r\n"
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s",
		method, path, fleet.CallerKey, extra, len(body), body)
}

func rawCompletion(tokens int, stream bool) string {
	body, _ := json.Marshal(map[string]any{"model": "standin", "prompt": prompt("raw", 100), "max_tokens": tokens, "stream": stream})
	return rawRequest(http.MethodPost, "/v1/completions", string(body))
}

// rawOrder returns an order with a new key, and the key.
func rawOrder() (request, key string) {
	key = history.NewKey()
	return rawRequest(http.MethodPost, "/v1/services/orders/coils", "1", "Idempotency-Key: "+key), key
}

// rawAnswer is the response to a raw request.
type rawAnswer struct {
	status  int
	closing bool // the response announces that the connection will be closed
	body    string
}

// outcome returns the outcome in the header, the body or the last event.
func (a rawAnswer) outcome() string {
	for _, o := range []string{"completed", "not_run", "failed", "unknown"} {
		if strings.Contains(a.body, `"outcome":"`+o+`"`) {
			return o
		}
	}
	return ""
}

// exchangeRaw sends a request and reads the complete response. sent reports
// whether the whole request was written.
func exchangeRaw(conn net.Conn, reader *bufio.Reader, request string) (a rawAnswer, sent bool, err error) {
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	if _, err := io.WriteString(conn, request); err != nil {
		return a, false, err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return a, true, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return rawAnswer{status: response.StatusCode, closing: response.Close, body: string(body)}, true, err
}

// stopCounts counts the requests of persistentCaller.
type stopCounts struct {
	mu                 sync.Mutex
	answered, announce int
	// lost lists the requests that were sent completely and not answered.
	lost []string
}

func (s *stopCounts) add(a rawAnswer, nth int, request string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		line, _, _ := strings.Cut(request, "\r\n")
		s.lost = append(s.lost, fmt.Sprintf("%s request %d of its connection: %s: %v", time.Now().Format("15:04:05.000"), nth, line, err))
		return
	}
	s.answered++
	if a.closing {
		s.announce++
	}
}

// persistentCaller sends requests until no connection can be opened any more. It
// uses a connection until the entry announces its end.
func persistentCaller(address string, counts *stopCounts, pause time.Duration) {
	for {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		for nth := 1; ; nth++ {
			var request string
			switch rand.IntN(4) {
			case 0:
				request = rawCompletion(2, false)
			case 1:
				request = rawCompletion(8, true)
			case 2:
				request, _ = rawOrder()
			default:
				request = rawRequest(http.MethodGet, "/v1/services/orders/stock", "")
			}
			a, sent, err := exchangeRaw(conn, reader, request)
			if sent {
				counts.add(a, nth, request, err)
			}
			if err != nil || a.closing {
				break
			}
			time.Sleep(rand.N(pause))
		}
		_ = conn.Close()
	}
}

// Guards against requests on open connections that get neither an answer nor a
// refusal while an entry stops: callers keep their connections and send until the
// process is gone.
func TestStoppingEntryAnswersItsCallers(t *testing.T) {
	is := is.New(t)
	_, f := start(t, fleet.Options{Entries: 1, Engines: 2, Orders: 1})
	counts := &stopCounts{}
	var callers sync.WaitGroup
	for range 48 {
		callers.Go(func() { persistentCaller(f.Entries[0].Settings.Entry.CallersAddress, counts, 10*time.Millisecond) })
	}
	time.Sleep(1500 * time.Millisecond)
	is.NoErr(f.Entries[0].Terminate())
	callers.Wait()
	t.Logf("%d answered, %d connections announced as closing, %d lost", counts.answered, counts.announce, len(counts.lost))
	for _, line := range counts.lost {
		t.Log(line)
	}
	is.True(counts.answered > 100)
	is.Equal(len(counts.lost), 0)
}

// Guards against requests in flight that end without an outcome, or with the
// statement that their caller cancelled them, when an entry is at its drain limit
// or gets a second SIGINT.
func TestCancelledRequestsGetOutcomes(t *testing.T) {
	for _, tc := range []struct {
		name              string
		drainLimitSeconds int
		secondSignal      bool
	}{{"drain limit", 1, false}, {"second signal", 60, true}} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			_, f := start(t, fleet.Options{Entries: 1, Engines: 1, Orders: 1, EngineFlags: slowEngine,
				Adjust: func(s *settings.Settings) {
					if s.Entry != nil {
						s.DrainLimitSeconds = tc.drainLimitSeconds
					}
				}})
			is.NoErr(serviceFaults(f, object{"latency_ms": 20_000}))
			d := f.Entries[0]
			var requests []cancelledRequest
			var callers sync.WaitGroup
			for range 40 {
				order, _ := rawOrder()
				requests = append(requests, cancelledRequest{name: "streamed", text: rawCompletion(4000, true), outcome: "failed"},
					cancelledRequest{name: "buffered", text: rawCompletion(4000, false), outcome: "failed"},
					cancelledRequest{name: "order", text: order, outcome: "unknown"})
			}
			for i := range requests {
				callers.Go(func() { requests[i].send(d.Settings.Entry.CallersAddress) })
			}
			time.Sleep(time.Second)
			is.NoErr(d.Signal(syscall.SIGINT))
			if tc.secondSignal {
				time.Sleep(500 * time.Millisecond)
				is.NoErr(d.Signal(syscall.SIGINT))
			}
			callers.Wait()
			<-d.Done()
			wrong := 0
			for _, r := range requests {
				if r.err != nil || r.answer.outcome() != r.outcome || !strings.Contains(r.answer.body, `"code":"draining"`) {
					wrong++
					t.Logf("%s: status %d, outcome %q, error %v, end %q", r.name, r.answer.status, r.answer.outcome(), r.err, r.answer.body[max(0, len(r.answer.body)-150):])
				}
			}
			is.Equal(wrong, 0)
			is.NoErr(d.Err())
		})
	}
}

// cancelledRequest is a request that an entry cancels, with the outcome that its
// caller must get.
type cancelledRequest struct {
	name, text, outcome string
	answer              rawAnswer
	err                 error
}

func (r *cancelledRequest) send(address string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		r.err = err
		return
	}
	defer conn.Close()
	r.answer, _, r.err = exchangeRaw(conn, bufio.NewReader(conn), r.text)
}
