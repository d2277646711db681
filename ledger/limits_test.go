package ledger

import (
	"context"
	"encoding/binary"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/api/wire"
	"camphorwick.dev/cloud"
	"camphorwick.dev/cloud/memkv"
)

// limitedKV rejects writes with RateLimitedError until a set time.
type limitedKV struct {
	*memkv.Store
	mu             sync.Mutex
	limitedUntil   time.Time // writes are rejected before it
	omitRetryAfter bool      // RateLimitedError states no retry delay
	refusedCalls   int       // number of rejected writes
}

func (kv *limitedKV) limitFor(d time.Duration) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.limitedUntil = time.Now().Add(d)
}

func (kv *limitedKV) Put(ctx context.Context, key string, value []byte, expected uint64, lease cloud.LeaseID) (uint64, error) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	if wait := time.Until(kv.limitedUntil); wait > 0 {
		kv.refusedCalls++
		if kv.omitRetryAfter {
			wait = 0
		}
		return 0, &cloud.RateLimitedError{RetryAfter: wait}
	}
	return kv.Store.Put(ctx, key, value, expected, lease)
}

// Guards against store calls before the retry delay of the platform has passed.
// It is 3 s: the claim with a timeout of 2 s fails, the other one is granted after
// one rejected write in total.
func TestRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		kv := &limitedKV{Store: memkv.New()}
		kv.limitFor(3 * time.Second)
		l := New(kv, "vm-1@1", Config{MaxCalls: 1})
		defer closeLedger(t, l)
		go func() {
			_, _, err := claimWithin(t, l, mustKey(t, time.Now(), 2), 2*time.Second)
			is.Equal(outcome.CodeOf(err), outcome.StoreUnavailable)
		}()
		claim, _, err := claimWithin(t, l, mustKey(t, time.Now(), 1), 10*time.Second)
		is.NoErr(err)
		is.Equal(kv.refusedCalls, 1)
		claim.InDoubt()
	})
}

// Guards against a claim that waits to the end of its time although the platform has
// stated that it takes no call before.
func TestClaimIsRefusedDuringALongRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		kv := &limitedKV{Store: memkv.New()}
		kv.limitFor(3 * time.Second)
		l := New(kv, "vm-1@1", Config{MaxCalls: 1})
		defer closeLedger(t, l)
		granted := make(chan *Claim)
		go func() { // waits, because the rate limit is not known yet
			claim, _, _ := claimWithin(t, l, mustKey(t, time.Now(), 1), 10*time.Second)
			granted <- claim
		}()
		synctest.Wait()
		started := time.Now()
		for n, call := range map[int]func(context.Context, Key) error{
			2: func(ctx context.Context, key Key) error {
				_, _, err := l.Claim(ctx, key, digest, "attempt")
				return err
			},
			3: func(ctx context.Context, key Key) error { _, err := l.Lookup(ctx, key); return err },
		} {
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			err := call(ctx, mustKey(t, time.Now(), n))
			is.Equal(outcome.CodeOf(err), outcome.StoreUnavailable)
			is.True(outcome.From(err).RetryAfter >= 3*time.Second)
		}
		is.Equal(time.Since(started), time.Duration(0))
		claim := <-granted
		is.True(claim != nil)
		claim.InDoubt()
	})
}

// Guards against one store call per new claim while the platform limits the
// rate without stating a retry delay.
func TestRateLimitWithoutDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		kv := &limitedKV{Store: memkv.New(), omitRetryAfter: true}
		kv.limitFor(time.Second)
		l := New(kv, "vm-1@1", Config{MaxCalls: 1})
		defer closeLedger(t, l)
		key := mustKey(t, time.Now(), 1)
		for n := range 200 {
			key := key
			key.hash[hashBytes-1] = byte(n) // another key of the same shard
			go func() {
				claim, _, err := claimWithin(t, l, key, time.Minute)
				is.NoErr(err)
				claim.InDoubt()
			}()
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(time.Minute)
		// The delays double from 5 ms to 640 ms and at least half of each is waited,
		// so fewer than 10 calls fall into the second of the rate limit.
		is.True(kv.refusedCalls <= 10)
	})
}

// Guards against unbounded queues of claims and of unwritten outcomes. Two waiting
// claims reach MaxWaiting. After their timeout, unwritten records reach
// MaxUnwritten.
func TestOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		kv := &limitedKV{Store: memkv.New(), omitRetryAfter: true} // claims wait if the delay is not known
		l := New(kv, "vm-1@1", Config{MaxWaiting: 2, MaxUnwritten: 1})
		defer closeLedger(t, l)
		now := time.Now()
		first, _, err := claimWithin(t, l, mustKey(t, now, 0), time.Second)
		is.NoErr(err)
		kv.limitFor(time.Minute)
		for n := 1; n <= 2; n++ {
			go func() { _, _, _ = claimWithin(t, l, mustKey(t, now, n), 10*time.Second) }()
		}
		synctest.Wait()
		_, _, err = claimWithin(t, l, mustKey(t, now, 3), time.Second)
		is.Equal(outcome.CodeOf(err), outcome.Overloaded)
		_, err = l.Lookup(t.Context(), mustKey(t, now, 3))
		is.Equal(outcome.CodeOf(err), outcome.Overloaded)
		time.Sleep(20 * time.Second) // the two claims time out after 10 s
		first.Done(200, "", nil)
		_, _, err = claimWithin(t, l, mustKey(t, now, 3), time.Second)
		is.Equal(outcome.CodeOf(err), outcome.Overloaded)
	})
}

// Guards against a value that exceeds the limit of the store, and against
// outcomes that are rejected because the value is full.
func TestFullShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, l, key := newLedger(t)
		claim, _, err := l.Claim(t.Context(), key, digest, "1")
		is.NoErr(err)
		fillShard(t, store, key, claimLimitBytes) // more than bodyLimitBytes too
		claim.Done(200, "text/plain", []byte("body"))
		second := key
		second.hash[hashBytes-1]++
		_, _, err = l.Claim(t.Context(), second, digest, "2")
		is.Equal(outcome.CodeOf(err), outcome.Overloaded)
		synctest.Wait()
		record := storedRecord(t, store, key)
		is.Equal(record.GetStatus(), done)
		is.True(record.GetBodyOmitted())
		is.Equal(len(record.GetBody()), 0)
	})
}

// fillShard adds records to a value until it has at least size bytes.
func fillShard(t testing.TB, store *memkv.Store, key Key, size int) {
	t.Helper()
	stored, err := store.Get(t.Context(), key.storeKey())
	if err != nil {
		t.Fatal(err)
	}
	value := stored.Value
	for n := uint64(0); len(value) < size; n++ {
		filler := key.hash
		binary.BigEndian.PutUint64(filler[8:], n)
		frame, err := encodeFrame(&wire.OrderRecord{KeyHash: filler[:], Status: done, Claimant: "vm-9@9",
			AttemptId: "01890a5d-ac96-774b-bcce-b302099a8057/1", RequestDigest: make([]byte, 32), HttpStatus: 200})
		if err != nil {
			t.Fatal(err)
		}
		value = append(value, frame...)
	}
	if _, err := store.Put(t.Context(), key.storeKey(), value, stored.Revision, 0); err != nil {
		t.Fatal(err)
	}
}

// Guards against recording bodies of more than MaxBodyBytes.
func TestBodyLimit(t *testing.T) {
	for size, omitted := range map[int]bool{0: false, MaxBodyBytes: false, MaxBodyBytes + 1: true} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := memkv.New()
				l := New(store, "vm-1@1", Config{})
				key := mustKey(t, time.Now(), 1)
				claim, _, err := l.Claim(t.Context(), key, digest, "1")
				is.NoErr(err)
				claim.Done(200, "text/plain", make([]byte, size))
				closeLedger(t, l)
				record := storedRecord(t, store, key)
				is.Equal(record.GetBodyOmitted(), omitted)
				is.Equal(len(record.GetBody()) == size, !omitted)
				is.Equal(record.GetHttpStatus(), uint32(200))
			})
		})
	}
}

// slowKV delays each write and is otherwise a memkv store.
type slowKV struct {
	*memkv.Store
	latency    time.Duration
	afterWrite func() // called after each write; may be nil
}

func (kv *slowKV) Put(ctx context.Context, key string, value []byte, expected uint64, lease cloud.LeaseID) (uint64, error) {
	time.Sleep(kv.latency)
	if kv.afterWrite != nil {
		defer kv.afterWrite()
	}
	return kv.Store.Put(ctx, key, value, expected, lease)
}

// Guards against writing each order separately and against reading the value
// for every batch.
func TestBatching(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memkv.New()
		l := New(&slowKV{Store: store, latency: 2 * time.Millisecond}, "vm-1@1", Config{})
		defer closeLedger(t, l)
		key := mustKey(t, time.Now(), 1)
		for n := range 100 {
			key := key
			key.hash[hashBytes-1] = byte(n) // another key of the same shard
			go func() {
				claim, _, err := l.Claim(t.Context(), key, digest, "1")
				is.NoErr(err)
				claim.Done(200, "", nil)
			}()
		}
		time.Sleep(time.Second)
		calls := store.Calls()
		is.Equal(calls.Reads, 1)
		// At most one write each for the first claim, its outcome, the 99 other
		// claims and their outcomes.
		is.True(calls.Writes <= 4)
	})
}

// Guards against a cache that exceeds CacheBytes or miscounts its size.
func TestCacheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := New(memkv.New(), "vm-1@1", Config{CacheBytes: 1000}) // fewer bytes than 100 records need
		for n := range 100 {
			claim, _, err := l.Claim(t.Context(), mustKey(t, time.Now(), n), digest, "1")
			is.NoErr(err)
			claim.Done(200, "", nil)
			synctest.Wait()
			is.True(l.cachedBytes <= 1000)
		}
		closeLedger(t, l)
		total := 0
		for _, s := range l.shards {
			total += s.cachedBytes
		}
		is.Equal(l.cachedBytes, total)
		is.Equal(len(l.inFlight)+len(l.abandoned)+l.waiting+l.unwritten, 0)
	})
}
