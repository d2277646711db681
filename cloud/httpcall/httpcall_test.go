package httpcall

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

func call(ctx context.Context, c *Client, method, path string) (string, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://server" + path)
	err := c.Do(ctx, req, resp)
	return string(resp.Body()), err
}

// Guards against responses that reach another call, calls that are sent twice and
// calls that are reported as not sent although the server received them, while
// contexts end and the server closes active and idle connections at random.
func TestCallsUnderFaults(t *testing.T) {
	const workers, callsEach = 8, 150
	is := is.New(t)
	var mu sync.Mutex
	seen := map[string]int{}
	server := &fasthttp.Server{
		IdleTimeout: 2 * time.Millisecond, // makes closes just before a call likely
		Handler: func(ctx *fasthttp.RequestCtx) {
			path := string(ctx.Path())
			mu.Lock()
			seen[path]++
			mu.Unlock()
			time.Sleep(time.Duration(rand.IntN(3)) * time.Millisecond)
			if rand.IntN(10) == 0 {
				ctx.HijackSetNoResponse(true)
				ctx.Hijack(func(c net.Conn) { _ = c.Close() })
				return
			}
			ctx.SetBodyString(path)
		},
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = server.Serve(listener) }()
	c := New(Options{Address: listener.Addr().String()})
	results := make([]map[string]error, workers)
	var group sync.WaitGroup
	for w := range workers {
		results[w] = map[string]error{}
		group.Go(func() {
			for n := range callsEach {
				path := fmt.Sprintf("/%d/%d", w, n)
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rand.IntN(5000))*time.Microsecond)
				body, err := call(ctx, c, []string{"GET", "PUT", "POST"}[n%3], path)
				cancel()
				if err == nil && body != path {
					t.Errorf("call %s got response %q", path, body)
				}
				results[w][path] = err
				time.Sleep(time.Duration(rand.IntN(3)) * time.Millisecond)
			}
		})
	}
	group.Wait()
	c.Close()
	is.NoErr(server.Shutdown())
	mu.Lock()
	defer mu.Unlock()
	succeeded := 0
	for _, paths := range results {
		for path, err := range paths {
			callErr := &Error{Sent: true} // a call that succeeded was sent
			if err == nil {
				succeeded++
			} else if !errors.As(err, &callErr) {
				t.Errorf("call %s: untyped error %v", path, err)
			}
			if seen[path] > 1 || seen[path] == 1 && !callErr.Sent {
				t.Errorf("call %s: seen %d times, error %v", path, seen[path], err)
			}
		}
	}
	is.True(succeeded > 0)
}

// Guards against a call that waits for a free connection after its context has
// ended, or that is reported as sent although it never got a connection.
func TestMaxConnections(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0") // never responds
	is.NoErr(err)
	defer listener.Close()
	c := New(Options{Address: listener.Addr().String(), MaxConnections: 1})
	defer c.Close()
	first, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		_, err := call(first, c, "GET", "/")
		done <- err
	}()
	for len(c.permits) == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, stop := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer stop()
	_, err = call(ctx, c, "GET", "/")
	var failed *Error
	is.True(errors.As(err, &failed) && !failed.Sent && errors.Is(err, context.DeadlineExceeded))
	cancel()
	is.True(errors.Is(<-done, context.Canceled))
}
