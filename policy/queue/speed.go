package queue

import (
	"time"

	"camphorwick.dev/api/outcome"
)

const (
	// minSampleSteps is the least prefill work, in engine steps, that a short job
	// and the jobs ahead of it must have for its time to first token to be used as
	// a sample of the speed. With less work the rest of the running step dominates
	// the time.
	minSampleSteps = 4
	// minSamples is the number of samples from which a speed is reported.
	minSamples = 5
	// sampleDecay multiplies the weight of the earlier samples with each new one.
	sampleDecay = 0.95
)

// speed estimates the prefill speed of the engine from short jobs. The engine
// serves them first, so their time to first token depends on the short jobs ahead
// of them and not on long prefills of unknown progress.
type speed struct {
	samples int     // number of samples
	tokens  float64 // decayed sum of the prefill tokens of the samples
	seconds float64 // decayed sum of their times
}

func (s *speed) add(tokens int, elapsed time.Duration) {
	s.samples++
	s.tokens = s.tokens*sampleDecay + float64(tokens)
	s.seconds = s.seconds*sampleDecay + elapsed.Seconds()
}

// sampleSpeed adds a sample from a job that returned its first token.
func (q *Queue) sampleSpeed(now time.Time, j *trackedJob) {
	if j.prefilling && j.job.Band == outcome.Short && j.prefillAtStart >= minSampleSteps*q.config.StepTokens {
		q.speed.add(j.prefillAtStart, now.Sub(j.started))
	}
}

// PrefillSpeed returns the observed prefill speed of the engine in tokens/s, or 0
// if there are too few samples.
func (q *Queue) PrefillSpeed() int {
	if q.speed.samples < minSamples || q.speed.seconds <= 0 {
		return 0
	}
	return int(q.speed.tokens / q.speed.seconds)
}
