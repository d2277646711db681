package queue

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"camphorwick.dev/api/outcome"
)

// model is a reference model of the jobs in a queue.
type model struct {
	queued, running map[string]Job
}

func (m *model) reserved() int {
	sum := 0
	for _, j := range m.running {
		sum += j.KVTokens
	}
	return sum
}

func drawJob(t *rapid.T, id int, now time.Time) Job {
	tokens := rapid.SampledFrom([]int{1_000, 5_000, 8_000, 30_000, 90_000, 150_000, 400_000, 900_000}).Draw(t, "tokens")
	answer := rapid.IntRange(1, 4_000).Draw(t, "answer")
	return Job{ID: fmt.Sprint(id), Account: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"),
		Weight: rapid.IntRange(0, 3).Draw(t, "weight"), Band: outcome.BandOf(tokens), PrefillTokens: tokens,
		KVTokens: tokens + answer, AnswerTokens: answer, Arrived: now,
		Deadline: now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "seconds")) * time.Second)}
}

// Guards against memory that is reserved twice, never freed or reserved beyond
// the capacity, against an engine that stays idle while jobs are queued, and
// against counts that differ from those of the reference model.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now, lastID := New(Config{KVTokens: 450_000, MaxQueued: 40}), start, 0
		m := model{queued: map[string]Job{}, running: map[string]Job{}}
		pick := func(jobs map[string]Job) string {
			ids := []string{"unknown"}
			for id := range jobs {
				ids = append(ids, id)
			}
			slices.Sort(ids)
			return rapid.SampledFrom(ids).Draw(t, "id")
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				lastID++
				if j := drawJob(t, lastID, now); q.Push(now, j) == nil {
					m.queued[j.ID] = j
				}
			},
			"next": func(t *rapid.T) {
				g, ok := q.Next(now)
				if !ok && len(m.running) == 0 && len(m.queued) > 0 {
					t.Fatal("engine is idle although all queued jobs fit")
				}
				if ok {
					if _, queued := m.queued[g.ID]; !queued {
						t.Fatalf("Next returned job %s, which was not queued", g.ID)
					}
					delete(m.queued, g.ID)
					m.running[g.ID] = g.Job
				}
			},
			"first":  func(t *rapid.T) { q.RecordFirstToken(now, pick(m.running)) },
			"finish": func(t *rapid.T) { finishTwice(q, &m, now, pick(m.running)) },
			"cancel": func(t *rapid.T) { finishTwice(q, &m, now, pick(m.queued)) },
			"preempt": func(t *rapid.T) {
				for _, id := range q.Preempt(now) {
					j := m.running[id]
					if j.Band != outcome.Long || j.Preemptions > 0 { // at most defaultMaxPreemptions, which is 1
						t.Fatalf("preempted job %+v, which is not long or was preempted before", j)
					}
					q.Requeue(now, j)
					delete(m.running, id)
					m.queued[id] = j
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms")) * time.Millisecond)
				for _, j := range q.Expired(now) {
					if now.Before(j.Deadline) {
						t.Fatalf("job %s expired before its deadline", j.ID)
					}
					delete(m.queued, j.ID)
				}
			},
			"": func(t *rapid.T) { checkInvariants(t, q, &m, now) },
		})
		for id := range m.running {
			q.Finish(now, id)
		}
		for id := range m.queued {
			q.Finish(now, id)
		}
		if q.Load(now) != (Load{}) || q.longPrefills != 0 || q.reservedByBand != [outcome.BandCount]int{} ||
			len(q.expiry.items)+len(q.urgency.items) != 0 {
			t.Fatalf("queue is not empty after all jobs ended: %+v", q.Load(now))
		}
	})
}

func finishTwice(q *Queue, m *model, now time.Time, id string) {
	q.Finish(now, id)
	q.Finish(now, id) // must have no effect
	delete(m.running, id)
	delete(m.queued, id)
}

func checkInvariants(t *rapid.T, q *Queue, m *model, now time.Time) {
	load := q.Load(now)
	if load.KVReserved != m.reserved() || load.KVReserved > 450_000 { // KVTokens of the queue under test
		t.Fatalf("%d KV tokens are reserved, expected %d and no more than the capacity", load.KVReserved, m.reserved())
	}
	if load.Running != len(m.running) || load.Queued != len(m.queued) {
		t.Fatalf("load %+v, expected %d running and %d queued", load, len(m.running), len(m.queued))
	}
	if q.longPrefills > q.config.MaxLongPrefills {
		t.Fatalf("%d long prefills are above the limit", q.longPrefills)
	}
	if wake, ok := q.NextWake(now); ok && !wake.After(now) {
		t.Fatal("NextWake returned a time that is not in the future")
	}
}

// Guards against a long job that starves under a steady flow of shorter jobs. If
// these free their memory within DrainTime, the long job must start before its
// deadline.
func TestLongWorkIsNotStarved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const stepTime = 50 * time.Millisecond
		q, now := New(Config{KVTokens: 450_000, PrefillTokensPerSecond: 40_000}), start
		long := job("long", rapid.IntRange(100_001, 440_000).Draw(t, "tokens"), 120*time.Second)
		if err := q.Push(now, long); err != nil {
			t.Fatal(err)
		}
		size := rapid.SampledFrom([]int{2_000, 8_000, 40_000, 90_000}).Draw(t, "size")
		runTime := time.Duration(rapid.IntRange(1, 20).Draw(t, "hold")) * time.Second // at most defaultDrainTime
		ends := map[time.Time][]string{}
		for i := 0; now.Before(long.Deadline); i++ {
			_ = q.Push(now, Job{ID: fmt.Sprint(i), Band: outcome.BandOf(size), PrefillTokens: size, KVTokens: size + 500, AnswerTokens: 500,
				Arrived: now, Deadline: now.Add(time.Hour)}) // may be refused, which is part of the load
			for g, ok := q.Next(now); ok; g, ok = q.Next(now) {
				if g.ID == "long" {
					return
				}
				q.RecordFirstToken(now, g.ID)
				ends[now.Add(runTime)] = append(ends[now.Add(runTime)], g.ID)
			}
			now = now.Add(stepTime)
			for _, id := range ends[now] {
				q.Finish(now, id)
			}
		}
		t.Fatal("the long job did not start before its deadline")
	})
}

// Guards against jobs that start in a wrong order. With one account, enough
// memory and no deadline near, the order is that of a stable sort by length band.
func TestOrderMatchesStableSort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Config{KVTokens: 1 << 40, PrefillWindow: 1 << 40, MaxLongPrefills: 1 << 30, LongKVShare: 1})
		sizes := rapid.SliceOfN(rapid.SampledFrom([]int{1_000, 50_000, 200_000}), 0, 30).Draw(t, "sizes")
		var want []Job
		for i, size := range sizes {
			j := job(fmt.Sprint(i), size, 100*time.Hour)
			if err := q.Push(start, j); err != nil {
				t.Fatal(err)
			}
			want = append(want, j)
		}
		slices.SortStableFunc(want, func(a, b Job) int { return int(a.Band) - int(b.Band) })
		for _, w := range want {
			if g, ok := q.Next(start); !ok || g.ID != w.ID {
				t.Fatalf("Next returned job %s, expected %s", g.ID, w.ID)
			}
		}
	})
}

// Guards against an account that is served more than its weighted share of
// tokens.
func TestFairnessByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Config{KVTokens: 1 << 40, PrefillWindow: 1})
		weights := map[string]int{"a": rapid.IntRange(1, 5).Draw(t, "a"), "b": rapid.IntRange(1, 5).Draw(t, "b")}
		for i := range 400 {
			account := []string{"a", "b"}[i%2]
			j := job(fmt.Sprint(i), rapid.IntRange(1_000, 8_000).Draw(t, "tokens"), 100*time.Hour)
			j.Account, j.Weight = account, weights[account]
			if err := q.Push(start, j); err != nil {
				t.Fatal(err)
			}
		}
		served := map[string]float64{}
		for range 60 { // fewer than the 200 jobs of each account, so neither runs out
			g, ok := q.Next(start)
			if !ok {
				t.Fatal("Next returned no job although jobs are queued")
			}
			served[g.Account] += float64(g.PrefillTokens) / float64(g.Weight)
			q.Finish(start, g.ID)
		}
		const largest = 8_000 // tokens of the largest job; the accounts may differ by one job of each
		if diff := served["a"] - served["b"]; diff > 2*largest || diff < -2*largest {
			t.Fatalf("served tokens per weight differ by more than two jobs: %v", served)
		}
	})
}
