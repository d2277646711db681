package ingress

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel/metric/noop"

	"camphorwick.dev/gateway/registry"
	"camphorwick.dev/gateway/reserve"
	"camphorwick.dev/gateway/schedule"
	"camphorwick.dev/gateway/upstream"
	"camphorwick.dev/policy/retry"
)

// misrouted is the answer of a server to a request that is meant for another one.
func misrouted(c net.Conn, _ *bufio.Reader, r *http.Request) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 421 X\r\nNot-Run: 1\r\nMisrouted: 1\r\nId: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
	return err == nil
}

// Guards against requests that are refused again and again because they use a
// connection that leads to the predecessor of their server.
func TestMisroutedConnectionIsNotUsedAgain(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var old net.Conn // the first connection
	f := newFleet(t, func(c net.Conn, br *bufio.Reader, r *http.Request) bool {
		mu.Lock()
		if old == nil {
			old = c
		}
		isOld := c == old
		mu.Unlock()
		if isOld {
			return misrouted(c, br, r)
		}
		return text(200, "done")(c, br, r)
	})
	response, _, err := f.call("POST", "/order/1", "Id: r1\r\n", "")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable) // the service has no other server
	response, _, err = f.call("POST", "/order/1", "Id: r2\r\n", "")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
}

// replaceable is an address at which one server follows another.
type replaceable struct {
	churn   *churn
	index   int
	address string
	starts  int

	listener net.Listener
	mu       sync.Mutex
	open     map[net.Conn]bool
}

// churn is a gateway whose servers are replaced while it serves.
type churn struct {
	t        *testing.T
	registry *registry.Registry
	client   *upstream.Client
	gateway  *Gateway
	address  string

	mu   sync.Mutex
	runs map[string]int // by request ID
}

func newChurn(t *testing.T) *churn {
	t.Helper()
	is := is.New(t)
	c := &churn{t: t, client: upstream.New(), runs: map[string]int{}}
	var scheduler *schedule.Scheduler
	c.registry = registry.New(func(change registry.Change) { // as the node does
		scheduler.Forget(change.Server.Service, change.Server.ID)
		if change.Event == registry.Removed {
			c.client.Forget(change.Server.Address)
		}
	})
	scheduler = schedule.New(c.registry, "vm", "dc")
	metrics, err := NewMetrics(noop.NewMeterProvider().Meter(""))
	is.NoErr(err)
	log := slog.New(slog.DiscardHandler)
	c.gateway = New(Options{Wire: testWire{}, Scheduler: scheduler, Client: c.client, Log: log, Metrics: metrics, Reserver: reserve.New(noMemory{}, log),
		Processes: func() int { return 1 }, Budget: retry.WindowConfig{Span: 10 * time.Second, Ratio: 0.2, Extra: 1000}})
	c.gateway.SetTable(testTable())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{Handler: c.gateway}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	c.address = l.Addr().String()
	return c
}

// start starts the next server at the address and registers it.
func (r *replaceable) start() error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.starts++
	id := fmt.Sprintf("s%d-%d", r.index, r.starts)
	r.listener, r.address = l, l.Addr().String()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			r.open[c] = true
			r.mu.Unlock()
			go r.serve(c, id)
		}
	}()
	r.churn.registry.Put(&registry.Server{ID: id, Service: "service", Address: r.address, DataCentre: "dc", Slots: 4})
	return nil
}

// serve answers requests that are meant for the server id and refuses others.
func (r *replaceable) serve(c net.Conn, id string) {
	br := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if request.Header.Get("Server") != id {
			misrouted(c, br, request)
			continue
		}
		r.churn.mu.Lock()
		r.churn.runs[request.Header.Get("Id")]++
		r.churn.mu.Unlock()
		time.Sleep(rand.N(3 * time.Millisecond))
		if !text(200, "done")(c, br, request) {
			return
		}
	}
}

// replace removes the server and starts another at its address, with requests in
// flight. Its connections stay open for a random time, after which they are closed.
func (r *replaceable) replace() error {
	id := fmt.Sprintf("s%d-%d", r.index, r.starts)
	r.churn.registry.Remove(id, time.Now())
	time.Sleep(rand.N(5 * time.Millisecond))
	_ = r.listener.Close()
	r.mu.Lock()
	open := r.open
	r.open = map[net.Conn]bool{}
	r.mu.Unlock()
	time.AfterFunc(rand.N(30*time.Millisecond), func() {
		for c := range open {
			_ = c.Close()
		}
	})
	return r.start()
}

// Guards against requests that get no answer, that run twice or that are reported as
// not run although they ran, when servers are replaced at the same address: a
// connection to the removed server may be put back after the removal.
func TestReplacedServersAtTheSameAddress(t *testing.T) {
	is := is.New(t)
	c := newChurn(t)
	servers := []*replaceable{}
	for i := range 3 {
		r := &replaceable{churn: c, index: i, address: "127.0.0.1:0", open: map[net.Conn]bool{}}
		is.NoErr(r.start())
		servers = append(servers, r)
	}
	end := time.Now().Add(3 * time.Second)
	var callers sync.WaitGroup
	var mu sync.Mutex
	statuses := map[string]int{}
	orders := map[string]int{} // status by request ID
	for caller := range 8 {
		callers.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			for n := 0; time.Now().Before(end); n++ {
				kind, id := "order", fmt.Sprintf("%d-%d", caller, n)
				if n%2 == 0 {
					kind = "lookup"
				}
				status, err := c.send(client, kind, id)
				mu.Lock()
				if err != nil {
					statuses["no answer"]++
				} else {
					statuses[fmt.Sprint(kind, " ", status)]++
				}
				if kind == "order" {
					orders[id] = status
				}
				mu.Unlock()
			}
		})
	}
	replaced := 0
	for time.Now().Before(end) {
		time.Sleep(10 * time.Millisecond)
		is.NoErr(servers[rand.IntN(len(servers))].replace())
		replaced++
	}
	callers.Wait()
	t.Log(replaced, "servers replaced;", statuses)
	is.Equal(statuses["no answer"], 0)
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, status := range orders {
		if runs := c.runs[id]; runs > 1 || status == http.StatusServiceUnavailable && runs > 0 {
			t.Errorf("order %s ran %d times and was answered %d", id, runs, status)
		}
	}
}

var errIncomplete = errors.New("incomplete answer")

func (c *churn) send(client *http.Client, kind, id string) (int, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+c.address+"/"+kind+"/1", nil)
	if err != nil {
		return 0, err
	}
	request.Host = "a.example"
	request.Header = http.Header{"Key": {"secret"}, "Id": {id}, "Left": {"2000"}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode == http.StatusOK && string(body) != "done" {
		err = errIncomplete
	}
	return response.StatusCode, err
}
