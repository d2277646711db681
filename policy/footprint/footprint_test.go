package footprint

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(0, 0)

// opened opens a holder and records its end.
func opened(t *testing.T, b *Tracker, now time.Time) (*Holder, *bool) {
	t.Helper()
	ended := new(bool)
	h, ok := b.Open(func() { *ended = true }, now)
	if !ok {
		t.Fatal("no room for a holder")
	}
	return h, ended
}

// Guards against the load "silent connections take all descriptors": a new caller is turned
// away, or takes the place of one whose request is being served.
func TestSilentConnectionsAreEvicted(t *testing.T) {
	is := is.New(t)
	b := NewTracker(Limits{Holders: 3})
	busy, busyEnded := opened(t, b, start)
	busy.Enter(Busy, func() { *busyEnded = true }, start)
	kept, keptEnded := opened(t, b, start)
	kept.Enter(Busy, nil, start)
	kept.Enter(Idle, func() { *keptEnded = true }, start) // has had an answer
	_, silentEnded := opened(t, b, start.Add(time.Second))

	_, newEnded := opened(t, b, start.Add(2*time.Second))
	is.True(*silentEnded)
	_, _ = opened(t, b, start.Add(3*time.Second))
	is.True(*newEnded)
	is.True(!*keptEnded && !*busyEnded)
	is.Equal(b.Usage().Holders, 3)

	all := NewTracker(Limits{Holders: 1})
	h, _ := opened(t, all, start)
	h.Enter(Busy, nil, start)
	_, ok := all.Open(func() {}, start)
	is.True(!ok) // nobody may be ended
}

// Guards against the load "large bodies stop short of their ends": they keep the memory for
// bodies, and requests with small bodies are refused for want of it.
func TestStalledBodiesAreEvicted(t *testing.T) {
	is := is.New(t)
	b := NewTracker(Limits{Bytes: 10 << 20, SmallBytes: 2 * SmallRoom})
	var held []*Holder
	var rooms []Room
	var ended []*bool
	for i := range 10 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		h, end := opened(t, b, now)
		h.Enter(Body, func() { *end = true }, now)
		room, ok, _ := h.Take(1<<20, now)
		is.True(ok)
		held, rooms, ended = append(held, h), append(rooms, room), append(ended, end)
	}
	ordinary, _ := opened(t, b, start)
	ordinary.Enter(Body, nil, start)
	small, ok, _ := ordinary.Take(1200, start)
	is.True(ok) // from the room for small ones
	small.Return()

	large, _ := opened(t, b, start)
	now := start.Add(minBodyTime / 2)
	large.Enter(Body, nil, now)
	_, ok, coming := large.Take(2<<20, now)
	is.True(!ok && !coming) // the others may just be on the way
	now = start.Add(2 * minBodyTime)
	_, ok, coming = large.Take(2<<20, now)
	is.True(!ok && coming)
	is.True(*ended[0] && *ended[1] && !*ended[2]) // the oldest ones, no more than needed
	_, ok, coming = large.Take(2<<20, now)
	is.True(!ok && coming)
	is.True(!*ended[2])
	rooms[0].Return()
	rooms[1].Return()
	_, ok, _ = large.Take(2<<20, now)
	is.True(ok)

	for _, h := range held[2:] {
		h.Enter(Busy, nil, now) // complete
	}
	_, ok, coming = large.Take(1<<20, now.Add(time.Hour))
	is.True(!ok && !coming)
}

// Guards against room that is counted twice or never returned, whatever the order in which
// holders come, take, are ended, return and close, and against more taken than the limits.
func TestRoomIsReturned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Holders: rapid.IntRange(1, 6).Draw(t, "holders"), Bytes: 100 << 10, SmallBytes: 100 << 10}
		b := NewTracker(limits)
		type open struct {
			*Holder
			rooms []Room
		}
		var all []*open
		now := start
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if len(all) == 0 || rapid.IntRange(0, 3).Draw(t, "opens") == 0 {
				if h, ok := b.Open(func() {}, now); ok {
					all = append(all, &open{Holder: h})
				}
				continue
			}
			h := all[rapid.IntRange(0, len(all)-1).Draw(t, "which")]
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				h.Enter(Stage(rapid.IntRange(0, 5).Draw(t, "stage")), func() {}, now)
			case 1:
				if room, ok, _ := h.Take(int64(rapid.IntRange(1, 120<<10).Draw(t, "bytes")), now); ok {
					h.rooms = append(h.rooms, room)
				}
			default:
				for _, room := range h.rooms {
					room.Return()
				}
				h.rooms = nil
			}
			u := b.Usage()
			if u.Bytes > limits.Bytes+limits.SmallBytes || u.Holders > limits.Holders {
				t.Fatalf("%+v is held with the limits %+v", u, limits)
			}
		}
		for _, h := range all {
			for _, room := range h.rooms {
				room.Return()
			}
			h.Close()
		}
		if u := b.Usage(); u.Bytes != 0 || u.Holders != 0 || b.leaving != 0 {
			t.Fatalf("%+v and %d bytes of ended holders are left", u, b.leaving)
		}
	})
}
