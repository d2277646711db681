package node

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/gateway/ingress"
	"camphorwick.dev/gateway/registry"
)

// Guards against requests that come late in the grace time of a planned stop being passed
// on to a server and cut at its end without an answer, orders among them, and against an
// order that ran being answered as not run.
func TestRequestsLateInTheGraceTimeAreAnswered(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	ran := map[string]bool{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		ran[r.Header.Get("Id")] = true
		mu.Unlock()
		w.Header().Set("Id", r.Header.Get("Id"))
		time.Sleep(rand.N(800 * time.Millisecond)) // the latency target is 100 ms
	}))
	defer server.Close()
	n := newTestNode(t, minDrainTime+1500*time.Millisecond)
	n.gateway.Wire = answerIDWire{}
	n.gateway.SetTable(orderTable())
	n.registry.Replace([]*registry.Server{{ID: "s0", Service: "orders", Address: server.Listener.Addr().String(), DataCentre: "dc", Slots: 4}}, time.Now())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(t.Context()) }()
	statuses := map[string]int{} // 0 without an answer
	var callers sync.WaitGroup
	keep := make(chan struct{}) // closed when the gateway has ended
	for i := range 8 {
		callers.Go(func() {
			for sent := 0; ; sent++ {
				select {
				case <-keep:
					return
				default:
				}
				id := strconv.Itoa(i) + "-" + strconv.Itoa(sent)
				status, isOpen := sendOnce(n.options.Callers, id)
				if !isOpen {
					time.Sleep(5 * time.Millisecond)
					continue
				}
				mu.Lock()
				statuses[id] = status
				mu.Unlock()
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	n.Stop()
	is.NoErr(<-ended)
	close(keep)
	callers.Wait()
	mu.Lock()
	defer mu.Unlock()
	counts := map[int]int{}
	for id, status := range statuses {
		counts[status]++
		if ran[id] && status == 0 {
			t.Errorf("order %s ran and was not answered", id)
		}
		if ran[id] && status == http.StatusServiceUnavailable {
			t.Errorf("order %s ran and was answered 503", id)
		}
	}
	t.Log("answers by status:", counts)
	is.True(counts[http.StatusOK] > 0)
	is.True(counts[http.StatusServiceUnavailable] > 0) // otherwise no request came late
}

// answerIDWire is an idWire that also knows the id of an answer.
type answerIDWire struct{ idWire }

func (answerIDWire) DecodeAnswer(_ int, h http.Header) ingress.AnswerMeta {
	return ingress.AnswerMeta{RequestID: h.Get("Id"), Signed: true}
}

// sendOnce sends an order over a new connection and returns the status of its answer, 0 if
// there is none, and whether the port was open.
func sendOnce(address, id string) (status int, isOpen bool) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(answerTimeout))
	_, _ = fmt.Fprintf(c, "POST /order/ HTTP/1.1\r\nHost: a.example\r\nId: %s\r\nContent-Length: 1\r\n\r\nx", id)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, true
	}
	return response.StatusCode, true
}
