package queue

import (
	"time"

	"camphorwick.dev/api/outcome"
)

const (
	// minSampleSteps is the prefill work ahead of a short job, itself included,
	// in engine steps from which its first token is a sample of the speed. With
	// less, the rest of the running step dominates the time.
	minSampleSteps = 4
	// minSamples is the number of samples before a speed is reported.
	minSamples = 5
	// sampleDecay is the weight of the earlier samples at each new one.
	sampleDecay = 0.95
)

// speed observes the prefill speed of the engine from short jobs. The engine
// serves them first, so the time to their first token depends on the short
// work ahead of them and not on long prefills of unknown progress.
type speed struct {
	samples int
	tokens  float64
	seconds float64
}

func (s *speed) add(tokens int, took time.Duration) {
	s.samples++
	s.tokens = s.tokens*sampleDecay + float64(tokens)
	s.seconds = s.seconds*sampleDecay + took.Seconds()
}

// observe takes a sample from a job that got its first token.
func (q *Queue) observe(now time.Time, e *entry) {
	if e.prefilling && e.job.Band == outcome.Short && e.work >= minSampleSteps*q.config.StepTokens {
		q.speed.add(e.work, now.Sub(e.started))
	}
}

// PrefillSpeed returns the observed prefill speed of the engine in tokens/s,
// or 0 if too little was observed.
func (q *Queue) PrefillSpeed() int {
	if q.speed.samples < minSamples || q.speed.seconds <= 0 {
		return 0
	}
	return int(q.speed.tokens / q.speed.seconds)
}
