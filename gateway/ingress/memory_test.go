package ingress

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/gateway/reserve"
)

// grantingMemory is a reserve.Memory that grants all reservations and keeps those
// not yet released.
type grantingMemory struct {
	mu   sync.Mutex
	held map[string]bool
}

func (m *grantingMemory) Reserve(_ context.Context, _, server, id string, _ int, _ time.Duration) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held[server+"/"+id] = true
	return nil
}

func (m *grantingMemory) Release(_ context.Context, _, server, id string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.held, server+"/"+id)
	return nil
}

func (m *grantingMemory) reservations() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.held)
}

// Guards against memory that stays reserved by renewals while no request uses
// it: a prompt stored on several engines waits behind newer prompt shards at
// one of them for as long as long prompts arrive.
func TestUnusedMemoryIsReleased(t *testing.T) {
	is := is.New(t)
	var requested sync.Once
	unresponsiveOnce := func(c net.Conn, br *bufio.Reader, r *http.Request) bool {
		first := false
		requested.Do(func() { first = true })
		if first {
			_, err := br.ReadByte()
			return err == nil
		}
		return events(1, true)(c, br, r)
	}
	f := newFleet(t, unresponsiveOnce, unresponsiveOnce, unresponsiveOnce)
	memory := &grantingMemory{held: map[string]bool{}}
	f.gateway.Reserver = reserve.New(memory, slog.New(slog.DiscardHandler))
	f.gateway.UnusedMemory = unusedMargin + 200*time.Millisecond // so the send is cancelled after 200 ms
	begun := time.Now()
	response, _, err := f.call("POST", "/stream/", "Tokens: 150000\r\n", "x") // one engine stores 100,000
	is.NoErr(err)
	is.Equal(response.StatusCode, 200)
	is.True(time.Since(begun) < time.Second)
	is.Equal(len(f.requests()), 2)
	is.True(strings.Contains(f.waitForLine("reserved memory given up"), `"level":"WARN"`))
	for range 100 {
		if memory.reservations() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%d reservations are left", memory.reservations())
}
