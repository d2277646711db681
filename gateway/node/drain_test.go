package node

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel/metric/noop"
	"golang.org/x/sys/unix"

	"camphorwick.dev/gateway/follow"
	"camphorwick.dev/gateway/ingress"
	"camphorwick.dev/gateway/registry"
	"camphorwick.dev/gateway/reserve"
	"camphorwick.dev/gateway/routing"
	"camphorwick.dev/gateway/upstream"
	"camphorwick.dev/policy/footprint"
	"camphorwick.dev/policy/retry"
)

// answerTimeout is how long a test waits for an answer.
const answerTimeout = 10 * time.Second

// Guards against a request that is read from a connection while a stopping
// gateway closes it as idle: it ran, and its caller saw a closed connection.
// Requests enter at random times while idle connections are closed all the time,
// and one processor makes the goroutines that read them wait.
func TestRequestThatEntersDuringIdleCloseIsAnswered(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	s := newRecordingServer(t)
	ctx, stop := context.WithCancel(t.Context())
	var closer sync.WaitGroup
	closer.Go(func() { s.closeIdleUntil(ctx) })
	const callers, requestsPerCaller = 50, 60
	var unanswered atomic.Int64
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for range requestsPerCaller {
				if !s.answeredIfRun(t) {
					unanswered.Add(1)
				}
			}
		})
	}
	group.Wait()
	stop()
	closer.Wait()
	if n := unanswered.Load(); n > 0 {
		t.Errorf("%d of %d requests ran and were not answered", n, callers*requestsPerCaller)
	}
}

// recordingServer records the requests that its handler gets.
type recordingServer struct {
	listener *callerListener
	address  string
	lastID   atomic.Int64
	runs     sync.Map // ids of requests
}

func newRecordingServer(t *testing.T) *recordingServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &recordingServer{address: l.Addr().String()}
	s.listener = newCallerListener(l, noLimits, footprint.NewTracker(footprint.Limits{}))
	server := &http.Server{ConnState: trackState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.runs.Store(r.Header.Get("Id"), true)
		_, _ = io.WriteString(w, "ok")
	})}
	go func() { _ = s.listener.serve(server) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// closeIdleUntil closes idle connections again and again until ctx ends.
func (s *recordingServer) closeIdleUntil(ctx context.Context) {
	for ctx.Err() == nil {
		s.listener.closeIdle(0)
		time.Sleep(time.Millisecond)
	}
}

// answeredIfRun sends a request over a new connection and reports whether it was
// answered or did not run.
func (s *recordingServer) answeredIfRun(t *testing.T) bool {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Error(err)
		return true
	}
	defer func() { _ = c.Close() }()
	id := s.lastID.Add(1)
	_ = c.SetDeadline(time.Now().Add(answerTimeout))
	time.Sleep(time.Duration(id%5) * 300 * time.Microsecond) // the connection is idle for a moment
	_, _ = fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\nId: %d\r\n\r\n", id)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		_, err = io.ReadAll(response.Body)
	}
	if err == nil {
		return true
	}
	time.Sleep(20 * time.Millisecond) // the handler may be about to start
	_, ran := s.runs.Load(strconv.FormatInt(id, 10))
	return !ran
}

// Guards against a process that ends before answers have left it: an answer
// whose handler has returned is still in a buffer of net/http.
func TestStopWaitsUntilAnswersAreWritten(t *testing.T) {
	is := is.New(t)
	n := newTestNode(t, 2*minDrainTime)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	callers := newCallerListener(slowListener{l}, n.callerLimits, n.footprint)
	server := n.newServer()
	go func() { _ = callers.serve(server) }()
	n.Stop()
	drained := make(chan error)
	go func() { drained <- n.drain(t.Context(), server, callers) }()
	time.Sleep(minDrainTime - slowWrite/2)
	is.Equal(send(t, l.Addr().String(), "r1"), http.StatusServiceUnavailable) // there is no configuration
	is.NoErr(<-drained)
}

// slowWrite is the duration of each write to a connection of a slowListener.
const slowWrite = time.Second

// slowListener accepts connections on which each write takes slowWrite, as on a
// busy machine.
type slowListener struct{ net.Listener }

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{TCPConn: c.(*net.TCPConn)}, nil
}

type slowConn struct{ *net.TCPConn }

func (c *slowConn) Write(p []byte) (int, error) {
	time.Sleep(slowWrite)
	return c.TCPConn.Write(p)
}

// Guards against requests that a gateway accepted and whose connections it closes
// without an answer at the end of its drain time.
func TestRequestsInFlightAtTheDrainLimitAreAnswered(t *testing.T) {
	is := is.New(t)
	n := newTestNode(t, minDrainTime+500*time.Millisecond)
	n.gateway.SetTable(orderTable())
	n.registry.Replace([]*registry.Server{{ID: "s0", Service: "orders", Address: hangingServer(t), DataCentre: "dc", Slots: 4}}, time.Now())
	ended := make(chan error)
	go func() { ended <- n.Run(t.Context()) }()
	status := 0
	var caller sync.WaitGroup
	caller.Go(func() { status = send(t, n.options.Callers, "r1") })
	time.Sleep(200 * time.Millisecond)
	n.Stop()
	caller.Wait()
	is.Equal(status, http.StatusGatewayTimeout) // the order may have run
	is.NoErr(<-ended)
}

// Guards against a gateway that takes requests late in its stop which it cannot finish, and
// against the refusal of callers that the platform still sends to it.
func TestStopRefusesWhatCannotBeFinished(t *testing.T) {
	is := is.New(t)
	n := newTestNode(t, minDrainTime+500*time.Millisecond)
	n.gateway.SetTable(orderTableWithin(5 * time.Second)) // an order may take three times as long
	n.registry.Replace([]*registry.Server{{ID: "s0", Service: "orders", Address: hangingServer(t), DataCentre: "dc", Slots: 4}}, time.Now())
	ended := make(chan error)
	go func() { ended <- n.Run(t.Context()) }()
	held, err := dialRetrying(n.options.Callers) // keeps the gateway from ending
	is.NoErr(err)
	n.Stop()
	early := make(chan int, 1)
	go func() { early <- send(t, n.options.Callers, "r1") }()
	time.Sleep(minDrainTime + 100*time.Millisecond)
	started := time.Now()
	is.Equal(send(t, n.options.Callers, "r2"), http.StatusServiceUnavailable)
	is.True(time.Since(started) < 300*time.Millisecond) // at once, not at the limit
	is.NoErr(held.Close())
	is.Equal(<-early, http.StatusGatewayTimeout) // it was taken
	is.NoErr(<-ended)
}

// Guards against a stop that lasts longer than a grace time below minDrainTime:
// the process is killed and its requests end without an answer.
func TestStopEndsWithinAShortGraceTime(t *testing.T) {
	is := is.New(t)
	n := newTestNode(t, 300*time.Millisecond)
	n.gateway.SetTable(orderTable())
	n.registry.Replace([]*registry.Server{{ID: "s0", Service: "orders", Address: hangingServer(t), DataCentre: "dc", Slots: 4}}, time.Now())
	ended := make(chan error)
	go func() { ended <- n.Run(t.Context()) }()
	statuses := make(chan int)
	go func() { statuses <- send(t, n.options.Callers, "r1") }()
	time.Sleep(200 * time.Millisecond)
	begun := time.Now()
	n.Stop()
	is.Equal(<-statuses, http.StatusGatewayTimeout)
	is.NoErr(<-ended)
	is.True(time.Since(begun) < 300*time.Millisecond+abortTime+time.Second)
}

// send sends an order over a new connection and returns the status of the
// answer; it fails the test and returns 0 if there is none.
func send(t *testing.T, address, id string) int {
	t.Helper()
	c, err := dialRetrying(address)
	if err != nil {
		t.Error(err)
		return 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(answerTimeout))
	_, _ = fmt.Fprintf(c, "POST /order/ HTTP/1.1\r\nHost: a.example\r\nId: %s\r\nContent-Length: 1\r\n\r\nx", id)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Errorf("request %s was not answered: %v", id, err)
		return 0
	}
	return response.StatusCode
}

// dialRetrying connects to a gateway that is about to open its port.
func dialRetrying(address string) (net.Conn, error) {
	for deadline := time.Now().Add(time.Second); ; {
		c, err := net.Dial("tcp", address)
		if err == nil || time.Now().After(deadline) {
			return c, err
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// hangingServer returns the address of a server that accepts requests and never
// answers.
func hangingServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, c) }()
		}
	}()
	return l.Addr().String()
}

// orderTable returns a configuration with one route, whose orders may take
// longer than a stop.
func orderTable() *routing.Table { return orderTableWithin(100 * time.Millisecond) }

// orderTableWithin returns a table with one route of orders and its latency target.
func orderTableWithin(target time.Duration) *routing.Table {
	return routing.NewTable(&routing.Config{Version: 1, Services: []routing.Service{{Name: "orders"}},
		Routes: []routing.Route{{Name: "order", Host: "a.example", Prefix: "/order/", Kind: routing.NonIdempotent, Public: true, Timeout: time.Minute,
			LatencyTarget: target, MaxServers: 1, Targets: []routing.Target{{Service: "orders", Weight: 1}}}}})
}

// newTestNode returns a node without a configuration, whose store does not
// answer.
func newTestNode(t *testing.T, drainLimit time.Duration) *Node {
	t.Helper()
	n, err := New(Options{VM: "vm", DataCentre: "dc", Callers: freeAddress(t), Peers: freeAddress(t), DrainLimit: drainLimit,
		Budget: retry.WindowConfig{Span: 10 * time.Second, Ratio: 0.2, Extra: 10},
		Log:    slog.New(slog.DiscardHandler), Meter: noop.NewMeterProvider().Meter("")},
		Protocol{Wire: idWire{}, Store: silentStore{}, EngineMemory: func(*upstream.Client) reserve.EngineMemory { return nil }})
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// idWire is an ingress.Wire that knows only the id of a request. All answers
// count as genuine.
type idWire struct{}

func (idWire) DecodeRequest(h http.Header) ingress.Meta {
	return ingress.Meta{ID: h.Get("Id"), TimeLeft: time.Minute}
}

func (idWire) EncodeRequest(http.Header, ingress.Outbound) {}

func (idWire) DecodeAnswer(int, http.Header) ingress.AnswerMeta {
	return ingress.AnswerMeta{Signed: true}
}

// silentStore is a store none of whose calls succeeds.
type silentStore struct{ follow.Store }

var errSilent = errors.New("the store does not answer")

func (silentStore) Range(ctx context.Context, _ string, answered func()) ([]follow.Item, follow.Position, error) {
	<-ctx.Done()
	return nil, 0, errSilent
}

func (silentStore) Grant(ctx context.Context, _ time.Duration) (follow.Lease, error) {
	<-ctx.Done()
	return follow.Lease{}, errSilent
}

// Guards against requests on connections that the kernel has accepted and the
// gateway has not: closing the port resets them without an answer.
func TestRequestsInTheAcceptQueueAreAnswered(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const rounds = 100
	unanswered := 0
	for range rounds {
		s := newRecordingServer(t)
		time.Sleep(time.Millisecond) // the accepting loop waits
		c := sendBlocking(t, s.address, "GET / HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n")
		s.listener.stopAccepting()
		_ = c.SetDeadline(time.Now().Add(answerTimeout))
		if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
			unanswered++
		}
		_ = c.Close()
	}
	if unanswered > 0 {
		t.Errorf("%d of %d requests were not answered", unanswered, rounds)
	}
}

// sendBlocking connects and sends without a pause in which another goroutine could
// run, as a caller does while the gateway waits for a processor.
func sendBlocking(t *testing.T, address, request string) net.Conn {
	t.Helper()
	parsed := netip.MustParseAddrPort(address)
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), address)
	defer func() { _ = file.Close() }()
	err = unix.Connect(fd, &unix.SockaddrInet4{Port: int(parsed.Port()), Addr: parsed.Addr().As4()})
	if err == nil {
		_, err = unix.Write(fd, []byte(request))
	}
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.FileConn(file)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against requests in flight at the drain limit that are answered too late,
// because the accepting loop waits after an error and the abort waited for it.
func TestAbortDoesNotWaitForRetriesOfAccept(t *testing.T) {
	is := is.New(t)
	n := newTestNode(t, minDrainTime+100*time.Millisecond)
	n.gateway.SetTable(orderTable())
	n.registry.Replace([]*registry.Server{{ID: "s0", Service: "orders", Address: hangingServer(t), DataCentre: "dc", Slots: 4}}, time.Now())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	exhausted := &exhaustedListener{Listener: l, closed: make(chan struct{})}
	callers := newCallerListener(exhausted, n.callerLimits, n.footprint)
	server := n.newServer()
	go func() { _ = callers.serve(server) }()
	var status int
	var answered time.Time
	var caller sync.WaitGroup
	caller.Go(func() {
		status = send(t, l.Addr().String(), "r1")
		answered = time.Now()
	})
	time.Sleep(50 * time.Millisecond)
	exhausted.exhausted.Store(true)
	last, err := net.Dial("tcp", l.Addr().String()) // ends the call of Accept that is waiting
	is.NoErr(err)
	defer func() { _ = last.Close() }()
	n.Stop()
	limit := time.Now().Add(n.options.DrainLimit)
	is.NoErr(n.drain(t.Context(), server, callers))
	caller.Wait()
	is.Equal(status, http.StatusGatewayTimeout)
	is.True(answered.Sub(limit) < abortTime)
}

// exhaustedListener fails to accept as long as the process has no free
// descriptors.
type exhaustedListener struct {
	net.Listener
	exhausted atomic.Bool
	closeOnce sync.Once
	closed    chan struct{}
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	default:
	}
	if l.exhausted.Load() {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

func (l *exhaustedListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Guards against the request of a connection that was opened just before the
// drain limit: the connection was closed before the request arrived.
func TestConnectionOpenedAtTheDrainLimitIsAnswered(t *testing.T) {
	is := is.New(t)
	n := newTestNode(t, minDrainTime+300*time.Millisecond)
	ended := make(chan error)
	go func() { ended <- n.Run(t.Context()) }()
	stuck, err := dialRetrying(n.options.Callers)
	is.NoErr(err)
	defer func() { _ = stuck.Close() }()
	_, _ = io.WriteString(stuck, "POST") // the head never ends
	n.Stop()
	limit := time.Now().Add(n.options.DrainLimit)
	time.Sleep(time.Until(limit) - 10*time.Millisecond)
	c, err := net.Dial("tcp", n.options.Callers)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	time.Sleep(100 * time.Millisecond)
	_ = c.SetDeadline(time.Now().Add(answerTimeout))
	_, _ = fmt.Fprintf(c, "POST /order/ HTTP/1.1\r\nHost: a.example\r\nId: r1\r\nContent-Length: 1\r\n\r\nx")
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.NoErr(<-ended)
}

// Guards against a pipelined request whose first part was read with the request
// before it and whose connection then counts as idle.
func TestPartOfAPipelinedRequestIsNotIdle(t *testing.T) {
	is := is.New(t)
	s := newRecordingServer(t)
	c, err := net.Dial("tcp", s.address)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(answerTimeout))
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\nGET / HTTP/1.1\r\n")
	answers := bufio.NewReader(c)
	response, err := http.ReadResponse(answers, nil)
	is.NoErr(err)
	_, _ = io.ReadAll(response.Body)
	time.Sleep(20 * time.Millisecond)
	s.listener.closeIdle(0)
	_, _ = io.WriteString(c, "Host: h\r\nId: 2\r\n\r\n")
	response, err = http.ReadResponse(answers, nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
}
