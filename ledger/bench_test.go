package ledger

import (
	"context"
	"encoding/binary"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"camphorwick.dev/cloud/memkv"
)

// BenchmarkOrders measures complete orders on a store with a write latency of 2
// ms: claim and outcome, with no time for the send between them. Keys are spread
// over all shards of an hour, or all in one shard, which is the best case for
// batching.
func BenchmarkOrders(b *testing.B) {
	for _, oneShard := range []bool{false, true} {
		for _, concurrent := range []int{1, 16, 256} {
			b.Run(fmt.Sprintf("one_shard=%v/concurrent=%d", oneShard, concurrent), func(b *testing.B) {
				benchmarkOrders(b, concurrent, oneShard)
			})
		}
	}
}

func benchmarkOrders(b *testing.B, concurrent int, oneShard bool) {
	store := memkv.New()
	l := New(&slowKV{Store: store, latency: 2 * time.Millisecond}, "vm-1@1", Config{})
	var next atomic.Int64
	var group sync.WaitGroup
	first := mustKey(b, time.Now(), 0)
	b.ReportAllocs()
	b.ResetTimer()
	for range concurrent {
		group.Go(func() {
			for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
				key := benchmarkKey(b, first, n, oneShard)
				claim, _, err := l.Claim(b.Context(), key, digest, "01890a5d-ac96-774b-bcce-b302099a8057")
				if err != nil {
					b.Error(err)
					return
				}
				claim.Done(200, "", nil)
			}
		})
	}
	group.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "orders/s")
	if err := l.Close(context.Background()); err != nil {
		b.Error(err)
	}
	b.ReportMetric(float64(b.N)/float64(store.Calls().Writes), "orders/write")
}

// benchmarkKey returns the n-th key. One value holds about 6,000 orders, so the
// one-shard variant moves to another hour after 4,000. It uses 23 hours, all
// within KeyLifetime.
func benchmarkKey(b *testing.B, first Key, n int64, oneShard bool) Key {
	if !oneShard {
		return mustKey(b, time.UnixMilli(first.created), int(n))
	}
	first.created -= n / 4000 % 23 * time.Hour.Milliseconds()
	first.hash[hashBytes-1], first.hash[hashBytes-2], first.hash[hashBytes-3] = byte(n), byte(n>>8), byte(n>>16)
	return first
}

// BenchmarkClaim measures the cost of one claim without store latency, by the
// size of the value that each claim rewrites. The results include the copy made
// by the store.
func BenchmarkClaim(b *testing.B) {
	for _, size := range []int{0, 100_000, 900_000} {
		b.Run(fmt.Sprintf("value_bytes=%d", size), func(b *testing.B) { benchmarkClaim(b, size) })
	}
}

func benchmarkClaim(b *testing.B, size int) {
	store := memkv.New()
	l := New(store, "vm-1@1", Config{})
	key := mustKey(b, time.Now(), 0)
	fillShard(b, store, key, size)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		// Cycling through 200 keys keeps the size of the value constant.
		binary.BigEndian.PutUint64(key.hash[8:], uint64(1<<32+n%200))
		claim, _, err := l.Claim(b.Context(), key, digest, "01890a5d-ac96-774b-bcce-b302099a8057")
		if err != nil {
			b.Fatal(err)
		}
		claim.Abandon()
	}
	b.ReportMetric(float64(store.Calls().Writes)/float64(b.N), "writes/claim")
	if err := l.Close(context.Background()); err != nil {
		b.Error(err)
	}
}
