package placement

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/cloud"
	"camphorwick.dev/cloud/memkv"
	"camphorwick.dev/policy/place"
)

const ttl = 10 * time.Second

// Guards against a lease that two planners consider theirs, or that is written
// but that no planner considers its own, after the answer to the write is lost.
func TestLeaseWrites(t *testing.T) {
	cases := []struct {
		name  string
		fault memkv.Fault
		held  bool
	}{
		{"answer arrives", memkv.None, true},
		{"answer is lost", memkv.LoseAnswer, true},
		{"request is lost", memkv.LoseRequest, false},
		{"write takes effect later", memkv.Hold, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := memkv.New()
				store.SetPutFault(func(string) memkv.Fault { return tc.fault })
				// The names are those of two planners.
				first, second := &leases{store, "one", ttl}, &leases{store, "two", ttl}
				l, err := first.acquire(t.Context(), "m")
				is.Equal(err == nil, tc.held)
				store.SetPutFault(nil)
				store.ReleaseHeld()
				current, readErr := store.Get(t.Context(), KeyPrefix+"m")
				is.NoErr(readErr)
				other, err := second.acquire(t.Context(), "m")
				if tc.held {
					is.Equal(l.fencingToken, current.Revision)
					var held *HeldError
					is.True(errors.As(err, &held))
					return
				}
				is.Equal(current.Revision, uint64(0)) // acquire has revoked the lease of the uncertain write, which has no effect then
				is.NoErr(err)
				is.True(other.fencingToken > 0)
			})
		})
	}
}

// slowKV delays the answers to Grant and Renew.
type slowKV struct {
	cloud.KV
	delay time.Duration
}

func (s slowKV) Grant(ctx context.Context, ttl time.Duration) (cloud.LeaseID, error) {
	defer time.Sleep(s.delay)
	return s.KV.Grant(ctx, ttl)
}

func (s slowKV) Renew(ctx context.Context, id cloud.LeaseID) error {
	defer time.Sleep(s.delay)
	return s.KV.Renew(ctx, id)
}

// Guards against a lease that ends later for its holder than in the store
// because the duration of slow store calls is not subtracted.
func TestLeaseEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memkv.New()
		s := &leases{slowKV{store, 4 * time.Second}, "one", ttl}
		l, err := s.acquire(t.Context(), "m")
		is.NoErr(err)
		is.NoErr(s.renew(t.Context(), l))
		time.Sleep(l.remaining(time.Now())) // to the end that the holder knows; the store still has the lease
		current, err := store.Get(t.Context(), KeyPrefix+"m")
		is.NoErr(err)
		is.Equal(current.Revision, l.fencingToken)
		is.True(l.remaining(time.Now()) <= 0)
		time.Sleep(time.Duration(leaseMargin*float64(ttl)) + time.Millisecond) // past the end in the store
		next, err := (&leases{store, "two", ttl}).acquire(t.Context(), "m")
		is.NoErr(err)
		is.True(next.fencingToken > l.fencingToken)
	})
}

// fakeFleet has one engine, without model "m", and counts confirmed commands.
type fakeFleet struct {
	offer     time.Duration // time until the agent's offer
	confirmed int
}

func (f *fakeFleet) View(time.Time) (place.View, bool) {
	return place.View{Models: []place.Model{{Name: "m", Allowed: true}}, Demand: map[string]place.Demand{"m": {Requests: 1}},
		Engines: []place.Engine{{VM: "vm-1", DataCentre: "dc-1", PrefillTokensPerSecond: 1000}}}, true
}

func (f *fakeFleet) Send(ctx context.Context, _ place.Command, _ uint64, confirm func(context.Context) (time.Duration, error)) error {
	time.Sleep(f.offer)
	_, err := confirm(ctx)
	if err == nil {
		f.confirmed++
	}
	return err
}

// fakeWeights is a weight store that answers after a delay.
type fakeWeights struct {
	delay    time.Duration
	err      error
	reserved int
}

func (w *fakeWeights) Reserve(context.Context, string, string) error {
	time.Sleep(w.delay)
	w.reserved++
	return w.err
}

// Guards against commands that are sent after the end of the lease, beyond the
// rate limit of the weight store, or a second time within reportTimeout. The
// reports of this fleet never show a command as carried out.
func TestPlannerSends(t *testing.T) {
	cases := []struct {
		name                string
		offer, weights      time.Duration // delays of the agent's offer and of the weight store
		reserveErr          error         // of the weight store
		confirmed, reserved int
	}{
		{"once within reportTimeout", 0, 0, nil, 1, 1},
		{"not after a slow offer", ttl, 0, nil, 0, 0},
		{"not after a slow weight store", 0, ttl, nil, 0, 1},
		{"not beyond the limit of the weight store", 0, 0, &cloud.RateLimitedError{RetryAfter: time.Minute}, 0, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, w := &fakeFleet{offer: tc.offer}, &fakeWeights{delay: tc.weights, err: tc.reserveErr}
				p := New(Config{Name: "one", KV: memkv.New(), Weights: w, Fleet: f, Log: slog.New(slog.DiscardHandler), Lease: ttl, Interval: time.Second})
				// Shortly before the time at which the command may be sent again.
				ctx, cancel := context.WithTimeout(t.Context(), reportTimeout-time.Second)
				defer cancel()
				is.NoErr(p.Run(ctx))
				is.Equal(f.confirmed, tc.confirmed)
				is.Equal(w.reserved, tc.reserved)
			})
		})
	}
}
