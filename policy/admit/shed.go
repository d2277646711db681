package admit

import (
	"time"

	"camphorwick.dev/api/outcome"
)

// Defaults of ShedConfig.
const (
	defaultMargin       = 1.2
	defaultReadmitShare = 0.7
	defaultHold         = time.Second
)

// repeatableLimitFactor lowers the limit of work that the caller can cheaply
// retry, so that it is refused before other work of its band.
const repeatableLimitFactor = 0.8

// shedLimit is the expected time to first token, as a share of the remaining
// time, above which a band is refused. Long work is refused first, because it
// takes the most capacity and misses its deadline after the longest wait.
var shedLimit = [outcome.BandCount]float64{1, 0.9, 0.8}

// ShedConfig sets when a Shedder refuses. Zero values get defaults.
type ShedConfig struct {
	// Margin multiplies the expected time of medium and long work, because
	// shorter work that arrives later will overtake it.
	Margin float64
	// ReadmitShare is the share of its limit, 0 to 1, below which a band that
	// is being refused must fall to be admitted again.
	ReadmitShare float64
	// Hold is the time after a refusal for which ReadmitShare applies.
	Hold time.Duration
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

// Shedder refuses at peak load the work that is unlikely to meet its deadline,
// which would otherwise wait, take capacity and fail anyway. A band that is
// refused is admitted again only well below its limit, so that the fleet
// recovers without alternating between refusing and admitting.
type Shedder struct {
	config      ShedConfig
	lastRefusal [outcome.BandCount]time.Time
}

// NewShedder returns a shedder that refuses no band yet.
func NewShedder(config ShedConfig) *Shedder {
	if config.Margin <= 0 {
		config.Margin = defaultMargin
	}
	if config.ReadmitShare <= 0 {
		config.ReadmitShare = defaultReadmitShare
	}
	if config.Hold <= 0 {
		config.Hold = defaultHold
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
	if s.expected(work) <= s.limit(now, work)*float64(remaining) {
		return nil
	}
	s.lastRefusal[work.Band] = now
	return outcome.New(outcome.Overloaded, "%s requests are refused at this load: the first token is expected in %v",
		work.Band, work.Expected).WithRetryAfter(s.retryAfter(work))
}

// Refusing reports whether the band was refused within the hold time.
func (s *Shedder) Refusing(now time.Time, b outcome.Band) bool {
	return !s.lastRefusal[b].IsZero() && now.Sub(s.lastRefusal[b]) < s.config.Hold
}

func (s *Shedder) expected(work Work) float64 {
	if work.Band == outcome.Short {
		return float64(work.Expected)
	}
	return float64(work.Expected) * s.config.Margin
}

func (s *Shedder) limit(now time.Time, work Work) float64 {
	limit := shedLimit[work.Band]
	if work.Repeatable {
		limit *= repeatableLimitFactor
	}
	if s.Refusing(now, work.Band) {
		limit *= s.config.ReadmitShare
	}
	return limit
}

func (s *Shedder) retryAfter(work Work) time.Duration {
	return min(max(work.Expected, s.config.Hold), maxRetryAfter)
}
