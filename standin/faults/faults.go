// Package faults decides which calls of a stand-in fail, and how. A plan can
// be replaced while the stand-in runs. Rules pick calls by number or by a
// probability with a seed, so that a test can reproduce its faults.
package faults

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// Kind is what happens to a call.
type Kind string

// Kinds of faults. Each stand-in documents which it supports.
const (
	None Kind = ""
	// Refuse answers at once that the call was not executed.
	Refuse Kind = "refuse"
	// LoseRequest closes the connection; the call has no effect.
	LoseRequest Kind = "lose_request"
	// LoseAnswer executes the call and closes the connection.
	LoseAnswer Kind = "lose_answer"
	// CutAnswer executes the call and closes the connection in the answer.
	CutAnswer Kind = "cut_answer"
	// Unframed executes the call; the answer has no length and ends with its
	// connection.
	Unframed Kind = "unframed"
	// SecondAnswer executes the call; the answer comes once more in place of the
	// answer to the next call on the connection, which is not executed.
	SecondAnswer Kind = "second_answer"
	// Hold closes the connection and executes the call when the held calls are
	// released.
	Hold Kind = "hold"
)

// ErrInvalidPlan is the cause when a plan has a fault that the stand-in does not
// support or a number out of range.
var ErrInvalidPlan = errors.New("invalid fault plan")

// Rule injects a fault into the calls that it matches.
type Rule struct {
	Fault Kind `json:"fault"`
	// Operation restricts the rule to one operation of the stand-in; empty
	// matches all.
	Operation string `json:"operation,omitempty"`
	// KeyPrefix restricts the rule to keys that start with it.
	KeyPrefix string `json:"key_prefix,omitempty"`
	// Skip is the number of matching calls that pass before the rule applies.
	Skip int `json:"skip,omitempty"`
	// Count is the number of faults to inject; 0 means no bound.
	Count int `json:"count,omitempty"`
	// Probability in 0..1 that a matching call fails; 0 means always.
	Probability float64 `json:"probability,omitempty"`
	// LatencyMS is added to the calls to which the rule applies.
	LatencyMS int `json:"latency_ms,omitempty"`
}

// Plan is the complete set of faults. The zero Plan injects none.
type Plan struct {
	// Seed of the random choices.
	Seed uint64 `json:"seed"`
	// Outage, if set to Refuse or LoseRequest, affects every call.
	Outage Kind `json:"outage"`
	// LatencyMS is added to every call before it is executed.
	LatencyMS int `json:"latency_ms"`
	// Rules in order; the first one that applies is used.
	Rules []Rule `json:"rules"`
}

// Decision is what to do with one call.
type Decision struct {
	Fault   Kind
	Latency time.Duration
}

// Injector applies a plan. Safe for concurrent use.
type Injector struct {
	mu       sync.Mutex
	plan     Plan
	random   *rand.Rand
	matched  []int // calls, by rule
	applied  []int // injected faults, by rule
	injected map[Kind]int
}

// New returns an injector without faults.
func New() *Injector {
	i := &Injector{injected: map[Kind]int{}}
	i.install(Plan{})
	return i
}

// Set replaces the plan and restarts its counts and its random sequence.
// supported lists the kinds that the stand-in can inject. An invalid plan
// changes nothing and returns ErrInvalidPlan.
func (i *Injector) Set(plan Plan, supported ...Kind) error {
	if plan.Outage != None && plan.Outage != Refuse && plan.Outage != LoseRequest {
		return fmt.Errorf("%w: outage %q", ErrInvalidPlan, plan.Outage)
	}
	if plan.LatencyMS < 0 {
		return fmt.Errorf("%w: latency_ms %d", ErrInvalidPlan, plan.LatencyMS)
	}
	for n, rule := range plan.Rules {
		if !rule.valid(supported) {
			return fmt.Errorf("%w: rule %d", ErrInvalidPlan, n)
		}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.install(plan)
	return nil
}

func (r Rule) valid(supported []Kind) bool {
	known := r.Fault == None
	for _, kind := range supported {
		known = known || r.Fault == kind
	}
	return known && r.Skip >= 0 && r.Count >= 0 && r.LatencyMS >= 0 && r.Probability >= 0 && r.Probability <= 1
}

func (i *Injector) install(plan Plan) {
	i.plan = plan
	i.random = rand.New(rand.NewPCG(plan.Seed, plan.Seed))
	i.matched = make([]int, len(plan.Rules))
	i.applied = make([]int, len(plan.Rules))
}

// Plan returns the current plan.
func (i *Injector) Plan() Plan {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.plan
}

// Injected returns how many faults of each kind were injected so far.
func (i *Injector) Injected() map[Kind]int {
	i.mu.Lock()
	defer i.mu.Unlock()
	counts := make(map[Kind]int, len(i.injected))
	for kind, n := range i.injected {
		counts[kind] = n
	}
	return counts
}

// Choose returns the fault and the latency of one call.
func (i *Injector) Choose(operation, key string) Decision {
	i.mu.Lock()
	defer i.mu.Unlock()
	d := Decision{Fault: i.plan.Outage, Latency: time.Duration(i.plan.LatencyMS) * time.Millisecond}
	if d.Fault == None {
		if rule := i.selectRule(operation, key); rule != nil {
			d.Fault = rule.Fault
			d.Latency += time.Duration(rule.LatencyMS) * time.Millisecond
		}
	}
	if d.Fault != None {
		i.injected[d.Fault]++
	}
	return d
}

// selectRule returns the first rule that applies to the call; i.mu is held.
func (i *Injector) selectRule(operation, key string) *Rule {
	for n := range i.plan.Rules {
		rule := &i.plan.Rules[n]
		if rule.Operation != "" && rule.Operation != operation || !strings.HasPrefix(key, rule.KeyPrefix) {
			continue
		}
		i.matched[n]++
		if i.matched[n] <= rule.Skip || rule.Count > 0 && i.applied[n] >= rule.Count {
			continue
		}
		if rule.Probability > 0 && i.random.Float64() >= rule.Probability {
			continue
		}
		i.applied[n]++
		return rule
	}
	return nil
}
