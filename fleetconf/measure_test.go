package fleetconf

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"camphorwick.dev/api/wire"
	"camphorwick.dev/cloud/memkv"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

// Numbers of items of the largest configuration that has to be supported, the
// target size.
const (
	fullAccounts = 7100
	fullPlans    = 10
)

// fullSnapshot returns a configuration of the target size, with two API keys per
// account.
func fullSnapshot() *wire.ConfigSnapshot {
	s := &wire.ConfigSnapshot{Revision: 1}
	for i := range fullPlans {
		value := `{"models":["model-1","model-2","model-3"],"services":[{"name":"orders","idempotent":[{"method":"GET","path_prefix":"/quotes"}]}],"requests_per_second":100,"tokens_per_second":500000,"concurrency":64,"max_prompt_tokens":1000000,"weight":4}`
		s.Items = append(s.Items, &wire.ConfigItem{Key: fmt.Sprintf("plan/plan-%d", i), Value: []byte(value), Revision: 1})
	}
	for i := range fullAccounts {
		value := fmt.Sprintf(`{"plan":"plan-%d","key_hashes":[%q,%q]}`, i%fullPlans, hashKey(fmt.Sprintf("key-%d", i)), hashKey(fmt.Sprintf("spare-%d", i)))
		s.Items = append(s.Items, &wire.ConfigItem{Key: fmt.Sprintf("client/account-%d", i), Value: []byte(value), Revision: 1})
	}
	return s
}

func fullReplica(tb testing.TB) *Replica {
	r := NewReplica()
	if _, err := r.Apply(&wire.ConfigUpdate{Snapshot: fullSnapshot()}); err != nil {
		tb.Fatal(err)
	}
	return r
}

// fullEdit moves one account to another plan. Edits of successive revisions change
// successive accounts, and each round over all accounts moves them to the next plan.
func fullEdit(revision uint64) *wire.Edit {
	i := revision % fullAccounts
	plan := (revision + revision/fullAccounts + 1) % fullPlans
	value := fmt.Sprintf(`{"plan":"plan-%d","key_hashes":[%q,%q]}`, plan, hashKey(fmt.Sprintf("key-%d", i)), hashKey(fmt.Sprintf("spare-%d", i)))
	e := edit(fmt.Sprintf("edit-%d", revision), change(fmt.Sprintf("client/account-%d", i), value, 1))
	e.Revision = revision
	return e
}

func BenchmarkApplyEdit(b *testing.B) {
	r := fullReplica(b)
	var edits []*wire.ConfigUpdate
	for i := range b.N {
		edits = append(edits, &wire.ConfigUpdate{Edits: []*wire.Edit{fullEdit(uint64(i + 2))}})
	}
	b.ReportAllocs()
	b.ResetTimer()
	for _, u := range edits {
		if _, err := r.Apply(u); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkApplySnapshot(b *testing.B) {
	s := fullSnapshot()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := NewReplica().Apply(&wire.ConfigUpdate{Snapshot: s}); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkClientByKey(b *testing.B) {
	r := fullReplica(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, _, ok := r.Config().ClientByKey("key-4711"); !ok {
			b.Fatal("the key is not known")
		}
	}
}

// fullStore returns a store and an editor with a configuration of the target size.
func fullStore(tb testing.TB) (*memkv.Store, *Editor) {
	store, r := memkv.New(), fullReplica(tb)
	if err := NewWatcher(store, r, nil).repair(tb.Context()); err != nil {
		tb.Fatal(err)
	}
	return store, NewEditor(store, r)
}

func commitFull(tb testing.TB, e *Editor, i int) {
	edit := fullEdit(uint64(i + 2))
	edit.Revision = 0
	item, _ := e.replica.Config().Item(edit.Changes[0].Key)
	edit.Changes[0].ExpectedRevision = item.Revision
	if _, err := e.Commit(tb.Context(), edit); err != nil {
		tb.Fatal(err)
	}
}

func BenchmarkCommit(b *testing.B) {
	_, e := fullStore(b)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		commitFull(b, e, i)
		i++
	}
}

// Guards against values above the limit of the store, and against more than two
// reads and two writes per edit, in a configuration of the target size. Logs the
// sizes.
func TestFullSizeFigures(t *testing.T) {
	is := is.New(t)
	store, e := fullStore(t)
	const edits = 1000
	before, largest := store.Calls(), 0
	for i := range edits {
		commitFull(t, e, i)
		entry, _ := store.Get(t.Context(), HeadKey)
		largest = max(largest, len(entry.Value))
	}
	after := store.Calls()
	is.True(largest < 1<<20)
	snapshot := proto.Size(e.replica.Config().Snapshot())
	is.True(snapshot <= MaxSnapshotBytes)
	// The reads of this test, one per edit, do not count.
	reads, writes := after.Reads-before.Reads-edits, after.Writes-before.Writes
	t.Logf("largest head %d bytes, snapshot %d bytes in %d values, update of one edit %d bytes",
		largest, snapshot, len(splitIntoChunks(e.replica.Config().Snapshot())),
		proto.Size(e.replica.UpdateSince(e.replica.Revision()-1, 1<<20)))
	t.Logf("per change: %.2f reads, %.2f writes", float64(reads)/edits, float64(writes)/edits)
	is.True(reads <= 2*edits && writes <= 2*edits)
	t.Logf("one replica %.1f MB", replicaMegabytes(t))
}

func replicaMegabytes(tb testing.TB) float64 {
	const copies = 4
	var replicas [copies]*Replica
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range replicas {
		replicas[i] = fullReplica(tb)
		for revision := uint64(2); revision < 2+MaxHeadEdits; revision++ {
			_, _ = replicas[i].Apply(&wire.ConfigUpdate{Edits: []*wire.Edit{fullEdit(revision)}})
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(replicas)
	return float64(after.HeapAlloc-before.HeapAlloc) / copies / 1e6
}

// endpoint is a process of the propagation test. Both sides of a link report their
// revision in heartbeats, and the side with the higher revision sends an update.
type endpoint struct {
	replica          *Replica
	neighbours       []int
	side             int          // 0 or 1: the half of the network in a partition
	bytes, snapshots atomic.Int64 // sent to all neighbours
}

type network struct {
	ctx         context.Context
	endpoints   []*endpoint
	partitioned atomic.Bool // the two sides of the network cannot reach each other
	// heartbeat is the interval between heartbeats in nanoseconds.
	heartbeat atomic.Int64
	// known holds, by sender and receiver, the revision that the receiver has
	// according to its heartbeats and to the updates between the two.
	known map[[2]int]*atomic.Uint64
}

// The network of the propagation test. Each endpoint has endpointDegree neighbours
// on average. The 15,000 edits of a day are spread evenly over its hours; those of
// the hour of the partition come in partitionSteps groups.
const (
	endpointCount     = 300
	endpointDegree    = 6
	heartbeatInterval = time.Second
	heartbeatBytes    = 24
	changesPerHour    = 15000 / 24
	partitionSteps    = 5
	minHopDelay       = 10 * time.Millisecond
	maxHopDelay       = 100 * time.Millisecond
	// partitionHeartbeat replaces heartbeatInterval during the partition of an
	// hour. At one per second, 300 endpoints with 6 neighbours would send 6
	// million heartbeats.
	partitionHeartbeat = time.Minute
)

func newNetwork(ctx context.Context, start *wire.ConfigSnapshot) *network {
	n := &network{ctx: ctx, known: map[[2]int]*atomic.Uint64{}}
	n.heartbeat.Store(int64(heartbeatInterval))
	random := rand.New(rand.NewPCG(1, 2))
	for i := range endpointCount {
		r := NewReplica()
		_, _ = r.Apply(&wire.ConfigUpdate{Snapshot: start})
		n.endpoints = append(n.endpoints, &endpoint{replica: r, side: i * 2 / endpointCount})
	}
	link := func(a, b int) {
		if a != b && n.known[[2]int{a, b}] == nil {
			n.known[[2]int{a, b}], n.known[[2]int{b, a}] = &atomic.Uint64{}, &atomic.Uint64{}
			n.known[[2]int{a, b}].Store(start.Revision)
			n.known[[2]int{b, a}].Store(start.Revision)
			n.endpoints[a].neighbours = append(n.endpoints[a].neighbours, b)
			n.endpoints[b].neighbours = append(n.endpoints[b].neighbours, a)
		}
	}
	for i := range endpointCount {
		link(i, (i+1)%endpointCount)
		for range endpointDegree/2 - 1 {
			link(i, random.IntN(endpointCount))
		}
	}
	for i := range n.endpoints {
		for _, peer := range n.endpoints[i].neighbours {
			go n.runSession(i, peer)
		}
	}
	return n
}

// runSession sends heartbeats and the missing updates to peer.
func (n *network) runSession(own, peer int) {
	from, to := n.endpoints[own], n.endpoints[peer]
	peerRevision, ownRevisionAtPeer := n.known[[2]int{own, peer}], n.known[[2]int{peer, own}]
	next := time.Now().Add(rand.N(heartbeatInterval))
	for n.ctx.Err() == nil {
		changed := from.replica.Changed()
		reachable := !n.partitioned.Load() || from.side == to.side
		if revision := from.replica.Revision(); reachable && revision > peerRevision.Load() {
			n.send(from, to, peerRevision, ownRevisionAtPeer)
			continue
		}
		select {
		case <-changed:
		case <-time.After(time.Until(next)):
			next = next.Add(time.Duration(n.heartbeat.Load()))
			if reachable {
				from.bytes.Add(heartbeatBytes)
				ownRevisionAtPeer.Store(from.replica.Revision())
			}
		case <-n.ctx.Done():
		}
	}
}

// send transmits one update. The sender records at once that the peer has the
// revision, and the peer records the same of the sender when the update arrives.
func (n *network) send(from, to *endpoint, peerRevision, ownRevisionAtPeer *atomic.Uint64) {
	revision := from.replica.Revision()
	update := from.replica.UpdateSince(peerRevision.Load(), 1<<20)
	peerRevision.Store(revision)
	if update == nil {
		return
	}
	from.bytes.Add(int64(proto.Size(update)))
	if update.Snapshot != nil {
		from.snapshots.Add(1)
	}
	_ = sleep(n.ctx, minHopDelay+rand.N(maxHopDelay-minHopDelay))
	ownRevisionAtPeer.Store(max(ownRevisionAtPeer.Load(), revision))
	_, _ = to.replica.Apply(update)
}

// snapshotAt returns the configuration of the first endpoint as a snapshot of the
// given revision.
func snapshotAt(n *network, revision uint64) *wire.ConfigSnapshot {
	s := n.endpoints[0].replica.Config().Snapshot()
	s.Revision = revision
	return s
}

// reached returns the number of endpoints that have the revision.
func (n *network) reached(revision uint64) (count int) {
	for _, e := range n.endpoints {
		if e.replica.Revision() >= revision {
			count++
		}
	}
	return count
}

// waitForRevision returns the time until all endpoints have the revision.
func (n *network) waitForRevision(revision uint64) time.Duration {
	start := time.Now()
	for n.reached(revision) < endpointCount && time.Since(start) < time.Minute {
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(start)
}

func (n *network) totalSnapshots() (total int64) {
	for _, e := range n.endpoints {
		total += e.snapshots.Load()
	}
	return total
}

func (n *network) totalBytes() (total int64) {
	for _, e := range n.endpoints {
		total += e.bytes.Load()
	}
	return total
}

// Guards against edits that take more than 5 s to reach every process if each one
// has only a few neighbours, also after a network partition of an hour. The sides
// then exchange edits or, if the log does not hold them, snapshots.
func TestPropagation(t *testing.T) {
	start := fullSnapshot()
	start.Items = start.Items[:fullPlans+100]
	for _, source := range []string{"edits", "snapshot"} {
		t.Run(source, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				n := newNetwork(ctx, start)
				revision := uint64(1)
				push := func(count int) {
					for range count {
						revision++
						e := edit(fmt.Sprint(revision), change(fmt.Sprintf("mark/vm-%d", revision%100), `{"state":"leaving"}`, 0))
						e.Revision = revision
						_, err := n.endpoints[0].replica.Apply(&wire.ConfigUpdate{Edits: []*wire.Edit{e}})
						is.NoErr(err)
					}
				}
				var slowest time.Duration
				for range 20 {
					push(1)
					slowest = max(slowest, n.waitForRevision(revision))
				}
				bytesBefore := n.totalBytes()
				push(1)
				_ = n.waitForRevision(revision)
				perChange := float64(n.totalBytes()-bytesBefore) / endpointCount
				is.True(slowest < 5*time.Second)
				t.Logf("%d endpoints, 20 changes: slowest at all endpoints after %v; %.0f bytes sent per endpoint and change", endpointCount, slowest, perChange)

				n.partitioned.Store(true)
				n.heartbeat.Store(int64(partitionHeartbeat))
				for range partitionSteps {
					push(changesPerHour / partitionSteps)
					time.Sleep(time.Hour / partitionSteps)
				}
				if source == "snapshot" {
					// A side that has loaded a snapshot has no log, so it cannot send
					// edits.
					revision += MinLogEdits
					_, err := n.endpoints[0].replica.Apply(&wire.ConfigUpdate{Snapshot: snapshotAt(n, revision)})
					is.NoErr(err)
					time.Sleep(partitionHeartbeat)
				}
				is.Equal(n.reached(revision), endpointCount/2) // the other side has none of the edits
				n.heartbeat.Store(int64(heartbeatInterval))
				time.Sleep(partitionHeartbeat)
				bytesBefore, snapshotsBefore := n.totalBytes(), n.totalSnapshots()
				n.partitioned.Store(false)
				catchUpTime := n.waitForRevision(revision)
				is.True(catchUpTime < 5*time.Second)
				t.Logf("partition of 1 h with %d changes: at all endpoints %v after its end, %.0f bytes and %.2f snapshots sent per endpoint", changesPerHour, catchUpTime,
					float64(n.totalBytes()-bytesBefore)/endpointCount, float64(n.totalSnapshots()-snapshotsBefore)/endpointCount)
				want := n.endpoints[0].replica.Config().Snapshot()
				for _, e := range n.endpoints {
					is.True(proto.Equal(e.replica.Config().Snapshot(), want))
				}
			})
		})
	}
}
