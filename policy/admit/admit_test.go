package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"camphorwick.dev/api/outcome"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against an account that exceeds its rate or its concurrency.
func TestLimiter(t *testing.T) {
	is := is.New(t)
	l := NewLimiter()
	limits := Limits{RequestsPerSecond: 10, Concurrency: 3}
	var releases []func()
	for range 3 {
		release, err := l.Admit(start, "a", limits, 1_000, 1)
		is.NoErr(err)
		releases = append(releases, release)
	}
	_, err := l.Admit(start, "a", limits, 1_000, 1)
	is.Equal(outcome.CodeOf(err), outcome.RateLimited)
	for _, release := range releases {
		release()
		release() // has no effect
	}
	admitted := 0
	for range 100 {
		if release, err := l.Admit(start, "a", limits, 1_000, 1); err == nil {
			release()
			admitted++
		}
	}
	is.Equal(admitted, 17) // burstSeconds at 10 requests/s, less the first 3
}

// Guards against limits that are not divided between entries, a share below one
// request that admits nothing, and a refusal without a usable retry delay.
func TestShareOfLimit(t *testing.T) {
	is := is.New(t)
	l := NewLimiter()
	limits := Limits{RequestsPerSecond: 1, TokensPerSecond: 1_000}
	_, err := l.Admit(start, "a", limits, 100, 10)
	is.NoErr(err)
	_, err = l.Admit(start, "a", limits, 100, 10)
	is.Equal(outcome.CodeOf(err), outcome.RateLimited)
	delay := outcome.From(err).RetryAfter
	is.Equal(delay, 10*time.Second) // this entry may send a tenth of 1 request/s
	_, err = l.Admit(start.Add(delay), "a", limits, 100, 10)
	is.NoErr(err)
	_, err = l.Admit(start.Add(delay), "b", limits, 100, 10) // other accounts are not affected
	is.NoErr(err)
}

// Guards against an account that exceeds its token rate with prompts larger
// than the bucket.
func TestTokenRateHoldsForLargePrompts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now, admitted := NewLimiter(), start, 0
		size := rapid.IntRange(1_000, 1_000_000).Draw(t, "size")
		limits := Limits{TokensPerSecond: 10_000}
		for range 2_000 {
			if release, err := l.Admit(now, "a", limits, size, 1); err == nil {
				release()
				admitted += size
			}
			now = now.Add(100 * time.Millisecond)
		}
		// The rate for the 200 s of all steps and for one burst, and one prompt
		// that takes the bucket below zero.
		if bound := 10_000*(200+burstSeconds) + size; admitted > bound {
			t.Fatalf("%d tokens are admitted, at most %d are allowed", admitted, bound)
		}
	})
}

// Guards against a shedder that alternates between refusing and admitting near
// its limit, that never recovers, or that refuses short work first.
func TestShedderHysteresis(t *testing.T) {
	is := is.New(t)
	s := NewShedder(ShedConfig{})
	work := func(now time.Time, expected time.Duration) Work {
		return Work{Band: outcome.Long, Deadline: now.Add(100 * time.Second), Expected: expected}
	}
	// The limit of long work with 100 s left is 0.8 * 100 s / 1.2 = 67 s, and
	// after a refusal 0.7 times that, 47 s.
	is.NoErr(s.Check(start, work(start, 60*time.Second)))
	err := s.Check(start, work(start, 70*time.Second))
	is.Equal(outcome.CodeOf(err), outcome.Overloaded)
	is.True(outcome.From(err).RetryAfter > 0)
	is.True(s.Check(start, work(start, 60*time.Second)) != nil)
	is.NoErr(s.Check(start, work(start, 40*time.Second)))
	later := start.Add(2 * defaultRecoveryTime)
	is.NoErr(s.Check(later, work(later, 60*time.Second)))
	short := work(later, 90*time.Second)
	short.Band = outcome.Short
	is.NoErr(s.Check(later, short))
	is.Equal(outcome.CodeOf(s.Check(later, work(later, 101*time.Second))), outcome.DeadlineUnreachable)
}
