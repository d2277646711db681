package queue

import "time"

// Defaults of Config.
const (
	defaultKVTokens               = 1_000_000
	defaultStepTokens             = 2048
	defaultPrefillTokensPerSecond = 20_000
	defaultLongKVShare            = 0.5
	defaultShortKVShare           = 0.2
	defaultMaxQueued              = 1024
	defaultMaxLongPrefills        = 1
	defaultMaxPreemptions         = 1
	defaultUrgencyFactor          = 2.0
	defaultShortQuiet             = 2 * time.Second
	defaultTokenTime              = 32 * time.Millisecond
	defaultDrainTime              = 20 * time.Second
	// prefillWindowSteps is the default PrefillWindow in engine steps, in which
	// the agent has to react to the end of a prefill before the engine is idle.
	prefillWindowSteps = 16
)

// Limits of the retry delay that a refusal returns.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Config describes one engine and the rules of its queue. Fields that are not
// positive get defaults.
type Config struct {
	// KVTokens is the KV-cache memory of the engine in tokens.
	KVTokens int
	// StepTokens is the number of prefill tokens of one engine step.
	StepTokens int
	// PrefillTokensPerSecond is the prefill speed of the engine.
	PrefillTokensPerSecond int
	// LongKVShare is the share of KVTokens, 0 to 1, that long jobs may reserve
	// while short jobs are queued or the last one arrived less than ShortQuiet
	// ago.
	LongKVShare float64
	// ShortKVShare is the share of KVTokens, 0 to 1, that medium and long jobs
	// leave free during the same time.
	ShortKVShare float64
	// MaxQueued is the maximum number of queued jobs.
	MaxQueued int
	// MaxLongPrefills is the maximum number of long jobs in prefill at a time.
	MaxLongPrefills int
	// MaxPreemptions is the maximum number of preemptions of one job.
	MaxPreemptions int
	// PrefillWindow is the number of prefill tokens on the engine from which no
	// further job of the same or a longer band starts. With a small window more
	// jobs wait in the queue, which orders them fairly by account, than in the
	// engine, which does not.
	PrefillWindow int
	// UrgencyFactor multiplies the prefill time when the latest start of a job is
	// computed. It allows for jobs that overtake this one.
	UrgencyFactor float64
	// ShortQuiet is the time after the arrival of a short job for which
	// LongKVShare and ShortKVShare apply.
	ShortQuiet time.Duration
	// TokenTime is the time between two generated tokens.
	TokenTime time.Duration
	// DrainTime is the expected time until running jobs have freed the memory
	// that a long job needs. Long jobs become urgent earlier by this time.
	DrainTime time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.KVTokens, defaultKVTokens)
	setDefault(&c.StepTokens, defaultStepTokens)
	setDefault(&c.PrefillTokensPerSecond, defaultPrefillTokensPerSecond)
	setDefault(&c.LongKVShare, defaultLongKVShare)
	setDefault(&c.ShortKVShare, defaultShortKVShare)
	setDefault(&c.MaxQueued, defaultMaxQueued)
	setDefault(&c.MaxLongPrefills, defaultMaxLongPrefills)
	setDefault(&c.MaxPreemptions, defaultMaxPreemptions)
	setDefault(&c.PrefillWindow, prefillWindowSteps*c.StepTokens)
	setDefault(&c.UrgencyFactor, defaultUrgencyFactor)
	setDefault(&c.ShortQuiet, defaultShortQuiet)
	setDefault(&c.TokenTime, defaultTokenTime)
	setDefault(&c.DrainTime, defaultDrainTime)
	return c
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
