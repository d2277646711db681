package ingress

import (
	"sync"
	"time"
)

// successLinesPerSecond bounds the log lines of requests that were served
// well. Lines of all others are always written.
const successLinesPerSecond = 150

// sampler bounds the lines of each second and counts those left out.
type sampler struct {
	mu      sync.Mutex
	second  int64
	written int
	omitted int
}

// admit reports whether one more line may be written now, and how many were
// left out in the seconds before that nobody has been told of.
func (s *sampler) admit(now time.Time) (write bool, omitted int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := now.Unix(); second != s.second {
		s.second, s.written = second, 0
		omitted, s.omitted = s.omitted, 0
	}
	if s.written >= successLinesPerSecond {
		s.omitted++
		return false, omitted
	}
	s.written++
	return true, omitted
}
