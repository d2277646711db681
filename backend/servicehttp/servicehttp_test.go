package servicehttp

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"camphorwick.dev/backend"
	"camphorwick.dev/standin/faults"
	"camphorwick.dev/standin/ordersim"
	"camphorwick.dev/standin/process"
)

// start runs the stand-in in the test process. runs returns its counts of the
// orders that ran.
func start(t *testing.T, settings ordersim.Settings) (address string, runs func() ordersim.Runs) {
	t.Helper()
	sim, err := ordersim.New(settings)
	if err != nil {
		t.Fatal(err)
	}
	ready, stop, err := process.Start(process.Handlers{Handle: sim.Handle, HandleFaults: sim.HandleFaults, MaxRequestBytes: ordersim.MaxRequestBytes})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := stop(); err != nil {
			t.Error(err)
		}
	})
	return ready.Address, func() (n ordersim.Runs) {
		t.Helper()
		_, body, err := fasthttp.Get(nil, "http://"+ready.FaultsAddress+"/runs")
		if err == nil {
			err = json.Unmarshal(body, &n)
		}
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
}

func withRules(rules ...faults.Rule) ordersim.Settings {
	return ordersim.Settings{Plan: faults.Plan{Rules: rules}}
}

func notSent(t *testing.T, err error) bool {
	t.Helper()
	var failed *backend.ServiceError
	if !errors.As(err, &failed) {
		t.Fatalf("not a ServiceError: %v", err)
	}
	return failed.NotSent
}

var order = backend.Call{
	Method: "POST", Path: "/a//b/../c%2F?x=%20&y", ContentType: "text/plain", Body: []byte("3 buckles"), OrderKey: "k1",
}

// Guards against a call that arrives with another method or path, and against a
// lost token or order key. Without the key, a service that checks keys would run
// an order twice.
func TestCall(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	check, token := true, "secret"
	address, runs := start(t, ordersim.Settings{CheckKeys: &check, Token: &token})
	s := New(Options{Address: address, Token: token})
	defer s.Close()
	reply, err := s.Call(ctx, order)
	is.NoErr(err)
	is.Equal(reply.Status, 200)
	is.Equal(reply.ContentType, "application/json")
	var result ordersim.Result
	is.NoErr(json.Unmarshal(reply.Body, &result))
	is.Equal(result.Path, order.Path)
	is.Equal(result.Method, order.Method)
	reply, err = s.Call(ctx, order)
	is.NoErr(err)
	is.Equal(reply.Status, 409)
	unauthenticated := New(Options{Address: address})
	defer unauthenticated.Close()
	reply, err = unauthenticated.Call(ctx, backend.Call{Method: "GET", Path: "/", OrderKey: "k2"})
	is.NoErr(err)
	is.Equal(reply.Status, 401)
	is.Equal(runs(), ordersim.Runs{
		Total: 1, Keys: map[string]int{"k1": 1}, Orders: map[string]int{result.OrderHash: 1}, Refused: 1, Unauthorized: 1,
	})
}

// Guards against an order that is sent twice and against NotSent for an order
// that may have run. By default fasthttp's client would retry GET and PUT.
func TestBrokenConnections(t *testing.T) {
	for _, method := range []string{"GET", "PUT", "POST"} {
		for fault, ran := range map[faults.Kind]int{faults.LoseRequest: 0, faults.LoseAnswer: 1, faults.CutAnswer: 1} {
			is, ctx := is.New(t), context.Background()
			address, runs := start(t, withRules(faults.Rule{Fault: fault, Skip: 1, Count: 1}))
			s := New(Options{Address: address})
			call := backend.Call{Method: method, Path: "/", OrderKey: "first"}
			_, err := s.Call(ctx, call)
			is.NoErr(err)
			call.OrderKey = "second"
			_, err = s.Call(ctx, call)
			is.True(!notSent(t, err))
			is.Equal(runs().Keys["second"], ran)
			s.Close()
		}
	}
}

// Guards against calls that outlive their context and against NotSent for an
// order that runs after its context has ended.
func TestContextEnds(t *testing.T) {
	is := is.New(t)
	address, runs := start(t, withRules(faults.Rule{Skip: 1, LatencyMS: 300}))
	s := New(Options{Address: address})
	defer s.Close()
	_, err := s.Call(context.Background(), order)
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	started := time.Now()
	late := order
	late.OrderKey = "late"
	_, err = s.Call(ctx, late)
	is.True(!notSent(t, err) && errors.Is(err, context.DeadlineExceeded))
	is.True(time.Since(started) < 250*time.Millisecond) // before the order runs, after 300 ms
	_, err = s.Call(ctx, order)
	is.True(notSent(t, err) && errors.Is(err, context.DeadlineExceeded))
	for runs().Keys["late"] == 0 {
		time.Sleep(5 * time.Millisecond)
	}
	is.Equal(runs().Keys, map[string]int{"k1": 1, "late": 1})
}

// Guards against an error without NotSent for an order of which no byte was
// written: the server has closed its port and the connection of the last call, or
// the method or path is invalid.
func TestNotSent(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := New(Options{Address: listener.Addr().String()})
	go func() { // answers one call, then closes its connection
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 4096))
		_, _ = io.WriteString(conn, "HTTP/1.1 204 No Content\r\n\r\n")
		_ = listener.Close()
		_ = conn.Close()
	}()
	_, err = s.Call(ctx, order)
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond) // until the close arrives
	for range 2 {
		_, err = s.Call(ctx, order)
		is.True(notSent(t, err))
	}
	for _, c := range []backend.Call{{Method: "GET", Path: "/ HTTP/1.1\r\nX: y"}, {Method: "G T", Path: "/"}, {Method: "GET", Path: "x"}} {
		_, err = s.Call(ctx, c)
		is.True(notSent(t, err) && errors.Is(err, ErrInvalidCall))
	}
	s.Close()
	_, err = s.Call(ctx, order)
	is.True(notSent(t, err))
}

// Guards against NotSent for a large order that was written in part.
func TestPartlyWritten(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	s := New(Options{Address: listener.Addr().String()})
	defer s.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	large := order
	large.Body = make([]byte, 32<<20) // more than the socket buffers take
	_, err = s.Call(ctx, large)
	is.True(!notSent(t, err) && errors.Is(err, context.DeadlineExceeded))
}
