package ledger

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/api/wire"
	"camphorwick.dev/platform"
	"camphorwick.dev/platform/memkv"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	claimed   = wire.OrderStatus_ORDER_STATUS_CLAIMED
	done      = wire.OrderStatus_ORDER_STATUS_DONE
	abandoned = wire.OrderStatus_ORDER_STATUS_ABANDONED
)

var digest = []byte("digest of the request")

// orderKey returns the text of the n-th UUIDv7 of a time.
func orderKey(created time.Time, n int) string {
	var id uuid.UUID
	var ms [8]byte
	binary.BigEndian.PutUint64(ms[:], uint64(created.UnixMilli()))
	copy(id[:6], ms[2:])
	id[6], id[8] = 0x70, 0x80
	binary.BigEndian.PutUint32(id[12:], uint32(n))
	return id.String()
}

func mustKey(t testing.TB, now time.Time, n int) Key {
	t.Helper()
	key, err := ParseKey("alwusta-1", "mixing", orderKey(now, n), now)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// closeLedger closes a ledger whose store works.
func closeLedger(t testing.TB, l *Ledger) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if err := l.Close(ctx); err != nil {
		t.Error(err)
	}
}

// claimWithin calls Claim with a time limit.
func claimWithin(t testing.TB, l *Ledger, key Key, limit time.Duration) (*Claim, *wire.OrderRecord, error) {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	return l.Claim(ctx, key, digest, "attempt")
}

// stored returns the record of a key in the store.
func stored(t testing.TB, kv platform.KV, key Key) *wire.OrderRecord {
	t.Helper()
	entry, err := kv.Get(t.Context(), key.storeKey())
	if err != nil {
		t.Fatal(err)
	}
	s, err := parseSnapshot(entry)
	if err != nil {
		t.Fatal(err)
	}
	record, err := s.find(key.hash)
	if err != nil {
		t.Fatal(err)
	}
	return record
}

// faultOnce applies a fault to the next write only.
func faultOnce(store *memkv.Store, fault memkv.Fault) {
	used := false
	store.SetFault(func(string) memkv.Fault {
		if used {
			return memkv.None
		}
		used = true
		return fault
	})
}

// Guards against keys of the wrong form or age reaching the store.
func TestParseKey(t *testing.T) {
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	valid := orderKey(now, 1)
	for name, c := range map[string]struct {
		account, service, text string
		code                   outcome.Code
	}{
		"valid":           {"a", "s", valid, ""},
		"upper case":      {"a", "s", strings.ToUpper(valid), ""},
		"almost expired":  {"a", "s", orderKey(now.Add(-KeyLifetime+time.Millisecond), 1), ""},
		"expired":         {"a", "s", orderKey(now.Add(-KeyLifetime), 1), outcome.KeyExpired},
		"slightly ahead":  {"a", "s", orderKey(now.Add(MaxKeyLead), 1), ""},
		"far ahead":       {"a", "s", orderKey(now.Add(MaxKeyLead+time.Millisecond), 1), outcome.KeyExpired},
		"no account":      {"", "s", valid, outcome.InvalidRequest},
		"no service":      {"a", "", valid, outcome.InvalidRequest},
		"not a UUID":      {"a", "s", "order 17", outcome.InvalidRequest},
		"empty":           {"a", "s", "", outcome.InvalidRequest},
		"version 4":       {"a", "s", "9b2f1c1e-64a3-4d29-8b5c-0f6f3b0f7c11", outcome.InvalidRequest},
		"without dashes":  {"a", "s", strings.ReplaceAll(valid, "-", ""), outcome.InvalidRequest},
		"with URN prefix": {"a", "s", "urn:uuid:" + valid, outcome.InvalidRequest},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ParseKey(c.account, c.service, c.text, now)
			is.New(t).Equal(outcome.CodeOf(err), c.code)
		})
	}
}

// Guards against two scopes that share records.
func TestKeyScope(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	parse := func(account, service, text string) Key {
		key, err := ParseKey(account, service, text, now)
		is.NoErr(err)
		return key
	}
	text := orderKey(now, 1)
	is.Equal(parse("a", "bc", text), parse("a", "bc", strings.ToUpper(text)))
	is.True(parse("a", "bc", text) != parse("ab", "c", text))
	is.True(parse("a", "bc", text) != parse("a", "bc", orderKey(now, 2)))
}

// Guards against wrong answers on the normal path: claim, outcome, repeat on
// this and another process, key reuse.
func TestClaimAndOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memkv.New()
		a, b := New(store, "vm-1@1", Config{}), New(store, "vm-2@1", Config{})
		defer closeLedger(t, a)
		defer closeLedger(t, b)
		key := mustKey(t, time.Now(), 1)

		claim, record, err := a.Claim(t.Context(), key, digest, "attempt-1")
		is.NoErr(err)
		is.True(claim != nil && record == nil)
		is.True(a.InProgress(key))
		_, record, err = a.Claim(t.Context(), key, digest, "attempt-2")
		is.Equal(outcome.CodeOf(err), outcome.OrderInProgress)
		is.Equal(record.GetStatus(), claimed)
		_, _, err = a.Claim(t.Context(), key, []byte("other"), "attempt-2")
		is.Equal(outcome.CodeOf(err), outcome.KeyConflict)
		other, record, err := b.Claim(t.Context(), key, digest, "attempt-3")
		is.NoErr(err)
		is.True(other == nil)
		is.Equal(record.GetClaimant(), "vm-1@1")

		claim.Done(201, "text/plain", []byte("mixed"))
		claim.Abandon() // no effect after Done
		for _, l := range []*Ledger{a, b} {
			synctest.Wait()
			claim, record, err = l.Claim(t.Context(), key, digest, "attempt-4")
			is.NoErr(err)
			is.True(claim == nil)
			is.Equal(record.GetStatus(), done)
			is.Equal(record.GetHttpStatus(), uint32(201))
			is.Equal(string(record.GetBody()), "mixed")
			_, _, err = l.Claim(t.Context(), key, []byte("other"), "attempt-5")
			is.Equal(outcome.CodeOf(err), outcome.KeyConflict)
			record, err = l.Lookup(t.Context(), key)
			is.NoErr(err)
			is.Equal(record.GetStatus(), done)
		}
		is.True(!a.InProgress(key))
		record, err = b.Lookup(t.Context(), mustKey(t, time.Now(), 2))
		is.NoErr(err)
		is.True(record == nil)
	})
}

// Guards against an abandoned key that stays blocked, and against an order in
// doubt that becomes claimable again.
func TestAbandonAndInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memkv.New()
		a, b := New(store, "vm-1@1", Config{}), New(store, "vm-2@1", Config{})
		defer closeLedger(t, a)
		defer closeLedger(t, b)
		key := mustKey(t, time.Now(), 1)
		claim, _, err := a.Claim(t.Context(), key, digest, "1")
		is.NoErr(err)
		claim.Abandon()
		synctest.Wait()
		is.Equal(stored(t, store, key).GetStatus(), abandoned)
		claim, _, err = b.Claim(t.Context(), key, digest, "2")
		is.NoErr(err)
		is.True(claim != nil)
		claim.InDoubt()
		for _, l := range []*Ledger{a, b} {
			claim, record, err := l.Claim(t.Context(), key, digest, "3")
			is.NoErr(err)
			is.True(claim == nil)
			is.Equal(record.GetStatus(), claimed)
			is.True(!l.InProgress(key))
		}
	})
}

// Guards against a lost answer that is taken for a refusal or for a second
// owner: the claim is settled by reading it back.
func TestUncertainClaimIsReadBack(t *testing.T) {
	for _, fault := range []memkv.Fault{memkv.LoseAnswer, memkv.LoseRequest, memkv.Hold} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := memkv.New()
				l := New(store, "vm-1@1", Config{})
				defer closeLedger(t, l)
				key := mustKey(t, time.Now(), 1)
				faultOnce(store, fault)
				claim, _, err := claimWithin(t, l, key, time.Second)
				is.NoErr(err)
				is.True(claim != nil)
				store.ReleaseHeld()
				is.Equal(stored(t, store, key).GetAttemptId(), claim.op.record.AttemptId)
				claim.InDoubt()
			})
		})
	}
}

// Guards against a given-up attempt that leads to a send or blocks its key when
// its write lands after the read back.
func TestGivenUpClaimIsNeverSent(t *testing.T) {
	for _, landing := range []string{"never", "while the store is down", "after the store is back"} {
		t.Run(landing, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := memkv.New()
				a, b := New(store, "vm-1@1", Config{}), New(store, "vm-2@1", Config{})
				defer closeLedger(t, a)
				defer closeLedger(t, b)
				key := mustKey(t, time.Now(), 1)
				store.SetFault(func(string) memkv.Fault { return memkv.Hold })
				claim, _, err := claimWithin(t, a, key, time.Second)
				is.True(claim == nil)
				is.Equal(outcome.CodeOf(err), outcome.StoreUnavailable)
				store.SetDown(true)
				if landing == "while the store is down" {
					store.ReleaseHeld()
				}
				time.Sleep(time.Minute)
				store.SetFault(nil)
				store.SetDown(false)
				time.Sleep(time.Minute) // the task to mark the record runs
				if landing == "after the store is back" {
					store.ReleaseHeld()
				}
				is.Equal(stored(t, store, key).GetStatus(), abandoned)
				claim, _, err = claimWithin(t, b, key, time.Second)
				is.NoErr(err)
				is.True(claim != nil)
				store.ReleaseHeld()
				is.Equal(stored(t, store, key).GetClaimant(), "vm-2@1")
				claim.InDoubt()
			})
		})
	}
}

// Guards against a claim that fails although its lost answer can be settled
// within its time.
func TestUncertainClaimOutlivesAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memkv.New()
		kv := &slowKV{Store: store, latency: 500 * time.Millisecond}
		l := New(kv, "vm-1@1", Config{})
		defer closeLedger(t, l)
		faultOnce(store, memkv.LoseAnswer)
		time.AfterFunc(1500*time.Millisecond, func() { store.SetDown(false) })
		kv.after = func() { store.SetDown(true) }
		claim, _, err := claimWithin(t, l, mustKey(t, time.Now(), 1), 10*time.Second)
		is.NoErr(err)
		is.True(claim != nil)
		claim.InDoubt()
	})
}

// Guards against a given-up attempt that is confused with a later one of the
// same attempt id: the mark of the first would release the key of the second.
func TestRepeatedAttemptID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memkv.New()
		l := New(store, "vm-1@1", Config{})
		defer closeLedger(t, l)
		key := mustKey(t, time.Now(), 1)
		store.SetFault(func(string) memkv.Fault { return memkv.Hold })
		_, _, err := claimWithin(t, l, key, time.Millisecond)
		is.Equal(outcome.CodeOf(err), outcome.StoreUnavailable)
		store.SetDown(true)
		time.Sleep(time.Second)
		store.ReleaseHeld()
		store.SetFault(nil)
		store.SetDown(false)
		claim, _, err := claimWithin(t, l, key, time.Second)
		is.NoErr(err)
		time.Sleep(time.Minute)
		is.Equal(stored(t, store, key).GetAttemptId(), claim.op.record.AttemptId)
		is.Equal(stored(t, store, key).GetStatus(), claimed)
		claim.InDoubt()
	})
}

// Guards against a process that calls its own abandoned order unknown while the
// mark is not written yet.
func TestAbandonedHereIsKnownHere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memkv.New()
		l := New(store, "vm-1@1", Config{})
		defer closeLedger(t, l)
		key := mustKey(t, time.Now(), 1)
		claim, _, err := l.Claim(t.Context(), key, digest, "1")
		is.NoErr(err)
		store.SetDown(true)
		claim.Abandon()
		synctest.Wait()
		store.SetDown(false)
		record, err := l.Lookup(t.Context(), key)
		is.NoErr(err)
		is.Equal(record.GetStatus(), abandoned)
	})
}

// Guards against a send after the deadline of a claim that was confirmed just
// before, and against its key staying blocked.
func TestClaimAfterItsDeadlineIsAbandoned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memkv.New()
		ctx, cancel := context.WithCancel(t.Context())
		// The clock is read again after the claim is confirmed.
		l := New(store, "vm-1@1", Config{Now: func() time.Time {
			if store.Calls().Writes > 0 {
				cancel()
			}
			return time.Now()
		}})
		defer closeLedger(t, l)
		key := mustKey(t, time.Now(), 1)
		claim, _, err := l.Claim(ctx, key, digest, "1")
		is.True(claim == nil)
		is.Equal(outcome.CodeOf(err), outcome.Cancelled)
		synctest.Wait()
		is.Equal(stored(t, store, key).GetStatus(), abandoned)
	})
}

// Guards against records that come back into an hour that was deleted: the
// outcome of a sent order and the mark of a given-up one.
func TestDeletedHourIsNotRecreated(t *testing.T) {
	for _, fault := range []memkv.Fault{memkv.None, memkv.Hold} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := memkv.New()
				l := New(store, "vm-1@1", Config{MaxBackoff: time.Minute, Logger: slog.New(slog.DiscardHandler)})
				defer closeLedger(t, l)
				store.SetFault(func(string) memkv.Fault { return fault })
				claim, _, _ := claimWithin(t, l, mustKey(t, time.Now(), 1), time.Second)
				store.SetDown(true)
				is.Equal(claim != nil, fault == memkv.None)
				if claim != nil {
					claim.Done(200, "", nil)
				}
				time.Sleep(KeyLifetime + 2*DeletionMargin)
				store.Restore(nil) // the values were deleted
				store.SetFault(nil)
				store.SetDown(false)
				time.Sleep(2 * time.Minute)
				keys, err := store.List(t.Context(), storePrefix)
				is.NoErr(err)
				is.Equal(len(keys), 0)
			})
		})
	}
}

// Guards against a Close that hides claims whose records may still appear.
func TestCloseReportsUncertainClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memkv.New()
		l := New(store, "vm-1@1", Config{Logger: slog.New(slog.DiscardHandler)})
		store.SetFault(func(string) memkv.Fault { return memkv.Hold })
		ended := make(chan error)
		go func() {
			_, _, err := claimWithin(t, l, mustKey(t, time.Now(), 1), time.Hour)
			ended <- err
		}()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.Equal(outcome.CodeOf(l.Close(ctx)), outcome.StoreUnavailable)
		is.Equal(outcome.CodeOf(<-ended), outcome.StoreUnavailable)
	})
}

// Guards against claims that hang or run during an outage, and against outcomes
// that are lost by it.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memkv.New()
		l := New(store, "vm-1@1", Config{})
		key := mustKey(t, time.Now(), 1)
		claim, _, err := l.Claim(t.Context(), key, digest, "1")
		is.NoErr(err)
		store.SetDown(true)
		claim.Done(200, "", nil)
		begin := time.Now()
		_, _, err = claimWithin(t, l, mustKey(t, time.Now(), 2), time.Minute)
		is.Equal(outcome.CodeOf(err), outcome.StoreUnavailable)
		is.True(time.Since(begin) < time.Second)
		record, err := l.Lookup(t.Context(), key)
		is.NoErr(err)
		is.Equal(record.GetStatus(), done) // from memory
		time.Sleep(time.Hour)
		store.SetDown(false)
		time.Sleep(l.cfg.MaxBackoff)
		is.Equal(stored(t, store, key).GetStatus(), done)
		closeLedger(t, l)
		_, _, err = l.Claim(t.Context(), key, digest, "3")
		is.Equal(outcome.CodeOf(err), outcome.Draining)
	})
}

// Guards against Close that drops outcomes although the store returns in time,
// and against one that hangs or hides the loss if it does not.
func TestCloseFlushes(t *testing.T) {
	for _, outage := range []time.Duration{10 * time.Second, time.Hour} {
		t.Run(outage.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := memkv.New()
				l := New(store, "vm-1@1", Config{Logger: slog.New(slog.DiscardHandler)})
				key := mustKey(t, time.Now(), 1)
				claim, _, err := l.Claim(t.Context(), key, digest, "1")
				is.NoErr(err)
				store.SetDown(true)
				claim.Done(200, "", nil)
				time.AfterFunc(outage, func() { store.SetDown(false) })
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				err = l.Close(ctx)
				if outage < time.Minute {
					is.NoErr(err)
					is.Equal(stored(t, store, key).GetStatus(), done)
				} else {
					is.Equal(outcome.CodeOf(err), outcome.StoreUnavailable)
				}
			})
		})
	}
}

// limitedKV refuses calls by the platform's rate limit.
type limitedKV struct {
	*memkv.Store
	mu    sync.Mutex
	until time.Time
	vague bool // refusals name no delay
	early int
}

func (kv *limitedKV) limitFor(d time.Duration) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.until = time.Now().Add(d)
}

func (kv *limitedKV) Put(ctx context.Context, key string, value []byte, expected uint64, lease platform.LeaseID) (uint64, error) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	if wait := time.Until(kv.until); wait > 0 {
		kv.early++
		if kv.vague {
			wait = 0
		}
		return 0, &platform.RateLimitedError{RetryAfter: wait}
	}
	return kv.Store.Put(ctx, key, value, expected, lease)
}

// Guards against calls that ignore the retry delay of the platform.
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
		is.Equal(kv.early, 1)
		claim.InDoubt()
	})
}

// Guards against a rate limit without a delay that is met with one call per new
// claim.
func TestRateLimitWithoutDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		kv := &limitedKV{Store: memkv.New(), vague: true}
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
		is.True(kv.early <= 10) // delays of 5 ms to 640 ms, half of each random
	})
}

// Guards against unbounded queues of claims and of unwritten outcomes.
func TestOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		kv := &limitedKV{Store: memkv.New()}
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
		time.Sleep(20 * time.Second)
		first.Done(200, "", nil)
		_, _, err = claimWithin(t, l, mustKey(t, now, 3), time.Second)
		is.Equal(outcome.CodeOf(err), outcome.Overloaded)
	})
}

// Guards against a value that outgrows the store, and against a full value that
// refuses outcomes.
func TestFullShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memkv.New()
		l := New(store, "vm-1@1", Config{})
		defer closeLedger(t, l)
		key := mustKey(t, time.Now(), 1)
		claim, _, err := l.Claim(t.Context(), key, digest, "1")
		is.NoErr(err)
		fillShard(t, store, key, claimLimitBytes)
		claim.Done(200, "text/plain", []byte("body"))
		second := key
		second.hash[hashBytes-1]++
		_, _, err = l.Claim(t.Context(), second, digest, "2")
		is.Equal(outcome.CodeOf(err), outcome.Overloaded)
		synctest.Wait()
		record := stored(t, store, key)
		is.Equal(record.GetStatus(), done)
		is.True(record.GetBodyOmitted())
		is.Equal(len(record.GetBody()), 0)
	})
}

// fillShard adds records to a value until it has at least size bytes.
func fillShard(t testing.TB, store *memkv.Store, key Key, size int) {
	t.Helper()
	entry, err := store.Get(t.Context(), key.storeKey())
	if err != nil {
		t.Fatal(err)
	}
	value := entry.Value
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
	if _, err := store.Put(t.Context(), key.storeKey(), value, entry.Revision, 0); err != nil {
		t.Fatal(err)
	}
}

// Guards against large bodies in the journal.
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
				record := stored(t, store, key)
				is.Equal(record.GetBodyOmitted(), omitted)
				is.Equal(len(record.GetBody()) == size, !omitted)
				is.Equal(record.GetHttpStatus(), uint32(200))
			})
		})
	}
}

// Guards against a paused claimant that recreates the record of a deleted hour
// and sends.
func TestKeyAgeIsCheckedAfterTheClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memkv.New()
		a, b := New(store, "vm-1@1", Config{}), New(store, "vm-2@1", Config{})
		defer closeLedger(t, a)
		defer closeLedger(t, b)
		key := mustKey(t, time.Now(), 1)
		sent, _, err := b.Claim(t.Context(), key, digest, "1")
		is.NoErr(err)
		sent.Done(200, "", nil)
		synctest.Wait()

		time.Sleep(KeyLifetime - time.Second)
		paused := &pausedKV{KV: store, pause: 4 * time.Hour}
		a.kv = paused
		go func() {
			time.Sleep(3 * time.Hour)
			is.NoErr(b.sweep(t.Context()))
			is.True(stored(t, store, key) == nil)
		}()
		a.cfg.CallTimeout = 24 * time.Hour
		claim, _, err := a.Claim(t.Context(), key, digest, "2")
		is.True(claim == nil)
		is.Equal(outcome.CodeOf(err), outcome.KeyExpired)
	})
}

// pausedKV delays each read, as if the process were paused before it.
type pausedKV struct {
	platform.KV
	pause time.Duration
}

func (kv *pausedKV) Get(ctx context.Context, key string) (platform.Entry, error) {
	time.Sleep(kv.pause)
	return kv.KV.Get(ctx, key)
}

// Guards against values that are deleted too early, never, or together with a
// concurrent change, and against a sweep without a bound.
func TestSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memkv.New()
		l := New(store, "vm-1@1", Config{SweepLimit: 2})
		defer closeLedger(t, l)
		start := time.Now().Truncate(time.Hour)
		for shard := range 3 {
			_, err := store.Put(t.Context(), fmt.Sprintf("orders/%d/%d", start.Unix()/3600, shard), nil, 0, 0)
			is.NoErr(err)
		}
		_, err := store.Put(t.Context(), "orders/notes", nil, 0, 0)
		is.NoErr(err)
		left := func() int {
			is.NoErr(l.sweep(t.Context()))
			keys, err := store.List(t.Context(), storePrefix)
			is.NoErr(err)
			return len(keys)
		}
		time.Sleep(time.Until(start.Add(time.Hour+KeyLifetime+DeletionMargin)) - time.Millisecond)
		is.Equal(left(), 4)
		time.Sleep(time.Millisecond)
		is.Equal(left(), 2)
		l.kv = &racingKV{Store: store}
		is.Equal(left(), 2)
		l.kv = store
		is.Equal(left(), 1)
	})
}

// racingKV changes a value after each read.
type racingKV struct{ *memkv.Store }

func (kv *racingKV) Get(ctx context.Context, key string) (platform.Entry, error) {
	entry, err := kv.Store.Get(ctx, key)
	if err == nil && entry.Revision != 0 {
		_, err = kv.Store.Put(ctx, key, entry.Value, entry.Revision, 0)
	}
	return entry, err
}

// Guards against Run that does not sweep or does not end.
func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memkv.New()
		l := New(store, "vm-1@1", Config{})
		_, err := store.Put(t.Context(), fmt.Sprintf("orders/%d/0", time.Now().Unix()/3600), nil, 0, 0)
		is.NoErr(err)
		ended := make(chan error, 1)
		go func() { ended <- l.Run(t.Context()) }()
		time.Sleep(KeyLifetime + 3*time.Hour)
		keys, err := store.List(t.Context(), storePrefix)
		is.NoErr(err)
		is.Equal(len(keys), 0)
		closeLedger(t, l)
		is.NoErr(<-ended)
	})
}

// slowKV delays each write and is otherwise a memkv store.
type slowKV struct {
	*memkv.Store
	latency time.Duration
	after   func() // called after each write if not nil
}

func (kv *slowKV) Put(ctx context.Context, key string, value []byte, expected uint64, lease platform.LeaseID) (uint64, error) {
	time.Sleep(kv.latency)
	if kv.after != nil {
		defer kv.after()
	}
	return kv.Store.Put(ctx, key, value, expected, lease)
}

// Guards against one write per order and against a read per batch.
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
		is.True(calls.Writes <= 4) // first claim, other claims, outcomes of both
	})
}

// Guards against a cache without a bound.
func TestCacheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := New(memkv.New(), "vm-1@1", Config{CacheBytes: 1000})
		for n := range 100 {
			claim, _, err := l.Claim(t.Context(), mustKey(t, time.Now(), n), digest, "1")
			is.NoErr(err)
			claim.Done(200, "", nil)
			synctest.Wait()
			is.True(l.cached <= 1000)
		}
		closeLedger(t, l)
		total := 0
		for _, s := range l.shards {
			total += s.cached
		}
		is.Equal(l.cached, total)
		is.Equal(len(l.local)+len(l.givenUp)+l.waiting+l.unwritten, 0)
	})
}

// Guards against a damaged value that is taken for an empty one.
func TestUnreadableValue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memkv.New()
		l := New(store, "vm-1@1", Config{})
		defer closeLedger(t, l)
		key := mustKey(t, time.Now(), 1)
		_, err := store.Put(t.Context(), key.storeKey(), []byte{0xff}, 0, 0)
		is.NoErr(err)
		claim, _, err := claimWithin(t, l, key, time.Second)
		is.True(claim == nil)
		is.Equal(outcome.CodeOf(err), outcome.Internal)
		var typed *outcome.Error
		is.True(errors.As(err, &typed))
	})
}
