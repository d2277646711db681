package ingress

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a log that grows with the load, and against omitted lines that
// are not counted.
func TestLineLimiter(t *testing.T) {
	is := is.New(t)
	l := &lineLimiter{}
	now := time.Unix(100, 0)
	written := 0
	for range 1000 {
		if write, _ := l.admit(now); write {
			written++
		}
	}
	is.Equal(written, successLinesPerSecond)
	write, omitted := l.admit(now.Add(time.Second))
	is.True(write)
	is.Equal(omitted, 1000-successLinesPerSecond)
	_, omitted = l.admit(now.Add(time.Second))
	is.Equal(omitted, 0)
}
