package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against retries that multiply the load of a peak.
func TestBudgetBound(t *testing.T) {
	is := is.New(t)
	b := New(Config{})
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	retries := 0
	for range 1000 {
		b.Request(now)
		if b.Retry(now) {
			retries++
		}
	}
	is.Equal(retries, 103)
}
