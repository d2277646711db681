package ingress

import (
	"sync"
	"time"
)

// successLinesPerSecond bounds the log lines of successful requests. Lines of
// all other requests are always written.
const successLinesPerSecond = 150

// lineLimiter limits the log lines per second and counts the omitted ones.
type lineLimiter struct {
	mu      sync.Mutex
	second  int64
	written int
	omitted int
}

// admit reports whether another line may be written now, and how many lines
// were omitted in earlier seconds and not yet reported.
func (s *lineLimiter) admit(now time.Time) (write bool, omitted int) {
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
