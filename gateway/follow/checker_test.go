package follow

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// checkBound is the time in which the platform wants a change in force, and checkInterval
	// the interval that a gateway derives from it.
	checkBound    = 2 * time.Second
	checkInterval = checkBound * 65 / 100
	// contactTime is how long after a fault of the store the bound holds again.
	contactTime = 3 * time.Second
)

// silentStore is a store that loses calls without an error. Its keys are prefix + "/k", and
// the value of each is the time of the change since the start.
type silentStore struct {
	Store
	mu       sync.Mutex
	started  time.Time
	revision Position
	items    map[string]Item
	history  []Item
	changed  chan struct{}
	faults   []silence
	deaf     atomic.Bool // watches report no changes
	calls    atomic.Int64
}

// silence is a time in which the store loses calls.
type silence struct {
	from, to time.Duration // since the start
	// answers is set if calls that arrive are carried out and their answers are lost, also
	// those of watches that wait since before; otherwise the calls themselves are lost.
	answers bool
	// connections is set if the watches that wait at from wait for ever, and others do not.
	connections bool
	// clients are the clients that are affected; nil for all.
	clients []int
}

type clientKey struct{}

func newSilentStore(faults ...silence) *silentStore {
	return &silentStore{started: time.Now(), revision: 1, items: map[string]Item{}, changed: make(chan struct{}), faults: faults}
}

// lost reports whether a call of which a part is at a time is lost.
func (s *silentStore) lost(ctx context.Context, sent, at time.Duration, isAnswer bool) bool {
	client, _ := ctx.Value(clientKey{}).(int)
	for _, f := range s.faults {
		affected := f.clients == nil
		for _, c := range f.clients {
			affected = affected || c == client
		}
		switch {
		case !affected:
		case f.connections && sent < f.from && at >= f.from:
			return true
		case !f.connections && at >= f.from && at < f.to && f.answers == isAnswer:
			return true
		}
	}
	return false
}

func (s *silentStore) write(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item := Item{Key: key, Value: []byte(strconv.FormatInt(int64(time.Since(s.started)), 10)), Revision: s.revision}
	s.items[key] = item
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *silentStore) since(prefix string, after Position) ([]Item, Position, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var events []Item
	for _, item := range s.history {
		if item.Revision > after && strings.HasPrefix(item.Key, prefix) && !s.deaf.Load() {
			events = append(events, item)
		}
	}
	return events, s.revision, s.changed
}

func (s *silentStore) Range(ctx context.Context, prefix string, answered func()) ([]Item, Position, error) {
	s.calls.Add(1)
	sent := time.Since(s.started)
	time.Sleep(roundTrip)
	if at := time.Since(s.started); s.lost(ctx, sent, at, false) || s.lost(ctx, sent, at, true) {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	answered()
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, item)
		}
	}
	return items, s.revision, nil
}

func (s *silentStore) Watch(ctx context.Context, prefix string, after Position, wait time.Duration, answered func()) ([]Item, Position, error) {
	s.calls.Add(1)
	sent := time.Since(s.started)
	time.Sleep(roundTrip)
	if s.lost(ctx, sent, time.Since(s.started), false) {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	for end := time.After(wait); ; {
		events, revision, changed := s.since(prefix, after)
		expired := false
		if len(events) == 0 {
			select {
			case <-ctx.Done():
				return nil, 0, ctx.Err()
			case <-changed:
				continue
			case <-end:
				expired = true
			}
		}
		if len(events) > 0 || expired {
			if s.lost(ctx, sent, time.Since(s.started), true) {
				<-ctx.Done()
				return nil, 0, ctx.Err()
			}
			answered()
			return events, revision, nil
		}
	}
}

// valueHandler keeps the time of the newest change of a prefix.
type valueHandler struct{ at atomic.Int64 }

func (h *valueHandler) Replace(items []Item) {
	for _, item := range items {
		h.Change(item)
	}
}

func (h *valueHandler) Change(item Item) {
	at, err := strconv.ParseInt(string(item.Value), 10, 64)
	if err != nil {
		panic(err)
	}
	h.at.Store(at)
}

func (*valueHandler) Failed(error) {}
func (*valueHandler) Restored()    {}

var checkedPrefixes = []string{"config", "servers", "gateways", "quarantine"}

// checkedProcess is a process that follows and checks all prefixes.
type checkedProcess struct {
	checker  *Checker
	handlers map[string]*valueHandler
	lost     atomic.Int64 // watches found to be lost
}

func newCheckedProcess(s Store) *checkedProcess {
	p := &checkedProcess{handlers: map[string]*valueHandler{}}
	log := slog.New(slog.DiscardHandler)
	p.checker = &Checker{Store: s, Log: log, Interval: checkInterval, OnLost: func(string) { p.lost.Add(1) }}
	for _, prefix := range checkedPrefixes {
		h := &valueHandler{}
		p.handlers[prefix] = h
		p.checker.Followers = append(p.checker.Followers, &Follower{Store: s, Prefix: prefix, Handler: h, Log: log, BatchDelay: 200 * time.Millisecond})
	}
	p.checker.Followers[2].Unwatched = func() bool { return true }
	p.checker.Followers[3].Unwatched = func() bool { return p.handlers["quarantine"].at.Load() == 0 }
	return p
}

func (p *checkedProcess) run(ctx context.Context, group *sync.WaitGroup) {
	for _, f := range p.checker.Followers {
		group.Go(func() { _ = f.Run(ctx) })
	}
	group.Go(func() { _ = p.checker.Run(ctx) })
}

// tell makes a process tell its proofs to others after each check.
func (p *checkedProcess) tell(others []*checkedProcess) {
	p.checker.OnProof = func() {
		for _, f := range p.checker.Followers {
			proof, ok := f.Proof()
			if !ok {
				continue
			}
			for _, other := range others {
				if other == p {
					continue
				}
				time.AfterFunc(roundTrip, func() {
					for _, g := range other.checker.Followers {
						if g.Prefix == proof.Prefix {
							g.AdoptProof(proof)
						}
					}
				})
			}
		}
	}
}

// runFleet runs processes that tell each other their proofs, for a time. It makes changes
// at the given times, and each process must have each change in force within checkBound; a
// change that comes before a fault and contactTime after it have ended counts from then.
func runFleet(t *testing.T, s *silentStore, size int, peersTalk bool, length time.Duration, changes map[time.Duration]string) []*checkedProcess {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	var fleet []*checkedProcess
	for range size {
		fleet = append(fleet, newCheckedProcess(s))
	}
	for i, p := range fleet {
		if peersTalk {
			p.tell(fleet)
		}
		p.run(context.WithValue(ctx, clientKey{}, i), &group)
	}
	for at, prefix := range changes {
		time.AfterFunc(at, func() { s.write(prefix + "/k") })
		due := at
		for _, f := range s.faults {
			if end := f.from + (f.to - f.from) + contactTime; at < end && at+checkBound > f.from {
				due = max(due, end-checkBound)
			}
		}
		time.AfterFunc(due+checkBound, func() {
			for i, p := range fleet {
				if inForce := time.Duration(p.handlers[prefix].at.Load()); inForce < at {
					t.Errorf("process %d has %s of %v at %v, want that of %v", i, prefix, inForce, due+checkBound, at)
				}
			}
		})
	}
	time.Sleep(length)
	cancel()
	group.Wait()
	return fleet
}

// Guards against a watch that is lost in a short silence of the store and hides all
// changes for as long as the store may hold a watch: after a change, all processes send
// their next watches at one time, and a silence at that time leaves them all waiting in vain.
func TestChangesAfterAShortSilenceAreSeen(t *testing.T) {
	for _, fault := range []string{"calls", "answers", "connections", "calls of one", "answers of one"} {
		for _, length := range []time.Duration{50 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second} {
			for _, size := range []int{1, 3} {
				t.Run(fmt.Sprintf("%s %v size %d", fault, length, size), func(t *testing.T) {
					for offset := -2 * time.Second; offset < 2*time.Second; offset += 100 * time.Millisecond {
						synctest.Test(t, func(t *testing.T) {
							from := 10*time.Second + offset
							f := silence{from: from, to: from + length, answers: strings.HasPrefix(fault, "answers"), connections: fault == "connections"}
							if strings.HasSuffix(fault, "of one") {
								f.clients = []int{0}
							}
							runFleet(t, newSilentStore(f), size, size > 1, 30*time.Second, map[time.Duration]string{
								2 * time.Second: "config", 2100 * time.Millisecond: "servers", 10 * time.Second: "config", 10100 * time.Millisecond: "servers",
								16 * time.Second: "servers", 17 * time.Second: "config", 18 * time.Second: "quarantine", 24 * time.Second: "gateways", 25 * time.Second: "config"})
						})
					}
				})
			}
		}
	}
}

// Guards against processes that rely on the proofs of peers which no longer come.
func TestChangesAreSeenWithoutPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSilentStore(silence{from: 10 * time.Second, to: 10500 * time.Millisecond})
		runFleet(t, s, 3, false, 20*time.Second, map[time.Duration]string{9900 * time.Millisecond: "servers", 14 * time.Second: "servers", 15 * time.Second: "config"})
	})
}

// Guards against a process that was started late, or has restarted, and cannot use the
// proofs of its peers, nor they its own.
func TestProofOfARestartedPeer(t *testing.T) {
	at := time.Now()
	old, restarted := &progress{}, &progress{}
	old.recordRead(10, true, at)
	old.recordWatch(20, []Item{{Revision: 15}}, at)
	restarted.recordRead(30, true, at)
	proof, ok := old.proof("p")
	if !ok || proof.LastChange != 15 || proof.Through != 20 {
		t.Fatalf("proof %+v, %v", proof, ok)
	}
	restarted.adopt(proof)
	if through := restarted.known(); through != 30 {
		t.Errorf("through %d after an older proof", through)
	}
	old.recordCheck(40, at.Add(time.Second))
	proof, _ = old.proof("p")
	restarted.adopt(proof)
	if through := restarted.known(); through != 40 {
		t.Errorf("through %d after a newer proof", through)
	}
	proof, _ = restarted.proof("p")
	if proof.LastChange != 15 {
		t.Errorf("the restarted process takes %d for the last change", proof.LastChange)
	}
}

// Guards against a process that takes the state of a peer for its own: a peer that knows a
// later change proves nothing here.
func TestProofOfAnotherState(t *testing.T) {
	at := time.Now()
	p := &progress{}
	p.recordRead(10, true, at)
	if isBehind := p.adopt(Proof{LastChange: 12, Through: 20, At: at.Add(time.Second)}); isBehind {
		t.Error("a peer that has read its state shows a change")
	}
	if isBehind := p.adopt(Proof{LastChange: 12, Through: 20, Exact: true, At: at.Add(time.Second)}); !isBehind {
		t.Error("a change that a peer has received is not noticed")
	}
	if through := p.known(); through != 10 {
		t.Errorf("through %d, want 10", through)
	}
	if _, currentAt := p.waiting(); !currentAt.Equal(at) {
		t.Error("the state counts as proved by a peer with another one")
	}
}

// Guards against checks that cost each process of a group as much as one alone: on a calm
// day the processes of a data centre share them, and a process makes at most 20 calls.
func TestCallsOnACalmDay(t *testing.T) {
	const (
		day      = 60 * time.Second
		maxCalls = 20 // of a process in a data centre of 20, the platform's aim
		ownCalls = 15 // of each process besides the checks, and the checks before it knows its peers, at most
	)
	for _, size := range []int{1, 3, 20} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSilentStore()
				runFleet(t, s, size, true, day, map[time.Duration]string{time.Second: "config"})
				calls := float64(s.calls.Load()) / float64(size)
				t.Logf("%.1f calls a process in %v", calls, day)
				if most := ownCalls + day.Seconds()/checkInterval.Seconds()/float64(min(size, 3)); calls > most {
					t.Errorf("%.1f calls a process, want at most %.1f: checks are not shared", calls, most)
				}
				if size == 20 && calls > maxCalls {
					t.Errorf("%.1f calls a process, want at most %d", calls, maxCalls)
				}
			})
		})
	}
}

// Guards against checks that add to the load of a store which fails or is slow, and against
// reads of a prefix whose watch only was not sent yet.
func TestChecksOfAStoreInTrouble(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSilentStore(silence{from: 10 * time.Second, to: 20 * time.Second})
		fleet := runFleet(t, s, 1, true, 30*time.Second, map[time.Duration]string{time.Second: "config"})
		if calls := s.calls.Load(); calls > 60 {
			t.Errorf("%d calls in 30 s with a silence of 10 s", calls)
		}
		if lost := fleet[0].lost.Load(); lost > 0 {
			t.Errorf("%d watches found lost without a change", lost)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		s := newSilentStore()
		changes := map[time.Duration]string{}
		for at := 2 * time.Second; at < 20*time.Second; at += time.Duration(50+rand.IntN(300)) * time.Millisecond {
			changes[at] = "servers"
		}
		fleet := runFleet(t, s, 3, true, 25*time.Second, changes)
		for i, p := range fleet {
			if lost := p.lost.Load(); lost > 0 {
				t.Errorf("process %d took %d watches for lost", i, lost)
			}
		}
	})
}

// Guards against a read of all prefixes whose failure or silence holds up the followers.
func TestFirstReadOfAllPrefixes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSilentStore()
		s.write("config/k")
		s.write("servers/k")
		fleet := runFleet(t, s, 1, false, 5*time.Second, nil)
		if fleet[0].handlers["servers"].at.Load() != 0 { // both changes were made at 0
			t.Fatal("wrong value")
		}
		before := s.calls.Load()
		combined := newCheckedProcess(&FirstRead{Store: s})
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		for _, f := range combined.checker.Followers {
			group.Go(func() { _ = f.Run(ctx) })
		}
		time.Sleep(time.Second)
		cancel()
		group.Wait()
		if calls := s.calls.Load() - before; calls != 1+2 { // one read, the watches of config and servers
			t.Errorf("%d calls at the start, want 3", calls)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		s := newSilentStore(silence{to: 500 * time.Millisecond})
		p := newCheckedProcess(&FirstRead{Store: s})
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		p.run(ctx, &group)
		time.Sleep(2500 * time.Millisecond)
		for _, f := range p.checker.Followers {
			if since, _ := f.progress.waiting(); since.IsZero() {
				t.Errorf("%s is not read 2 s after a silence at the start", f.Prefix)
			}
		}
		cancel()
		group.Wait()
		time.Sleep(firstReadLimit)
	})
}

// Guards against a change of a prefix without a watch that is never seen: a store that is
// about to drop its history reports no changes for a moment, a check in it takes them for
// known, and nothing but the end of the watches of other prefixes shows that.
func TestChangeThatACheckDoesNotReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSilentStore()
		s.write("gateways/k")
		p := newCheckedProcess(s)
		watched, unwatched := p.checker.Followers[0], p.checker.Followers[2]
		watched.OnCut = unwatched.DoubtUnwatched
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		p.run(ctx, &group)
		time.Sleep(10 * time.Second)
		s.deaf.Store(true)
		time.Sleep(300 * time.Millisecond)
		s.write("gateways/k")
		changed := time.Since(s.started)
		time.Sleep(2 * checkInterval)
		if at := time.Duration(p.handlers["gateways"].at.Load()); at >= changed {
			t.Error("the store reported a change while it was not to")
		}
		s.deaf.Store(false)
		watched.OnCut()
		time.Sleep(checkBound)
		if at := time.Duration(p.handlers["gateways"].at.Load()); at < changed {
			t.Errorf("gateways of %v at %v, want that of %v", at, time.Since(s.started), changed)
		}
		cancel()
		group.Wait()
	})
}

// Guards against a loop without a pause while the only prefix with an old proof is one of
// large values that is about to be read.
func TestChecksPauseWhileAPrefixIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSilentStore()
		f := &Follower{Store: s, Prefix: "config", Handler: &valueHandler{}, Log: slog.New(slog.DiscardHandler), ReadAfter: time.Millisecond}
		f.progress.recordRead(1, true, time.Now().Add(-time.Minute))
		f.progress.startWait(false) // no goroutine follows it, so it stays so
		c := &Checker{Store: s, Followers: []*Follower{f}, Log: f.Log, Interval: checkInterval, received: map[*Follower]int{}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := c.Run(ctx); err != nil { // without a pause, virtual time does not go on
			t.Fatal(err)
		}
		if c.failing || s.calls.Load() > 0 {
			t.Error("the store was asked")
		}
	})
}
