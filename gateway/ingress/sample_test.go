package ingress

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a log that grows with the load, and against omitted lines that
// are not counted.
func TestSampler(t *testing.T) {
	is := is.New(t)
	s := &lineLimiter{}
	now := time.Unix(100, 0)
	written := 0
	for range 1000 {
		if write, _ := s.admit(now); write {
			written++
		}
	}
	is.Equal(written, successLinesPerSecond)
	write, omitted := s.admit(now.Add(time.Second))
	is.True(write)
	is.Equal(omitted, 1000-successLinesPerSecond)
	_, omitted = s.admit(now.Add(time.Second))
	is.Equal(omitted, 0)
}
