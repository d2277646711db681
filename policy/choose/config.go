package choose

import "time"

// Defaults of Config.
const (
	defaultHoldDown      = 500 * time.Millisecond
	defaultMaxHoldDown   = time.Minute
	defaultRoundTripTime = time.Millisecond
	defaultMaxScanAll    = 8
	defaultMemoryPenalty = 50 * time.Millisecond
	defaultSamples       = 6
)

const (
	// failureDecay multiplies the count of recent failures at each success.
	failureDecay = 0.8
	// maxAgentsPerPrefix is the maximum number of agents kept per cached prefix.
	maxAgentsPerPrefix = 4
	// kvMargin is the KV-cache memory in tokens that must be free beyond the need
	// of a short request, because other requests take memory between two reports.
	kvMargin = 10_000
	// slowSpeedShare is a share of the prefill speed that an agent states in its
	// handshake. An observed speed below this share is used instead of the stated
	// one.
	slowSpeedShare = 0.7
	// prefixBlockTokens is the length of a prefix block in tokens.
	prefixBlockTokens = 1024
)

// Config sets the parameters of a Table. Zero fields get defaults.
type Config struct {
	// Seed seeds the random sampling of candidates.
	Seed uint64
	// HoldDown is the time after a first failure of an agent for which the agent
	// is in hold-down: it is picked only if no other is left. The time doubles
	// with each further failure, up to MaxHoldDown.
	HoldDown, MaxHoldDown time.Duration
	// RoundTripTime is the round-trip time between any two data centres.
	RoundTripTime time.Duration
	// MaxScanAll is the number of agents up to which all are considered. In larger
	// fleets, entries that consider all agents would send their requests at the
	// same time to the few that look best in the same old reports.
	MaxScanAll int
	// MemoryPenalty is added to the expected time of a short request on an agent
	// that reports too little free KV-cache memory for it. It exceeds the usual
	// difference of this time between agents, so that agents with enough memory
	// are preferred, but not the wait at a busy agent.
	MemoryPenalty time.Duration
	// Samples is the number of agents sampled in larger fleets, in the entry's
	// data centre and again in all of them.
	Samples int
}

func (c Config) withDefaults() Config {
	setDefault(&c.HoldDown, defaultHoldDown)
	setDefault(&c.MaxHoldDown, defaultMaxHoldDown)
	setDefault(&c.RoundTripTime, defaultRoundTripTime)
	setDefault(&c.MaxScanAll, defaultMaxScanAll)
	setDefault(&c.MemoryPenalty, defaultMemoryPenalty)
	setDefault(&c.Samples, defaultSamples)
	return c
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
