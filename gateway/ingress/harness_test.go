package ingress

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/metric/noop"

	"camphorwick.dev/gateway/registry"
	"camphorwick.dev/gateway/reserve"
	"camphorwick.dev/gateway/routing"
	"camphorwick.dev/gateway/schedule"
	"camphorwick.dev/gateway/upstream"
	"camphorwick.dev/policy/dispatch"
	"camphorwick.dev/policy/footprint"
	"camphorwick.dev/policy/retry"
	"camphorwick.dev/policy/selfreport"
)

// testWire is a Wire with other header names than those of the platform.
type testWire struct{}

func (testWire) DecodeRequest(h http.Header) Meta {
	ms, _ := strconv.Atoi(h.Get("Left"))
	tokens, _ := strconv.Atoi(h.Get("Tokens"))
	m := Meta{ID: h.Get("Id"), Key: h.Get("Key"), LastEventID: h.Get("Last"), TimeLeft: time.Duration(ms) * time.Millisecond,
		PromptTokens: tokens, MaxAnswerTokens: 100}
	if answer := h.Get("Answer"); answer != "" {
		m.MaxAnswerTokens, _ = strconv.Atoi(answer)
	}
	if parts := h.Get("Parts"); parts != "" {
		m.SharedParts = strings.Split(parts, ",")
	}
	return m
}

func (testWire) EncodeRequest(h http.Header, o Outbound) {
	for _, name := range []string{"Key", "Left", "Last", "Account", "Server"} {
		h.Del(name)
	}
	h.Set("Left", strconv.FormatInt(o.TimeLeft.Milliseconds(), 10))
	h.Set("Server", o.ServerID)
	if o.Account != "" {
		h.Set("Account", o.Account)
	}
	if o.LastEventID != "" {
		h.Set("Last", o.LastEventID)
	}
}

func (testWire) DecodeAnswer(status int, h http.Header) AnswerMeta {
	return AnswerMeta{RequestID: h.Get("Id"), Signed: h.Get("Mark") != "", NotRun: h.Get("Not-Run") != "",
		Misrouted: h.Get("Misrouted") != "", Report: testReport(h)}
}

// testReport decodes what a server says of itself.
func testReport(h http.Header) selfreport.Report {
	pause, _ := time.ParseDuration(h.Get("Pause"))
	return selfreport.Report{Leaving: h.Get("Leaving") != "", Pause: pause}
}

// noMemory is a reserve.EngineMemory that refuses all reservations.
type noMemory struct{}

func (noMemory) Reserve(context.Context, string, string, string, int, time.Duration) error {
	return fmt.Errorf("no memory")
}
func (noMemory) Release(context.Context, string, string, string) error { return nil }

// seen is a request as received by a server of a fleet.
type seen struct {
	server string
	line   string
	header http.Header
	body   string
	at     time.Time
}

// fleet is a gateway with its servers, which are TCP servers that write the
// bytes given by a test.
type fleet struct {
	t        tester
	gateway  *Gateway // guarded by mu if renew is used
	address  string
	log      *lockedBuffer
	registry *registry.Registry
	servers  []registry.Server // as registered at the start

	mu        sync.Mutex
	seen      []seen
	conns     []net.Conn              // of the servers
	listeners map[string]net.Listener // by server
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// waitForLine returns the first log line that contains text and fails the test
// after 2 s.
func (f *fleet) waitForLine(text string) string {
	f.t.Helper()
	for range 200 {
		for line := range strings.Lines(f.log.String()) {
			if strings.Contains(line, text) {
				return line
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatalf("no line with %q in the log", text)
	return ""
}

// answer writes the answer to one request; it returns false to close the
// connection.
type answer func(c net.Conn, br *bufio.Reader, r *http.Request) bool

// tester is a *testing.T or a *rapid.T.
type tester interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
	Cleanup(f func())
}

// newFleet starts a gateway and servers s0, s1 ... that answer as given.
func newFleet(t tester, answers ...answer) *fleet {
	f := &fleet{t: t, log: &lockedBuffer{}, registry: registry.New(func(registry.Change) {}), listeners: map[string]net.Listener{}}
	for i, a := range answers {
		id := "s" + strconv.Itoa(i)
		f.servers = append(f.servers, registry.Server{ID: id, Service: "service", Address: f.startServer(id, a), DataCentre: "dc", Slots: 4})
	}
	f.register()
	f.gateway = f.newGateway()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.currentGateway().ServeHTTP(w, r) }),
		ConnContext: f.connContext, ErrorLog: slog.NewLogLogger(slog.NewJSONHandler(f.log, nil), slog.LevelError)}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	f.address = l.Addr().String()
	return f
}

// register registers all servers, also those that have left.
func (f *fleet) register() {
	for _, s := range f.servers {
		f.registry.Put(&s)
	}
}

// leave makes a server leave the registry.
func (f *fleet) leave(server string, how leave) {
	i := slices.IndexFunc(f.servers, func(s registry.Server) bool { return s.ID == server })
	switch how {
	case leaveDraining:
		draining := f.servers[i]
		draining.Draining = true
		f.registry.Put(&draining)
	case leaveRemoved:
		f.registry.Remove(server, time.Now())
	}
}

// newGateway returns a gateway that knows the servers and nothing of what they did.
func (f *fleet) newGateway() *Gateway {
	metrics, err := NewMetrics(noop.NewMeterProvider().Meter(""))
	if err != nil {
		f.t.Fatal(err)
	}
	log := slog.New(slog.NewJSONHandler(f.log, nil))
	g := New(Options{Wire: testWire{}, Scheduler: schedule.New(f.registry, "vm", "dc"), Client: upstream.New(), Log: log, Metrics: metrics,
		Reserver: reserve.New(noMemory{}, log), Processes: func() int { return 1 },
		Budget: retry.WindowConfig{Span: 10 * time.Second, Ratio: 0.2, Extra: 10}})
	g.SetTable(testTable())
	return g
}

// renew replaces the gateway and closes the connections to the servers, so that the
// next request does not depend on those before. A new fleet for each of thousands of
// requests would use up the ports of the machine.
func (f *fleet) renew() {
	f.register()
	g := f.newGateway()
	f.closeConns()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gateway, f.seen = g, nil
}

func (f *fleet) currentGateway() *Gateway {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gateway
}

// connContext ends the requests of a connection when the gateway aborts, and gives
// them access to the connection.
func (f *fleet) connContext(ctx context.Context, c net.Conn) context.Context {
	ctx, cancel := context.WithCancelCause(ctx)
	requests := f.currentGateway().BaseContext(nil)
	context.AfterFunc(requests, func() { cancel(context.Cause(requests)) })
	return WithConnection(ctx, testConnection{c})
}

// testConnection is the Connection of a caller of a fleet.
type testConnection struct{ net.Conn }

func (testConnection) CloseCause() string    { return "" }
func (c testConnection) ResetOnClose() error { return c.Conn.(*net.TCPConn).SetLinger(0) }

func (testConnection) Holder() *footprint.Holder { return nil }

func testTable() *routing.Table { return routing.NewTable(testConfig()) }

// tableWith returns the test table after a change, as a newer version.
func tableWith(change func(c *routing.Config)) *routing.Table {
	c := testConfig()
	c.Version++
	change(c)
	return routing.NewTable(c)
}

func testConfig() *routing.Config {
	route := func(prefix string, kind routing.Kind, resumable bool) routing.Route {
		return routing.Route{Name: prefix, Host: "a.example", Prefix: prefix, Kind: kind, Resumable: resumable, Timeout: 2 * time.Second,
			LatencyTarget: 300 * time.Millisecond, EventGapTarget: 250 * time.Millisecond, MaxServers: 2,
			Targets: []routing.Target{{Service: "service", Weight: 1}}}
	}
	brief := route("/brief/", routing.NonIdempotent, false)
	brief.Timeout = 200 * time.Millisecond
	public := route("/public/", routing.Idempotent, false)
	public.Public = true
	engine := &dispatch.Engine{Slots: 4, MemoryTokens: 100_000, ChunkTokens: 2048, StepsPerPass: 10, StepMillis: 1, PrefillTokensPerMilli: 100}
	return &routing.Config{Version: 1, Limits: routing.Limits{BodyBytes: 1 << 20},
		Routes: []routing.Route{route("/order/", routing.NonIdempotent, false), route("/lookup/", routing.Idempotent, false),
			route("/stream/", routing.Stream, true), route("/once/", routing.Stream, false), brief, public},
		Services: []routing.Service{{Name: "service", Engine: engine}},
		Accounts: []routing.Account{{Name: "hanbit", Keys: []string{"secret"}}}}
}

func (f *fleet) startServer(id string, a answer) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() {
		_ = l.Close()
		f.closeConns()
	})
	f.mu.Lock()
	f.listeners[id] = l
	f.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			f.mu.Lock()
			f.conns = append(f.conns, c)
			f.mu.Unlock()
			go f.serveConn(id, c, a)
		}
	}()
	return l.Addr().String()
}

// closePort makes a server accept no more connections, as if its process had ended.
func (f *fleet) closePort(server string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.listeners[server].Close()
}

func (f *fleet) closeConns() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		_ = c.Close()
	}
	f.conns = nil
}

func (f *fleet) serveConn(id string, c net.Conn, a answer) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		f.mu.Lock()
		f.seen = append(f.seen, seen{server: id, line: r.Method + " " + r.RequestURI, header: r.Header, body: string(body), at: time.Now()})
		f.mu.Unlock()
		if !a(c, br, r) {
			return
		}
	}
}

func (f *fleet) requests() []seen {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]seen(nil), f.seen...)
}

// call sends one request over a new connection and returns the answer with its
// body; err is set if the body is incomplete.
func (f *fleet) call(method, target, headers, body string) (*http.Response, string, error) {
	f.t.Helper()
	c := f.send(method, target, headers, body)
	defer func() { _ = c.Close() }()
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return nil, "", err
	}
	data, err := io.ReadAll(response.Body)
	return response, string(data), err
}

// send sends one request over a new connection, on which the answer can be read.
// Closing it resets it, which leaves no port in TIME_WAIT.
func (f *fleet) send(method, target, headers, body string) net.Conn {
	f.t.Helper()
	c, err := net.Dial("tcp", f.address)
	if err != nil {
		f.t.Fatal(err)
	}
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	if body != "" {
		headers += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	if !strings.Contains(headers, "Id:") {
		headers += "Id: r1\r\n"
	}
	_, _ = io.WriteString(c, method+" "+target+" HTTP/1.1\r\nHost: a.example\r\nKey: secret\r\n"+headers+"\r\n"+body)
	return c
}

// firstThen answers the first request with first and all others with rest. It
// may be shared by several servers.
func firstThen(first, rest answer) answer {
	var calls atomic.Int32
	return func(c net.Conn, br *bufio.Reader, r *http.Request) bool {
		if calls.Add(1) == 1 {
			return first(c, br, r)
		}
		return rest(c, br, r)
	}
}

// text answers with a status, the stamp of a server and a body with
// Content-Length.
func text(status int, body string) answer {
	return func(c net.Conn, _ *bufio.Reader, r *http.Request) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\nMark: m\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", status, r.Header.Get("Id"), len(body), body)
		return err == nil
	}
}

// raw answers with the given bytes and closes the connection.
func raw(s string) answer {
	return func(c net.Conn, _ *bufio.Reader, _ *http.Request) bool {
		_, _ = io.WriteString(c, s)
		return false
	}
}

// refusal is an answer which states that the request did not run.
func refusal(c net.Conn, _ *bufio.Reader, r *http.Request) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 503 X\r\nNot-Run: 1\r\nId: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
	return err == nil
}

// events answers with the events from the one after the caller's last one to the
// event last, and then ends the stream or breaks it off within the next event.
func events(last int, complete bool) answer {
	return func(c net.Conn, _ *bufio.Reader, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nMark: m\r\nId: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		first, _ := strconv.Atoi(r.Header.Get("Last"))
		for id := first + 1; id <= last; id++ {
			chunk(c, fmt.Sprintf("id: %d\ndata: e%d\n\n", id, id))
		}
		if complete {
			_, _ = io.WriteString(c, "0\r\n\r\n")
			return true
		}
		chunk(c, fmt.Sprintf("id: %d\nda", last+1))
		return false
	}
}

func chunk(c net.Conn, s string) { _, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(s), s) }

// wantEvents returns the text of the events first to last.
func wantEvents(first, last int) string {
	var b strings.Builder
	for id := first; id <= last; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: e%d\n\n", id, id)
	}
	return b.String()
}
