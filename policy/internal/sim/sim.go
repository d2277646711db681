package sim

import (
	"math"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/policy/admit"
	"camphorwick.dev/policy/choose"
	"camphorwick.dev/policy/queue"
	"camphorwick.dev/policy/retry"
)

// FirstTokenTarget is the target for the time to first token of short requests.
const FirstTokenTarget = 520 * time.Millisecond

// Strategy is the way in which requests are routed and queued.
type Strategy string

// Strategies: two baselines and the decision modules.
const (
	Naive            Strategy = "naive"
	LeastOutstanding Strategy = "least outstanding"
	Policy           Strategy = "policy"
)

// Rules disables single rules of the policy, to measure their effect, and
// configures the others.
type Rules struct {
	NoFairness, NoPreemption, NoShedder, NoSentWork, NoHoldDown, NoPrefixHints, NoRetryBudget bool
	NoObservedSpeed, NoRetryBudgetWait                                                        bool

	Queue  queue.Config
	Choose choose.Config
	Shed   admit.ShedConfig
	Retry  retry.Config
}

// Scenario describes one run.
type Scenario struct {
	Seed       uint64
	Servers    int
	Length     time.Duration
	BaseLoad   float64 // load outside peaks as a share of the prefill capacity
	PeakFactor float64 // load at the peak in multiples of BaseLoad; usually 5
	// FailingShare is the share of servers that are down for a part of each peak.
	FailingShare float64
	// LongTimeout replaces the usual timeout of long requests if it is not 0.
	LongTimeout time.Duration
	NoLong      bool // removes the long prompts from the load
	Strategy    Strategy
	// Attention is the context length in tokens at which a prefill token costs
	// twice as much as at the start of a prompt; 0 means constant cost.
	Attention int
	// LongTokenShare is the share of the prompt tokens that belong to prompts
	// over 100,000 tokens; 0 selects the usual prompt lengths.
	LongTokenShare float64
	// SlowShare is the share of servers that run at SlowSpeed, a share of the
	// usual speed, for the whole run. Their handshakes give the usual speed.
	SlowShare, SlowSpeed float64
	Rules                Rules
}

// Result holds the figures of one run.
type Result struct {
	// FirstToken holds the times to first token by band in microseconds.
	FirstToken [outcome.BandCount]*hdrhistogram.Histogram
	// SmallAccounts holds the times to first token of the requests of all accounts
	// but the large one, by band in microseconds.
	SmallAccounts [outcome.BandCount]*hdrhistogram.Histogram
	// Arrived, Refused, Failed and Finished count requests by band. Requests
	// that are too long for any engine are counted only in TooLong.
	Arrived, Refused, Failed, Finished [outcome.BandCount]int
	TooLong                            int
	// PeakShort is the number of admitted short requests that arrived at peaks.
	// PeakInTime of them got the first token within FirstTokenTarget. PeakRefused
	// is the number of refused ones.
	PeakShort, PeakInTime, PeakRefused int
	Retries, Preempted                 int
	// WastedByFailures and WastedByPreemption are the tokens that were computed
	// in vain because an attempt failed or was preempted. UsefulTokens are the
	// prompt and answer tokens of finished requests.
	WastedByFailures, WastedByPreemption, UsefulTokens int
	// ByCycleSecond counts admitted short requests by the second of arrival
	// within a load cycle.
	ByCycleSecond [cyclePeriod / time.Second]InTimeCount
	// Late are the admitted short requests at peaks that are not counted in
	// PeakInTime.
	Late []Late
	// IdealInTimeShare is the share of the short requests at peaks that get the
	// first token within FirstTokenTarget in an ideal fleet, which serves no other
	// requests. It estimates the best that a policy can reach.
	IdealInTimeShare float64
}

// InTimeCount counts requests and those with the first token within
// FirstTokenTarget.
type InTimeCount struct{ Arrived, InTime int }

type simulation struct {
	scenario Scenario
	loop     loop
	servers  []*server
	entries  []*entry
	policies []*policyRouter // the routers of the entries, if the strategy is Policy
	result   *Result
}

// Run simulates a scenario and returns its figures.
func Run(s Scenario) *Result {
	m := &simulation{scenario: s, result: &Result{}}
	for b := range outcome.BandCount {
		m.result.FirstToken[b] = hdrhistogram.New(1, 600_000_000, 3)
		m.result.SmallAccounts[b] = hdrhistogram.New(1, 600_000_000, 3)
	}
	m.build()
	requests := generateTrace(s)
	for i, r := range requests {
		if r.id >= 0 {
			m.loop.after(r.arrival, func() { m.entries[i%entries].arrive(r) })
		}
	}
	m.scheduleFailures()
	m.loop.run()
	m.result.collect(requests)
	m.result.IdealInTimeShare = idealInTimeShare(s, requests)
	return m.result
}

func (m *simulation) build() {
	newQueue := func() scheduler { return &fifo{running: map[*attempt]int{}} }
	if m.scenario.Strategy == Policy {
		newQueue = m.newPolicyQueue
	}
	for i := range m.scenario.Servers {
		s := newServer(i, &m.loop, newQueue, m.result)
		s.engine.attention, s.engine.speedShare = m.scenario.Attention, m.scenario.speedShare(i)
		m.servers = append(m.servers, s)
	}
	for i := range entries {
		e := &entry{sim: m}
		if m.scenario.Strategy == Policy {
			p := m.newPolicyRouter(uint64(i))
			m.policies = append(m.policies, p)
			e.router = p
		} else {
			e.router = &baseline{sim: m, leastOutstanding: m.scenario.Strategy == LeastOutstanding,
				outstanding: make([]int, m.scenario.Servers), nextServer: i * m.scenario.Servers / entries}
		}
		m.entries = append(m.entries, e)
	}
	if m.scenario.Strategy == Policy {
		for i, s := range m.servers {
			// Spreads the heartbeats of the agents over the report interval.
			m.loop.after(reportInterval*time.Duration(i)/time.Duration(len(m.servers)), func() { m.report(s) })
		}
	}
}

// speedShare returns the speed of a server as a share of the usual one. Slow
// servers are spread evenly over the fleet.
func (s Scenario) speedShare(id int) float64 {
	slow := int(math.Round(s.SlowShare * float64(s.Servers)))
	if id*slow/s.Servers != (id+1)*slow/s.Servers {
		return s.SlowSpeed
	}
	return 1
}

func (m *simulation) newPolicyQueue() scheduler {
	c := m.scenario.Rules.Queue
	c.KVTokens, c.StepTokens, c.PrefillTokensPerSecond = engineKVTokens, engineStepTokens, enginePrefill
	return &policyQueue{queue: queue.New(c), attempts: map[string]*attempt{}, rules: m.scenario.Rules}
}

func (m *simulation) newPolicyRouter(i uint64) *policyRouter {
	c := m.scenario.Rules.Choose
	c.Seed = m.scenario.Seed*entries + i
	p := &policyRouter{sim: m, dataCentre: dataCentreOf(int(i)), table: choose.New(c), shed: admit.NewShedder(m.scenario.Rules.Shed),
		budget: retry.New(m.scenario.Rules.Retry), rules: m.scenario.Rules}
	for id := range m.scenario.Servers {
		p.table.Upsert(choose.Agent{VM: strconv.Itoa(id), DataCentre: dataCentreOf(id), Models: []string{modelName},
			KVTokens: engineKVTokens, PrefillTokensPerSecond: enginePrefill})
	}
	return p
}

// dataCentreOf spreads servers and entries over three data centres.
func dataCentreOf(id int) string { return "dc" + strconv.Itoa(id%3) }

func (m *simulation) report(s *server) {
	load, speed := s.queue.load(m.loop.time()), s.queue.speed()
	m.loop.after(networkDelay, func() {
		for _, p := range m.policies {
			p.report(s, load, speed)
		}
	})
	if m.loop.now < m.scenario.Length+timeouts[outcome.Long] {
		m.loop.after(reportInterval, func() { m.report(s) })
	}
}

// The failing servers go down one after the other from the start of each peak,
// when the load is highest, at intervals of crashInterval. Each is down for
// downTime, during which its requests fail at once.
const (
	downTime      = 8 * time.Second
	crashInterval = 300 * time.Millisecond
)

// failingServers is the number of servers that fail at peaks.
func (s Scenario) failingServers() int { return int(s.FailingShare * float64(s.Servers)) }

// capacityAt is the sum of the speeds of the servers that are up at a time, in
// multiples of the usual speed of one server.
func (s Scenario) capacityAt(at time.Duration) float64 {
	sum := 0.0
	for id := range s.Servers {
		sum += s.speedShare(id)
	}
	for i := range s.failingServers() {
		sinceCrash := at%cyclePeriod - peakStart - time.Duration(i+1)*crashInterval
		if sinceCrash >= 0 && sinceCrash < downTime {
			sum -= s.speedShare(i * s.Servers / s.failingServers())
		}
	}
	return sum
}

func (m *simulation) scheduleFailures() {
	n := m.scenario.failingServers()
	for i := range n {
		s := m.servers[i*m.scenario.Servers/n]
		for at := peakStart + time.Duration(i+1)*crashInterval; at < m.scenario.Length; at += cyclePeriod {
			m.loop.after(at, s.crash)
			m.loop.after(at+downTime, func() { s.down = false })
		}
	}
}

func (r *Result) collect(requests []*request) {
	for _, q := range requests {
		switch {
		case q.id < 0:
			continue
		case q.tokens+q.answer > engineKVTokens:
			r.TooLong++
			continue
		}
		r.Arrived[q.band]++
		r.countRequest(q)
		if q.firstToken > 0 {
			_ = r.FirstToken[q.band].RecordValue((q.firstToken - q.arrival).Microseconds()) // the value is within the range
			if q.account != 0 {
				_ = r.SmallAccounts[q.band].RecordValue((q.firstToken - q.arrival).Microseconds())
			}
		}
	}
}

// inTime reports whether the first token arrived within FirstTokenTarget.
func (q *request) inTime() bool {
	return q.firstToken > 0 && q.firstToken-q.arrival <= FirstTokenTarget
}

func (r *Result) countRequest(q *request) {
	switch {
	case q.refused:
		r.Refused[q.band]++
	case q.finished:
		r.Finished[q.band]++
		r.UsefulTokens += q.tokens + q.answer
	default:
		r.Failed[q.band]++
	}
	if q.band != outcome.Short {
		return
	}
	if second := &r.ByCycleSecond[q.arrival%cyclePeriod/time.Second]; !q.refused {
		second.Arrived++
		if q.inTime() {
			second.InTime++
		}
	}
	if !q.atPeak {
		return
	}
	if q.refused {
		r.PeakRefused++
		return
	}
	r.PeakShort++
	if q.inTime() {
		r.PeakInTime++
	} else {
		r.recordLate(q)
	}
}
