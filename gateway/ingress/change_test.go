package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/gateway/routing"
)

// emptyTable is a configuration without routes, services and accounts.
func emptyTable(version int64) *routing.Table {
	return routing.NewTable(&routing.Config{Version: version, Limits: routing.Limits{BodyBytes: 1}})
}

// Guards against a request that is answered by a newer version of the configuration
// than the one it was admitted under, between two sends and while its body is read.
func TestChangeOfConfigurationDuringRequest(t *testing.T) {
	t.Run("between sends", func(t *testing.T) {
		is := is.New(t)
		var f *fleet
		change := func(c net.Conn, br *bufio.Reader, r *http.Request) bool {
			f.gateway.SetTable(emptyTable(2))
			return refusal(c, br, r)
		}
		served := firstThen(change, text(200, "done"))
		f = newFleet(t, served, served)
		response, body, err := f.call("POST", "/order/1", "", "body")
		is.NoErr(err)
		is.Equal(response.StatusCode, 200)
		is.Equal(body, "done")
		is.Equal(f.requests()[1].header.Get("Account"), "hanbit")
	})
	t.Run("while the body is read", func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, text(200, "done"))
		c, err := net.Dial("tcp", f.address)
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		_, err = io.WriteString(c, "POST /order/1 HTTP/1.1\r\nHost: a.example\r\nKey: secret\r\nId: r1\r\nContent-Length: 8\r\n\r\nhalf")
		is.NoErr(err)
		for f.gateway.Active() == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(20 * time.Millisecond) // the request is admitted
		f.gateway.SetTable(emptyTable(2))
		_, err = io.WriteString(c, "half")
		is.NoErr(err)
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, 200)
	})
}

// Guards against a request that waits for an engine and ends without an answer when
// the route, the account and the engine's description are removed.
func TestChangeOfConfigurationDuringWait(t *testing.T) {
	is := is.New(t)
	busy := make(chan struct{})
	f := newFleet(t, func(c net.Conn, br *bufio.Reader, r *http.Request) bool {
		if r.Header.Get("Id") != "waiting" {
			<-busy
		}
		return text(200, "done")(c, br, r)
	})
	const requests = 8 // twice the slots of the engine
	statuses := make(chan int, requests)
	for i := range requests {
		id := "waiting"
		if i < 4 {
			id = "busy"
		}
		go func() {
			response, _, err := f.call("POST", "/order/1", "Tokens: 20000\r\nLeft: 5000\r\nId: "+id+"\r\n", "body")
			if err != nil {
				statuses <- 0
				return
			}
			statuses <- response.StatusCode
		}()
		if id == "busy" {
			time.Sleep(20 * time.Millisecond)
		}
	}
	time.Sleep(200 * time.Millisecond)
	is.Equal(f.gateway.Active(), requests)
	is.True(len(f.requests()) < requests) // some requests wait
	f.gateway.SetTable(emptyTable(2))
	close(busy)
	for range requests {
		if status := <-statuses; status != 200 && status != 503 {
			t.Errorf("answered %d", status)
		}
	}
}

// Guards against a caller that gets no answer when the time of its request ends
// while it waits: in the queue, for memory or for a server.
func TestTimeEndsDuringWait(t *testing.T) {
	never := make(chan struct{})
	t.Cleanup(func() { close(never) })
	hang := func(net.Conn, *bufio.Reader, *http.Request) bool {
		<-never
		return false
	}
	for name, tc := range map[string]struct {
		target, headers string
		others          int // requests that occupy the engine
		want            string
	}{
		"queue":         {"/order/1", "Tokens: 20000\r\nLeft: 400\r\n", 4, "503"},
		"server":        {"/order/1", "Left: 300\r\n", 0, "504"},
		"lookup":        {"/lookup/1", "Left: 300\r\n", 0, "504"},
		"stream":        {"/stream/1", "Left: 300\r\n", 0, "504"},
		"no memory":     {"/stream/1", "Tokens: 150000\r\nLeft: 400\r\n", 0, "503 504"},
		"time is over":  {"/order/1", "Left: 1\r\n", 0, "503 504"},
		"prompt, lapse": {"/stream/1", "Tokens: 20000\r\nLeft: 1\r\n", 0, "503 504"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, hang, hang)
			for range 2 * tc.others {
				go func() { _, _, _ = f.call("POST", "/order/1", "Tokens: 20000\r\nLeft: 2000\r\n", "body") }()
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(50 * time.Millisecond)
			begun := time.Now()
			response, _, err := f.call("POST", tc.target, tc.headers, "body")
			is.NoErr(err)
			is.True(time.Since(begun) < 1500*time.Millisecond)
			t.Log(response.StatusCode, time.Since(begun))
			status := response.Status[:3]
			is.True(strings.Contains(tc.want, status))
		})
	}
}
