package ingress

import (
	"sync"
	"time"
)

// successLinesPerSecond bounds the log lines of requests that succeeded at the
// first send. Lines of all other requests are always written.
const successLinesPerSecond = 150

// lineLimiter limits the log lines per second and counts the omitted ones.
type lineLimiter struct {
	mu      sync.Mutex
	second  int64 // the second of the last line, in Unix time
	written int   // lines written in that second
	omitted int   // lines omitted and not yet reported
}

// admit reports whether another line may be written now, and how many lines
// were omitted in earlier seconds and not yet reported.
func (l *lineLimiter) admit(now time.Time) (write bool, omitted int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Unix(); second != l.second {
		l.second, l.written = second, 0
		omitted, l.omitted = l.omitted, 0
	}
	if l.written >= successLinesPerSecond {
		l.omitted++
		return false, omitted
	}
	l.written++
	return true, omitted
}
