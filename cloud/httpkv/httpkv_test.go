package httpkv

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"camphorwick.dev/cloud"
	"camphorwick.dev/standin/platformsim"
	"camphorwick.dev/standin/process"
)

// maxCancelDelay bounds the time between the end of a context and the return of
// its call.
const maxCancelDelay = time.Second

type standIn struct {
	*Client
	faultsAddress string
}

// startStandIn runs the stand-in of the platform in this process and returns a
// client of it.
func startStandIn(t *testing.T, o platformsim.Options) standIn {
	t.Helper()
	p := platformsim.New(o)
	ready, stop, err := process.Start(process.Handlers{Handle: p.Handle, HandleFaults: p.HandleFaults, MaxRequestBytes: platformsim.MaxRequestBytes})
	if err != nil {
		t.Fatal(err)
	}
	c := New(Options{Address: ready.Address, CallTimeout: 2 * time.Second, WatchWait: 100 * time.Millisecond})
	t.Cleanup(func() {
		c.Close()
		if err := stop(); err != nil {
			t.Error(err)
		}
	})
	return standIn{c, ready.FaultsAddress}
}

// callFaultsAddress calls the faults address of the stand-in, which also takes the
// VM list and returns the counts of calls. It returns the response body.
func (s standIn) callFaultsAddress(t *testing.T, method, path, body string) []byte {
	t.Helper()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + s.faultsAddress + path)
	req.SetBodyString(body)
	if err := fasthttp.Do(req, resp); err != nil || resp.StatusCode() >= 300 {
		t.Fatalf("%s %s: %v, status %d: %s", method, path, err, resp.StatusCode(), resp.Body())
	}
	return append([]byte(nil), resp.Body()...)
}

func (s standIn) calls(t *testing.T, operation string) int {
	t.Helper()
	var stats platformsim.Stats
	if err := json.Unmarshal(s.callFaultsAddress(t, "GET", "/stats", ""), &stats); err != nil {
		t.Fatal(err)
	}
	return stats.Calls[operation]
}

func as[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}

// Guards against wrong revisions, undetected conflicts and lost values.
func TestReadsAndWrites(t *testing.T) {
	is, ctx, s := is.New(t), context.Background(), startStandIn(t, platformsim.Options{})
	record, err := s.Get(ctx, "a")
	is.NoErr(err)
	is.Equal(record.Revision, uint64(0))                         // absent
	large := bytes.Repeat([]byte{0, 255}, cloud.MaxValueBytes/2) // just accepted
	first, err := s.Put(ctx, "a &?/\n", large, 0, 0)
	is.NoErr(err)
	record, err = s.Get(ctx, "a &?/\n")
	is.NoErr(err)
	is.True(record.Revision == first && bytes.Equal(record.Value, large))
	_, err = s.Put(ctx, "a &?/\n", nil, first+7, 0)
	var conflict *cloud.ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(*conflict, cloud.ConflictError{Key: "a &?/\n", Expected: first + 7, Actual: first})
	_, err = s.Put(ctx, "b", append(large, 0), 0, 0)
	is.True(as[*cloud.TooLargeError](err))
	is.True(as[*cloud.ConflictError](s.Delete(ctx, "a &?/\n", first+7)))
	is.NoErr(s.Delete(ctx, "a &?/\n", first))
	second, err := s.Put(ctx, "a2", nil, 0, 0)
	is.NoErr(err)
	is.True(second > first)
	keys, err := s.List(ctx, "a")
	is.NoErr(err)
	is.Equal(keys, []string{"a2"})
}

// Guards against keys that outlive their lease and leases that outlive their
// TTL.
func TestLeases(t *testing.T) {
	is, ctx, s := is.New(t), context.Background(), startStandIn(t, platformsim.Options{})
	id, err := s.Grant(ctx, time.Minute)
	is.NoErr(err)
	_, err = s.Put(ctx, "k", []byte("v"), 0, id)
	is.NoErr(err)
	is.NoErr(s.Renew(ctx, id))
	is.NoErr(s.Revoke(ctx, id))
	record, err := s.Get(ctx, "k")
	is.NoErr(err)
	is.Equal(record.Revision, uint64(0))
	is.True(as[*cloud.LeaseError](s.Renew(ctx, id)))
	short, err := s.Grant(ctx, time.Millisecond)
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond)
	_, err = s.Put(ctx, "k", nil, 0, short)
	is.True(as[*cloud.LeaseError](err))
}

// Guards against a wrong error type and against a write that is sent twice. With
// a wrong type, the caller that records orders in the store would send an order
// twice or report a wrong outcome.
func TestWriteFaults(t *testing.T) {
	for _, test := range []struct {
		fault              string
		uncertain, written bool
	}{
		{"refuse", false, false},
		{"lose_request", true, false},
		{"lose_answer", true, true},
		{"hold", true, false},
	} {
		t.Run(test.fault, func(t *testing.T) {
			is, ctx, s := is.New(t), context.Background(), startStandIn(t, platformsim.Options{})
			_, err := s.Get(ctx, "k") // opens a pooled connection
			is.NoErr(err)
			s.callFaultsAddress(t, "PUT", "/faults", `{"rules":[{"fault":"`+test.fault+`","operation":"put","count":1}]}`)
			_, err = s.Put(ctx, "k", []byte("v"), 0, 0)
			is.Equal(as[*cloud.UncertainError](err), test.uncertain)
			is.Equal(as[*cloud.UnavailableError](err), !test.uncertain)
			is.Equal(s.calls(t, "put"), 1) // not retried
			record, err := s.Get(ctx, "k")
			is.NoErr(err)
			is.Equal(record.Revision > 0, test.written)
			if test.fault == "hold" {
				s.callFaultsAddress(t, "POST", "/faults/release", "")
				record, err = s.Get(ctx, "k")
				is.NoErr(err)
				is.Equal(string(record.Value), "v")
			}
		})
	}
}

// Guards against retried reads, which would exceed the rate limits during an
// outage of the store, and against watches that keep waiting in an outage.
func TestReadFaults(t *testing.T) {
	is, ctx, s := is.New(t), context.Background(), startStandIn(t, platformsim.Options{})
	watch := make(chan error, 1)
	go func() {
		_, err := s.Watch(ctx, "k", 0)
		watch <- err
	}()
	for s.calls(t, "watch") == 0 {
		time.Sleep(time.Millisecond)
	}
	s.callFaultsAddress(t, "PUT", "/faults", `{"outage":"lose_request"}`)
	_, err := s.Get(ctx, "k")
	is.True(as[*cloud.UnavailableError](err))
	is.Equal(s.calls(t, "get"), 1)
	is.True(as[*cloud.UnavailableError](<-watch))
	s.callFaultsAddress(t, "PUT", "/faults", `{"outage":"refuse"}`)
	_, err = s.List(ctx, "k")
	is.True(as[*cloud.UnavailableError](err))
	s.callFaultsAddress(t, "DELETE", "/faults", "")
	_, err = s.Get(ctx, "k")
	is.NoErr(err)
}

// Guards against calls that outlive their context, and against a write that is
// reported as without effect although it takes effect after its context ended.
func TestContextEnds(t *testing.T) {
	is, s := is.New(t), startStandIn(t, platformsim.Options{})
	s.callFaultsAddress(t, "PUT", "/faults", `{"rules":[{"operation":"put","latency_ms":400}]}`)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	started := time.Now()
	_, err := s.Put(ctx, "k", []byte("v"), 0, 0)
	is.True(as[*cloud.UncertainError](err) && errors.Is(err, context.DeadlineExceeded))
	is.True(time.Since(started) < 300*time.Millisecond) // before the put takes effect, after 400 ms
	record, err := s.Watch(context.Background(), "k", 0)
	is.NoErr(err)
	is.Equal(string(record.Value), "v") // took effect later

	_, err = s.Put(ctx, "k", nil, record.Revision, 0)
	is.True(as[*cloud.UnavailableError](err) && errors.Is(err, context.DeadlineExceeded)) // not sent
	_, err = s.Get(ctx, "k")
	is.True(errors.Is(err, context.DeadlineExceeded))

	watchCtx, stop := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, stop)
	started = time.Now()
	_, err = s.Watch(watchCtx, "other", 0)
	is.True(errors.Is(err, context.Canceled) && time.Since(started) < maxCancelDelay)
	_, err = s.Get(context.Background(), "k") // the client still works
	is.NoErr(err)
}

// Guards against a call without a time limit to an unresponsive server.
func TestCallTimeout(t *testing.T) {
	is, s := is.New(t), startStandIn(t, platformsim.Options{})
	c := New(Options{Address: s.options.Address, CallTimeout: 30 * time.Millisecond})
	defer c.Close()
	s.callFaultsAddress(t, "PUT", "/faults", `{"latency_ms":300}`)
	_, err := c.Put(context.Background(), "k", nil, 0, 0)
	is.True(as[*cloud.UncertainError](err) && errors.Is(err, context.DeadlineExceeded))
	_, err = c.Get(context.Background(), "k")
	is.True(as[*cloud.UnavailableError](err) && errors.Is(err, context.DeadlineExceeded))
}

// Guards against an UncertainError for a write that was not sent, because no
// process listens or because the server closed the idle connection.
func TestUnreachableAndClosedConnections(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	c := New(Options{Address: address})
	defer c.Close()
	go func() { // responds to one call, then closes the connection
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 4096))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"revision\":1}")
		_ = listener.Close()
		_ = conn.Close()
	}()
	_, err = c.Put(ctx, "k", nil, 0, 0)
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond) // wait for the close to arrive
	// First with the closed idle connection, then without one.
	for range 2 {
		_, err = c.Put(ctx, "k", nil, 1, 0)
		is.True(as[*cloud.UnavailableError](err))
	}
}

// Guards against responses that do not come from the store and are taken as proof
// of a failed write, such as a 503 from a load balancer that may have forwarded
// the write.
func TestUnexpectedResponses(t *testing.T) {
	for _, rawResponse := range []string{
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",                // no body
		"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\n{}",            // no error code
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno",                               // no JSON
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",                               // no revision
		"HTTP/1.1 404 Not Found\r\nContent-Length: 20\r\n\r\n{\"code\":\"not found\"}", // unknown error code
		"HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n{\"revision\"",                  // incomplete body
		"HTTP/1.1 20", // incomplete status line
	} {
		is := is.New(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				_, _ = conn.Read(make([]byte, 4096))
				_, _ = io.WriteString(conn, rawResponse)
				_ = conn.Close()
			}
		}()
		c := New(Options{Address: listener.Addr().String()})
		_, err = c.Put(context.Background(), "k", nil, 0, 0)
		is.True(as[*cloud.UncertainError](err))
		is.True(as[*cloud.UncertainError](c.Delete(context.Background(), "k", 1)))
		_, err = c.Get(context.Background(), "k")
		is.True(as[*cloud.UnavailableError](err))
		c.Close()
		is.NoErr(listener.Close())
	}
}

// Guards against rate-limited calls that succeed or return another error type,
// and against calls that are not counted.
func TestRateLimits(t *testing.T) {
	is, ctx, s := is.New(t), context.Background(), startStandIn(t, platformsim.Options{ReadsPerSecond: 1, WritesPerSecond: 1, WeightsPerSecond: 1})
	for operation, call := range map[string]func() error{
		"get":     func() error { _, err := s.Get(ctx, "k"); return err },
		"grant":   func() error { _, err := s.Grant(ctx, time.Second); return err },
		"weights": func() error { return s.Reserve(ctx, "m", "1") },
	} {
		is.NoErr(call())
		var limited *cloud.RateLimitedError
		is.True(errors.As(call(), &limited))
		is.True(limited.RetryAfter > 0 && limited.RetryAfter <= time.Second)
		is.Equal(s.calls(t, operation), 2)
	}
}

// Guards against revisions that decrease when a backup is restored.
func TestRestore(t *testing.T) {
	is, ctx, s := is.New(t), context.Background(), startStandIn(t, platformsim.Options{})
	old, err := s.Put(ctx, "k", []byte("old"), 0, 0)
	is.NoErr(err)
	s.callFaultsAddress(t, "POST", "/faults/copy", "")
	latest, err := s.Put(ctx, "k", []byte("new"), old, 0)
	is.NoErr(err)
	s.callFaultsAddress(t, "POST", "/faults/restore", "")
	record, err := s.Watch(ctx, "k", latest)
	is.NoErr(err)
	is.Equal(string(record.Value), "old")
	is.True(record.Revision > latest)
}

// Guards against a stand-in whose VM list does not lag, and against fields of a
// VM that are lost in the protocol.
func TestVMListLags(t *testing.T) {
	is, ctx, s := is.New(t), context.Background(), startStandIn(t, platformsim.Options{VMLag: 150 * time.Millisecond})
	vm := cloud.VM{ID: "e1", Role: "entry", DataCentre: "dc1", Address: "127.0.0.1:1", State: cloud.VMLeaving}
	line, err := json.Marshal(vm)
	is.NoErr(err)
	started := time.Now()
	s.callFaultsAddress(t, "PUT", "/vms", `{"vms":[`+string(line)+`]}`)
	for {
		vms, err := s.VMs(ctx)
		is.NoErr(err)
		if len(vms) > 0 {
			is.Equal(vms, []cloud.VM{vm})
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	is.True(time.Since(started) >= 150*time.Millisecond)
}

// Guards against lost updates and responses that reach another caller.
func TestConcurrentWriters(t *testing.T) {
	const writers, increments = 8, 10
	is, ctx, s := is.New(t), context.Background(), startStandIn(t, platformsim.Options{})
	var group sync.WaitGroup
	for range writers {
		group.Go(func() {
			for done := 0; done < increments; {
				record, err := s.Get(ctx, "n")
				if err != nil {
					t.Error(err)
					return
				}
				_, err = s.Put(ctx, "n", append(record.Value, 'x'), record.Revision, 0)
				if err == nil {
					done++
				} else if !as[*cloud.ConflictError](err) {
					t.Error(err)
					return
				}
			}
		})
	}
	group.Wait()
	record, err := s.Get(ctx, "n")
	is.NoErr(err)
	is.Equal(len(record.Value), writers*increments)
}

// Guards against a process that stops following the list of VMs because of one entry in
// it that cannot be read.
func TestOddVMDisturbsNoOther(t *testing.T) {
	is := is.New(t)
	deep := strings.Repeat("[", 9_000) + strings.Repeat("]", 9_000)
	list := `{"vms":[{"id":"a","role":"agent"},{"id":7},{"id":"b","address":` + deep + `},[],"x",1e400,{"id":"c","role":"entry"}]}`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, list) }))
	defer server.Close()
	c := New(Options{Address: strings.TrimPrefix(server.URL, "http://")})
	defer c.Close()
	vms, err := c.VMs(t.Context())
	is.NoErr(err)
	is.Equal(vms, []cloud.VM{{ID: "a", Role: "agent"}, {ID: "c", Role: "entry"}})
}

// Guards against a process that never reads a large value over a slow link, because the
// call is given up for its whole time and begun again; and against one that waits for a
// response that does not go on.
func TestCallIsLimitedByProgress(t *testing.T) {
	const timeout, parts = 300 * time.Millisecond, 10
	for name, stall := range map[string]bool{"slow": false, "stalled": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("X-Revision", "7")
				w.Header().Set("Content-Length", "10000")
				for part := range parts {
					if stall && part == parts/2 {
						<-r.Context().Done()
						return
					}
					_, _ = w.Write(make([]byte, 10000/parts))
					_ = http.NewResponseController(w).Flush()
					time.Sleep(timeout / 3)
				}
			}))
			defer server.Close()
			c := New(Options{Address: strings.TrimPrefix(server.URL, "http://"), CallTimeout: timeout})
			defer c.Close()
			started := time.Now()
			record, err := c.Get(t.Context(), "k")
			if stall {
				is.True(errors.Is(err, context.DeadlineExceeded))
				is.True(time.Since(started) < 10*timeout)
				return
			}
			is.NoErr(err)
			is.Equal(len(record.Value), 10000)
		})
	}
}

// Guards against a watch that is lost in a short silence of the platform, without an error,
// and hides edits of the configuration for half a minute: an edit has to be in force
// everywhere within 5 s.
func TestLostWatchIsNoticed(t *testing.T) {
	const maxNotice = 3500 * time.Millisecond // leaves 1.5 s for the read and for passing the edit on
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer server.Close()
	c := New(Options{Address: strings.TrimPrefix(server.URL, "http://")})
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 2*maxNotice)
	defer cancel()
	started := time.Now()
	_, err := c.Watch(ctx, "k", 1)
	is.True(as[*cloud.UnavailableError](err))
	is.True(time.Since(started) <= maxNotice)
}
