package choose

import "time"

// Defaults of Config.
const (
	defaultHold     = 500 * time.Millisecond
	defaultMaxHold  = time.Minute
	defaultDistance = time.Millisecond
	defaultScanAll  = 8
	defaultSamples  = 6
)

const (
	// successFactor reduces the count of recent failures at each success.
	successFactor = 0.8
	// maxOwners bounds the agents kept per cached prefix.
	maxOwners            = 4
	defaultMemoryPenalty = 50 * time.Millisecond
	// memoryMargin is the KV-cache memory in tokens that must be free beyond a
	// short request; other requests take it between two reports.
	memoryMargin = 10_000
	// slowShare is the share of the speed of the handshake below which an
	// observed speed is believed.
	slowShare = 0.7
	// blockTokens is the length of a prefix block in tokens.
	blockTokens = 1024
)

// Config sets the rules of a Table. Zero values get defaults.
type Config struct {
	// Seed starts the random sampling of candidates.
	Seed uint64
	// Hold is the hold-down after a first failure; it doubles up to MaxHold.
	Hold, MaxHold time.Duration
	// DefaultDistance is the round-trip time between data centres for which
	// SetDistance was not called.
	DefaultDistance time.Duration
	// ScanAll is the number of agents up to which all are looked at. With more,
	// entries that look at all of them crowd the few that look best in the
	// common but old reports.
	ScanAll int
	// MemoryPenalty is added to the expected time of a short request on an
	// agent that reports too little free KV-cache memory for it. It exceeds the
	// usual difference between agents, but not the wait at one that is busy.
	MemoryPenalty time.Duration
	// Samples is the number of agents looked at in larger fleets, in the own
	// data centre and again in all of them.
	Samples int
}

func (c Config) withDefaults() Config {
	setDefault(&c.Hold, defaultHold)
	setDefault(&c.MaxHold, defaultMaxHold)
	setDefault(&c.DefaultDistance, defaultDistance)
	setDefault(&c.ScanAll, defaultScanAll)
	setDefault(&c.MemoryPenalty, defaultMemoryPenalty)
	setDefault(&c.Samples, defaultSamples)
	return c
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
