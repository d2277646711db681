package reserve

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sort"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/gateway/registry"
	"camphorwick.dev/gateway/schedule"
)

// fakeMemory holds the reservations of engines until their leases end.
type fakeMemory struct {
	mu     sync.Mutex
	held   map[string]time.Time // by server and name
	orders int
	refuse string // a server that refuses
}

func (m *fakeMemory) Reserve(_ context.Context, _, server, name string, _ int, lease time.Duration) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.orders++
	if server == m.refuse {
		return errors.New("no memory")
	}
	m.held[server+"/"+name] = time.Now().Add(lease)
	return nil
}

func (m *fakeMemory) Release(_ context.Context, _, server, name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.held, server+"/"+name)
	return nil
}

// servers returns the servers with memory reserved now.
func (m *fakeMemory) servers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for key, end := range m.held {
		if time.Now().Before(end) {
			out = append(out, key[:2])
		}
	}
	sort.Strings(out)
	return out
}

func assignment() *schedule.Assignment {
	return &schedule.Assignment{Server: &registry.Server{ID: "s0"},
		Helpers: []*registry.Server{{ID: "s1"}, {ID: "s2"}, {ID: "s3"}}, HelperTokens: []int{50_000, 0, 20_000}}
}

func newReserver(m *fakeMemory) *Reserver {
	return New(m, slog.New(slog.NewJSONHandler(io.Discard, nil)))
}

// Guards against a reservation that ends during its request, and against one
// that outlives it.
func TestHoldLastsAsLongAsTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := &fakeMemory{held: map[string]time.Time{}}
		hold, err := newReserver(m).Reserve(context.Background(), assignment())
		is.NoErr(err)
		is.True(hold.ReservationID(0) != "" && hold.ReservationID(1) == "" && hold.ReservationID(2) != "")
		is.True(hold.ReservationID(0) != hold.ReservationID(2))
		for range 10 {
			time.Sleep(time.Second)
			is.Equal(m.servers(), []string{"s1", "s3"})
		}
		hold.Release()
		synctest.Wait()
		is.Equal(len(m.servers()), 0)
		time.Sleep(10 * time.Second)
		is.Equal(len(m.servers()), 0) // no renewal after the release
	})
}

// Guards against memory that stays reserved when one of several engines
// refuses.
func TestAllOrNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := &fakeMemory{held: map[string]time.Time{}, refuse: "s3"}
		_, err := newReserver(m).Reserve(context.Background(), assignment())
		var failed *Error
		is.True(errors.As(err, &failed))
		is.Equal(failed.Server, "s3")
		synctest.Wait()
		is.Equal(len(m.servers()), 0)
	})
}

// Guards against memory that a dead gateway keeps for more than the 4 s that
// the platform allows.
func TestReservationsOfADeadGatewayEnd(t *testing.T) {
	is := is.New(t)
	is.True(leaseTime < 4*time.Second)
	is.True(2*renewInterval+callTimeout < leaseTime)
}

// Guards against orders for prompts that one engine stores.
func TestNothingToReserve(t *testing.T) {
	is := is.New(t)
	m := &fakeMemory{held: map[string]time.Time{}}
	a := assignment()
	a.HelperTokens = nil
	hold, err := newReserver(m).Reserve(context.Background(), a)
	is.NoErr(err)
	is.Equal(hold.ReservationID(0), "")
	hold.Release()
	is.Equal(m.orders, 0)
}
