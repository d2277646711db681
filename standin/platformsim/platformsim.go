// Package platformsim stands in for the platform that package cloud declares, the
// one of entries and agents: a key-value service, a list of VMs and a weight
// store, served over HTTP and kept in memory. A second handler, meant for a
// separate address, injects faults, sets the list of VMs and returns the counts.
// docs/protocols/platform.md describes both.
package platformsim

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"camphorwick.dev/standin/faults"
)

// Options configures the stand-in.
type Options struct {
	// ReadsPerSecond and WritesPerSecond are the rate limits of the key-value
	// service; 0 means no limit. The burst is one second of calls.
	ReadsPerSecond, WritesPerSecond float64
	// WeightsPerSecond is the rate limit of the weight store; 0 means no
	// limit. The burst is at least one load, also at rates below 1.
	WeightsPerSecond float64
	// VMLag is the time after which a change of the VM list becomes visible.
	VMLag time.Duration
}

// VM is one VM of the list.
type VM struct {
	ID         string `json:"id"`
	Role       string `json:"role"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	State      string `json:"state"` // "live" or "leaving"
}

// Stats is the answer of GET /stats. Calls that were refused, limited or lost
// are counted too.
type Stats struct {
	// Calls per operation: get, list, watch, put, delete, grant, renew,
	// revoke, vms, weights.
	Calls map[string]int `json:"calls"`
	// Reads are get, list and watch; Writes are put, delete and the lease
	// calls.
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
	// RateLimited is the number of calls that exceeded a rate limit.
	RateLimited int `json:"rate_limited"`
	// WaitingWatches is the number of watches that wait now.
	WaitingWatches int `json:"waiting_watches"`
	// Injected faults per kind.
	Injected map[faults.Kind]int `json:"injected"`
	// Held is the number of held writes.
	Held int `json:"held"`
	// Revision of the store, and the number of its keys.
	Revision uint64 `json:"revision"`
	Keys     int    `json:"keys"`
}

// Platform is the stand-in. Safe for concurrent use.
type Platform struct {
	store          *store
	faults         *faults.Injector
	vms            *vmList
	reads          *rate.Limiter
	writes         *rate.Limiter
	weights        *rate.Limiter
	waitingWatches atomic.Int64

	mu          sync.Mutex
	calls       map[string]int
	rateLimited int
}

// New returns an empty platform.
func New(o Options) *Platform {
	return &Platform{
		store:   newStore(),
		faults:  faults.New(),
		vms:     &vmList{lag: o.VMLag},
		reads:   newLimiter(o.ReadsPerSecond),
		writes:  newLimiter(o.WritesPerSecond),
		weights: newLimiter(o.WeightsPerSecond),
		calls:   map[string]int{},
	}
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(max(1, math.Ceil(perSecond))))
}

// Stats returns the counts so far.
func (p *Platform) Stats() Stats {
	s := Stats{Calls: map[string]int{}, Injected: p.faults.Injected(), WaitingWatches: int(p.waitingWatches.Load())}
	p.mu.Lock()
	for operation, n := range p.calls {
		s.Calls[operation] = n
		switch operations[operation] {
		case readCall:
			s.Reads += n
		case writeCall:
			s.Writes += n
		}
	}
	s.RateLimited = p.rateLimited
	p.mu.Unlock()
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	s.Revision, s.Keys, s.Held = p.store.revision, len(p.store.records), len(p.store.heldWrites)
	return s
}

func (p *Platform) countCall(operation string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[operation]++
}

// takeFromLimit counts a call against its rate limit. If the limit is exceeded,
// it returns the time after which a call may succeed.
func (p *Platform) takeFromLimit(operation string) (retryAfter time.Duration, ok bool) {
	var l *rate.Limiter
	switch operations[operation] {
	case readCall:
		l = p.reads
	case writeCall:
		l = p.writes
	case weightCall:
		l = p.weights
	default:
		return 0, true
	}
	reservation := l.Reserve()
	delay := reservation.Delay()
	if delay == 0 {
		return 0, true
	}
	reservation.Cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rateLimited++
	return delay, false
}

// vmList makes each change visible after a lag.
type vmList struct {
	lag time.Duration

	mu      sync.Mutex
	shown   []VM
	pending []vmChange // in order of time
}

type vmChange struct {
	at  time.Time
	vms []VM
}

// set replaces the list, after the lag unless immediate is set.
func (l *vmList) set(vms []VM, immediate bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if immediate {
		l.shown, l.pending = vms, nil
		return
	}
	l.pending = append(l.pending, vmChange{time.Now().Add(l.lag), vms})
}

func (l *vmList) get() []VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for len(l.pending) > 0 && !now.Before(l.pending[0].at) {
		l.shown, l.pending = l.pending[0].vms, l.pending[1:]
	}
	return l.shown
}
