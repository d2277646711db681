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

// fakeMemory is a Memory that holds the reservations until their leases end.
type fakeMemory struct {
	mu     sync.Mutex
	held   map[string]time.Time // by server and reservation ID
	calls  int                  // of Reserve
	refuse string               // a server that refuses
}

func (m *fakeMemory) Reserve(_ context.Context, _, server, id string, _ int, lease time.Duration) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if server == m.refuse {
		return errors.New("no memory")
	}
	m.held[server+"/"+id] = time.Now().Add(lease)
	return nil
}

func (m *fakeMemory) Release(_ context.Context, _, server, id string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.held, server+"/"+id)
	return nil
}

// servers returns the servers with memory reserved now.
func (m *fakeMemory) servers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for key, end := range m.held {
		if time.Now().Before(end) {
			out = append(out, key[:2]) // the server: all IDs here have two letters
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

// Guards against a reservation that ends before its request, and against one
// that outlasts it.
func TestReservationLastsAsLongAsTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := &fakeMemory{held: map[string]time.Time{}}
		reservation, err := newReserver(m).Reserve(context.Background(), assignment())
		is.NoErr(err)
		is.True(reservation.ReservationID(0) != "" && reservation.ReservationID(1) == "" && reservation.ReservationID(2) != "")
		is.True(reservation.ReservationID(0) != reservation.ReservationID(2))
		for range 10 { // several lease times
			time.Sleep(time.Second)
			is.Equal(m.servers(), []string{"s1", "s3"})
		}
		reservation.Release()
		synctest.Wait()
		is.Equal(len(m.servers()), 0)
		time.Sleep(10 * time.Second)
		is.Equal(len(m.servers()), 0) // no renewal after the release
	})
}

// Guards against memory that stays reserved at the other helpers when one of
// them refuses.
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

// Guards against memory that stays reserved for longer than the platform's
// limit of 4 s after its gateway has died, and against leases that end because
// one renewal is lost.
func TestReservationsOfADeadGatewayEnd(t *testing.T) {
	is := is.New(t)
	is.True(leaseTime < 4*time.Second)
	is.True(2*renewInterval+callTimeout < leaseTime)
}

// Guards against reserve calls for prompts that one engine can store.
func TestNothingToReserve(t *testing.T) {
	is := is.New(t)
	m := &fakeMemory{held: map[string]time.Time{}}
	a := assignment()
	a.HelperTokens = nil
	reservation, err := newReserver(m).Reserve(context.Background(), a)
	is.NoErr(err)
	is.Equal(reservation.ReservationID(0), "")
	reservation.Release()
	is.Equal(m.calls, 0)
}
