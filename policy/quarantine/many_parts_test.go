package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// otherParts returns n parts that begin with a name.
func otherParts(name string, n int) []string {
	parts := make([]string, n)
	for i := range parts {
		parts[i] = fmt.Sprintf("%s%d", name, i)
	}
	return parts
}

// Guards against the cause of crashes not being found because its prompts have many other
// parts, which fill the bound on suspects, wherever it stands among them.
func TestCauseAmongManyParts(t *testing.T) {
	for _, n := range []int{1, 63, 64, 65, 1000, 10_000, 14_000} { // a head of 64 KB has fewer
		for _, position := range []int{0, n / 2, n} {
			for _, own := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d at %d own %v", n, position, own), func(t *testing.T) {
					is := is.New(t)
					tracker := NewTracker()
					for i := range 3 {
						name := "shared"
						if own {
							name = fmt.Sprint("own", i, "-")
						}
						others := otherParts(name, n)
						found := tracker.Record(crash(i, i*300, slices.Insert(slices.Clone(others), position, "bad")...))
						is.True(tracker.Suspects() <= maxSuspects)
						is.True(len(tracker.recent) <= maxRecentParts)
						if i < 2 {
							is.Equal(len(found), 0)
							for _, part := range others { // a sound prompt
								tracker.Clear(part, at(i*300+50))
							}
							continue
						}
						is.Equal(len(found), 1)
						is.Equal(found[0].Part, "bad")
						is.Equal(len(found[0].With), 0)
					}
				})
			}
		}
	}
}

// Guards against memory and calls to the store for each of many parts that only ever crashed
// together: they are one finding, whose prompts are those with all of them.
func TestManyPartsThatAlwaysCrashTogether(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	parts := otherParts("p", 3000)
	var found []Finding
	for i := range 3 {
		found = tracker.Record(crash(i, i*300, parts...))
	}
	is.Equal(len(found), 1)
	is.Equal(found[0].Part, "")
	is.Equal(found[0].With, parts)
	is.Equal(tracker.Suspects(), 0)
}

// Guards against a time that grows with the square of the number of parts, in which requests
// wait for the verdict: a part of a prompt with 3,000 takes about as long as one of 300.
func TestManyPartsTakeLittleTime(t *testing.T) {
	is := is.New(t)
	timeOf := func(parts int) time.Duration {
		shortest := time.Hour
		for range 3 { // other processes may take the processor meanwhile
			shortest = min(shortest, timeOfCrashes(parts))
		}
		return shortest
	}
	few, many := timeOf(300), timeOf(3000)
	t.Logf("300 parts %v, 3,000 parts %v", few, many)
	is.True(many < 40*few) // 100 times as long if it grows with the square
}

// timeOfCrashes returns how long crashes of prompts with some parts take, of which a half is
// in each of them.
func timeOfCrashes(n int) time.Duration {
	tracker := NewTracker()
	begun := time.Now()
	for i := range 10 {
		parts := append(otherParts("shared", n/2), otherParts(fmt.Sprint("own", i, "-"), n/2)...)
		tracker.Record(crash(i, i*300, parts...))
		tracker.HoldUntil(parts...)
		tracker.SuspectsAmong(parts)
		tracker.Clear("shared1", at(i*300+10))
	}
	return time.Since(begun)
}

// Guards against a part that most prompts have counting as one without answers, because
// parts that are new with each prompt fill the bound on what is counted.
func TestUsualPartsAmongManyNewOnes(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	for n := range maxUsualParts {
		tracker.CountAnswer(fmt.Sprint("new", n), at(0))
	}
	for n := range 4000 {
		tracker.CountAnswer("popular", at(n))
		tracker.CountAnswer(fmt.Sprint("newer", n), at(n))
		tracker.CountAnswer(fmt.Sprint("newest", n), at(n))
	}
	is.True(len(tracker.usual) <= maxUsualParts)
	is.True(tracker.usual.count("popular", at(4000)) > minUsualAnswers)
}

// Guards against the parts of crashed servers taking memory without bound, and against the
// newest being the ones that are not kept.
func TestPartsOfCrashedServersAreBounded(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	for i := range 40 {
		tracker.Record(crash(i, i*10, otherParts(fmt.Sprint("own", i, "-"), 3000)...))
	}
	is.True(tracker.crashed.total <= maxCrashParts)
	is.True(tracker.crashed.parts["s39"] != nil)
	is.True(tracker.crashed.parts["s0"] == nil)
	tracker.Expire(at(0).Add(time.Hour))
	is.Equal(tracker.crashed.total, 0)
	is.Equal(len(tracker.recentOrder.elements), 0)
	is.Equal(len(tracker.suspectOrder.elements), 0)
}
