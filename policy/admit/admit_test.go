package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"

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
		release()
	}
	admitted := 0
	for range 100 {
		if release, err := l.Admit(start, "a", limits, 1_000, 1); err == nil {
			release()
			admitted++
		}
	}
	is.Equal(admitted, 17) // the burst of 20, less 3
}
