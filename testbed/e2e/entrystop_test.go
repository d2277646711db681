package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/testbed/fleet"
)

// Guards against an entry that closes a connection without an answer to a request
// that it has received, when it stops while callers keep using their connections.
func TestStoppingEntryAnswersRequestsOnOpenConnections(t *testing.T) {
	const (
		callers = 40
		stops   = 4
	)
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 1, Orders: 1})
	address := f.Entries[0].Settings.Entry.CallersAddress
	call := fmt.Sprintf("GET /v1/services/orders/stock HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n\r\n", fleet.CallerKey)
	var answered, unanswered atomic.Int64
	for range stops {
		var group sync.WaitGroup
		for range callers {
			group.Go(func() {
				c, err := net.Dial("tcp", address)
				if err != nil {
					t.Error(err)
					return
				}
				defer func() { _ = c.Close() }()
				br := bufio.NewReader(c)
				for {
					_ = c.SetDeadline(time.Now().Add(20 * time.Second))
					if _, err := io.WriteString(c, call); err != nil {
						return // closed before the request was sent
					}
					response, err := http.ReadResponse(br, nil)
					if err != nil {
						unanswered.Add(1)
						return
					}
					_, _ = io.Copy(io.Discard, response.Body)
					answered.Add(1)
					if response.Close {
						return
					}
					time.Sleep(2 * time.Millisecond)
				}
			})
		}
		time.Sleep(200 * time.Millisecond)
		is.NoErr(f.Entries[0].Terminate())
		group.Wait()
		is.NoErr(f.StartDaemon(f.Entries[0]))
		is.NoErr(f.AwaitReady(ctx, f.Entries[0]))
	}
	t.Log(answered.Load(), "answered,", unanswered.Load(), "without an answer")
	is.Equal(unanswered.Load(), int64(0))
}
