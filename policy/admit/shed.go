package admit

import (
	"time"

	"camphorwick.dev/api/outcome"
)

// Defaults of ShedConfig.
const (
	defaultWaitFactor          = 1.2
	defaultRecoveryLimitFactor = 0.7
	defaultRecoveryTime        = time.Second
)

// repeatableLimitFactor multiplies the limit of work that the caller can cheaply
// retry, so that it is refused before other work of its band.
const repeatableLimitFactor = 0.8

// shedLimit is the limit of each band (short, medium, long). Work is refused if
// its expected time to first token exceeds this share of the time until its
// deadline. Long work is refused first, because it takes the most capacity and
// misses its deadline after the longest wait.
var shedLimit = [outcome.BandCount]float64{1, 0.9, 0.8}

// ShedConfig sets when a Shedder refuses. Zero values get defaults.
type ShedConfig struct {
	// WaitFactor multiplies the expected time to first token of medium and long
	// work, because shorter work that arrives later overtakes it.
	WaitFactor float64
	// RecoveryLimitFactor, 0 to 1, multiplies the limit of a band for RecoveryTime
	// after each refusal of the band.
	RecoveryLimitFactor float64
	// RecoveryTime is the time after a refusal in which the lower limit applies.
	// It is also the shortest retry delay.
	RecoveryTime time.Duration
}

// Work describes a request to a Shedder.
type Work struct {
	Band     outcome.Band
	Deadline time.Time
	// Expected is the expected time to first token.
	Expected time.Duration
	// Repeatable says that the caller can cheaply retry the request later.
	Repeatable bool
}

// Shedder refuses at peak load the work that is unlikely to meet its deadline.
// Such work would otherwise wait, take capacity and fail anyway. After a refusal
// the limit of the band is lower for a while, so that the shedder does not
// alternate between refusing and admitting while the fleet recovers.
type Shedder struct {
	config      ShedConfig
	lastRefusal [outcome.BandCount]time.Time // by band; zero if none was refused
}

// NewShedder returns a shedder that refuses no band yet.
func NewShedder(config ShedConfig) *Shedder {
	if config.WaitFactor <= 0 {
		config.WaitFactor = defaultWaitFactor
	}
	if config.RecoveryLimitFactor <= 0 {
		config.RecoveryLimitFactor = defaultRecoveryLimitFactor
	}
	if config.RecoveryTime <= 0 {
		config.RecoveryTime = defaultRecoveryTime
	}
	return &Shedder{config: config}
}

// Check returns nil for admitted work, else an *outcome.Error with a retry
// delay: DeadlineUnreachable if the deadline cannot be met, or Overloaded.
func (s *Shedder) Check(now time.Time, work Work) error {
	remaining := work.Deadline.Sub(now)
	if work.Expected > remaining {
		return outcome.New(outcome.DeadlineUnreachable, "the first token is expected in %v, the request has %v",
			work.Expected, remaining).WithRetryAfter(s.retryAfter(work))
	}
	if s.expectedWithOvertaking(work) <= s.limit(now, work)*float64(remaining) {
		return nil
	}
	s.lastRefusal[work.Band] = now
	return outcome.New(outcome.Overloaded, "%s requests are refused at this load: the first token is expected in %v",
		work.Band, work.Expected).WithRetryAfter(s.retryAfter(work))
}

// Refusing reports whether work of the band was refused within RecoveryTime.
func (s *Shedder) Refusing(now time.Time, b outcome.Band) bool {
	return !s.lastRefusal[b].IsZero() && now.Sub(s.lastRefusal[b]) < s.config.RecoveryTime
}

func (s *Shedder) expectedWithOvertaking(work Work) float64 {
	if work.Band == outcome.Short {
		return float64(work.Expected)
	}
	return float64(work.Expected) * s.config.WaitFactor
}

func (s *Shedder) limit(now time.Time, work Work) float64 {
	limit := shedLimit[work.Band]
	if work.Repeatable {
		limit *= repeatableLimitFactor
	}
	if s.Refusing(now, work.Band) {
		limit *= s.config.RecoveryLimitFactor
	}
	return limit
}

func (s *Shedder) retryAfter(work Work) time.Duration {
	return min(max(work.Expected, s.config.RecoveryTime), maxRetryAfter)
}
