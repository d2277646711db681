package ledger

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/api/wire"
	"camphorwick.dev/cloud"
	"camphorwick.dev/cloud/memkv"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	claimed   = wire.OrderStatus_ORDER_STATUS_CLAIMED
	done      = wire.OrderStatus_ORDER_STATUS_DONE
	abandoned = wire.OrderStatus_ORDER_STATUS_ABANDONED
)

var digest = []byte("digest of the request")

// orderKey returns a UUIDv7 with the given time; n distinguishes keys of one time.
func orderKey(created time.Time, n int) string {
	var id uuid.UUID
	var ms [8]byte
	binary.BigEndian.PutUint64(ms[:], uint64(created.UnixMilli()))
	copy(id[:6], ms[2:])
	id[6], id[8] = 0x70, 0x80 // version 7, variant of RFC 4122
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

// closeLedger closes a ledger whose store is available.
func closeLedger(t testing.TB, l *Ledger) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.Context()), time.Minute)
	defer cancel()
	if err := l.Close(ctx); err != nil {
		t.Error(err)
	}
}

// newLedger returns a store, a ledger on it and a key. The ledger is closed at the
// end of the test.
func newLedger(t testing.TB) (*memkv.Store, *Ledger, Key) {
	t.Helper()
	store := memkv.New()
	l := New(store, "vm-1@1", Config{})
	t.Cleanup(func() { closeLedger(t, l) })
	return store, l, mustKey(t, time.Now(), 1)
}

// newLedgers is like newLedger, with a second ledger on the same store.
func newLedgers(t testing.TB) (store *memkv.Store, a, b *Ledger, key Key) {
	t.Helper()
	store, a, key = newLedger(t)
	b = New(store, "vm-2@1", Config{})
	t.Cleanup(func() { closeLedger(t, b) })
	return store, a, b, key
}

// claimWithin calls Claim with a timeout.
func claimWithin(t testing.TB, l *Ledger, key Key, timeout time.Duration) (*Claim, *wire.OrderRecord, error) {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	return l.Claim(ctx, key, digest, "attempt")
}

// storedRecord reads the record of a key from the store.
func storedRecord(t testing.TB, kv cloud.KV, key Key) *wire.OrderRecord {
	t.Helper()
	stored, err := kv.Get(t.Context(), key.storeKey())
	if err != nil {
		t.Fatal(err)
	}
	s, err := parseSnapshot(stored)
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
	store.SetPutFault(func(string) memkv.Fault {
		if used {
			return memkv.None
		}
		used = true
		return fault
	})
}

// Guards against accepting keys of a wrong format or age.
func TestParseKey(t *testing.T) {
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	valid := orderKey(now, 1)
	for name, test := range map[string]struct {
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
			_, err := ParseKey(test.account, test.service, test.text, now)
			is.New(t).Equal(outcome.CodeOf(err), test.code)
		})
	}
}

// Guards against two accounts or services that share records, also if the
// concatenation of their names is the same.
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

// Guards against wrong results of Claim and Lookup in a process that holds or has
// ended the claim (a) and in another process (b). No store call fails.
func TestClaimAndOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, a, b, key := newLedgers(t)

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
// doubt that can be claimed again.
func TestAbandonAndInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, a, b, key := newLedgers(t)
		claim, _, err := a.Claim(t.Context(), key, digest, "1")
		is.NoErr(err)
		claim.Abandon()
		synctest.Wait()
		is.Equal(storedRecord(t, store, key).GetStatus(), abandoned)
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

// Guards against claims that block or are granted while the store is unavailable,
// and against outcomes that are not written after it recovers.
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
		is.Equal(record.GetStatus(), done) // from memory, since the store is down
		time.Sleep(time.Hour)
		store.SetDown(false)
		time.Sleep(l.cfg.MaxBackoff)
		is.Equal(storedRecord(t, store, key).GetStatus(), done)
		closeLedger(t, l)
		_, _, err = l.Claim(t.Context(), key, digest, "3")
		is.Equal(outcome.CodeOf(err), outcome.Draining)
	})
}

// Guards against a Close that drops outcomes although the store recovers in time,
// and against one that blocks or returns no error if the store does not recover.
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
				err = l.Close(ctx) // waits at most 1 min for the store
				if outage < time.Minute {
					is.NoErr(err)
					is.Equal(storedRecord(t, store, key).GetStatus(), done)
				} else {
					is.Equal(outcome.CodeOf(err), outcome.StoreUnavailable)
				}
			})
		})
	}
}

// Guards against a sweep that deletes a value too early, never, or although
// another process has changed it, and against a sweep that deletes more than
// SweepLimit values or a key of another form.
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
		_, err := store.Put(t.Context(), "orders/notes", nil, 0, 0) // not the key of a journal value
		is.NoErr(err)
		countAfterSweep := func() int {
			is.NoErr(l.sweep(t.Context()))
			keys, err := store.List(t.Context(), storePrefix)
			is.NoErr(err)
			return len(keys)
		}
		time.Sleep(time.Until(start.Add(time.Hour+KeyLifetime+DeletionMargin)) - time.Millisecond)
		is.Equal(countAfterSweep(), 4) // 1 ms too early
		time.Sleep(time.Millisecond)
		is.Equal(countAfterSweep(), 2) // SweepLimit values deleted
		l.kv = &racingKV{Store: store}
		is.Equal(countAfterSweep(), 2) // the last value has changed
		l.kv = store
		is.Equal(countAfterSweep(), 1) // only "orders/notes"
	})
}

// racingKV changes a value after each read.
type racingKV struct{ *memkv.Store }

func (kv *racingKV) Get(ctx context.Context, key string) (cloud.Record, error) {
	stored, err := kv.Store.Get(ctx, key)
	if err == nil && stored.Revision != 0 {
		_, err = kv.Store.Put(ctx, key, stored.Value, stored.Revision, 0)
	}
	return stored, err
}

// Guards against a RunSweeper that does not sweep or does not return after Close.
func TestRunSweeper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memkv.New()
		l := New(store, "vm-1@1", Config{})
		_, err := store.Put(t.Context(), fmt.Sprintf("orders/%d/0", time.Now().Unix()/3600), nil, 0, 0)
		is.NoErr(err)
		ended := make(chan error, 1)
		go func() { ended <- l.RunSweeper(t.Context()) }()
		// The value is deletable after the rest of its hour, KeyLifetime and
		// DeletionMargin. The next sweep follows within 45 min.
		time.Sleep(KeyLifetime + 3*time.Hour)
		keys, err := store.List(t.Context(), storePrefix)
		is.NoErr(err)
		is.Equal(len(keys), 0)
		closeLedger(t, l)
		is.NoErr(<-ended)
	})
}

// Guards against a corrupt value that is treated as empty.
func TestUnreadableValue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, l, key := newLedger(t)
		_, err := store.Put(t.Context(), key.storeKey(), []byte{0xff}, 0, 0)
		is.NoErr(err)
		claim, _, err := claimWithin(t, l, key, time.Second)
		is.True(claim == nil)
		is.Equal(outcome.CodeOf(err), outcome.Internal)
		var outcomeErr *outcome.Error
		is.True(errors.As(err, &outcomeErr))
	})
}
