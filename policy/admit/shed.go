package admit

import (
	"time"

	"camphorwick.dev/api/outcome"
)

// Defaults of ShedConfig.
const (
	defaultTarget  = 300 * time.Millisecond
	defaultRelease = 0.5
	defaultHold    = time.Second
)

// ShedConfig sets when a Shedder refuses. Zero values get defaults.
type ShedConfig struct {
	// Target is the expected time to first token of short requests above which
	// longer work is refused.
	Target time.Duration
	// Release is the fraction of a level's threshold, 0 to 1, below which the
	// level is left.
	Release float64
	// Hold is the shortest time between two steps down.
	Hold time.Duration
}

// Work describes a request to a Shedder.
type Work struct {
	Band     outcome.Band
	Deadline time.Time
	// Expected is the expected time to first token of this request.
	Expected time.Duration
	// ShortExpected is the expected time to first token of a short request on
	// the same fleet.
	ShortExpected time.Duration
	// Repeatable says that the caller can cheaply repeat the request later.
	Repeatable bool
}

// Levels of refusal, in the order in which a growing peak reaches them.
const (
	shedNothing = iota
	shedRepeatableLong
	shedLong
	shedMedium
	shedLevels
)

// levelThreshold is the expected time of short requests, in multiples of
// Target, at which a level is entered.
var levelThreshold = [shedLevels]float64{0, 1, 2, 4}

// Shedder refuses at a peak the work that cannot meet its deadline and then,
// by levels, long and cheaply repeated work. It enters a level at once and
// leaves it only after the expected time has stayed well below its threshold,
// so that it does not alternate between refusing and admitting.
type Shedder struct {
	config ShedConfig
	level  int
	calm   time.Time // since when the level could be left; zero if it could not
}

// NewShedder returns a shedder that refuses nothing yet.
func NewShedder(config ShedConfig) *Shedder {
	if config.Target <= 0 {
		config.Target = defaultTarget
	}
	if config.Release <= 0 {
		config.Release = defaultRelease
	}
	if config.Hold <= 0 {
		config.Hold = defaultHold
	}
	return &Shedder{config: config}
}

// Check returns nil for admitted work, else an *outcome.Error with
// DeadlineUnreachable or Overloaded and a retry delay.
func (s *Shedder) Check(now time.Time, work Work) error {
	s.update(now, work.ShortExpected)
	if now.Add(work.Expected).After(work.Deadline) {
		return outcome.New(outcome.DeadlineUnreachable, "the first token is expected in %v, the request has %v",
			work.Expected, work.Deadline.Sub(now)).WithRetryAfter(s.retryAfter(work))
	}
	if s.refuses(work) {
		return outcome.New(outcome.Overloaded, "%s requests are refused at this load", work.Band).
			WithRetryAfter(s.retryAfter(work))
	}
	return nil
}

// Level returns the level of refusal, 0 to 3, for metrics.
func (s *Shedder) Level() int { return s.level }

func (s *Shedder) refuses(work Work) bool {
	switch work.Band {
	case outcome.Long:
		return s.level >= shedLong || (s.level >= shedRepeatableLong && work.Repeatable)
	case outcome.Medium:
		return s.level >= shedMedium
	}
	return false
}

func (s *Shedder) retryAfter(work Work) time.Duration {
	return min(max(work.Expected, s.config.Hold), maxRetryAfter)
}

func (s *Shedder) update(now time.Time, expected time.Duration) {
	ratio := float64(expected) / float64(s.config.Target)
	for s.level+1 < shedLevels && ratio >= levelThreshold[s.level+1] {
		s.level++
		s.calm = time.Time{}
	}
	if s.level == shedNothing {
		return
	}
	if ratio > levelThreshold[s.level]*s.config.Release {
		s.calm = time.Time{}
		return
	}
	if s.calm.IsZero() {
		s.calm = now
	}
	if now.Sub(s.calm) >= s.config.Hold {
		s.level--
		s.calm = now
	}
}
