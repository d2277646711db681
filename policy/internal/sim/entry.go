package sim

import (
	"errors"
	"strconv"
	"time"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/policy/admit"
	"camphorwick.dev/policy/choose"
	"camphorwick.dev/policy/queue"
	"camphorwick.dev/policy/retry"
)

// There are as many entries as the constant entries says. Each server reports
// its load to them every reportInterval, and a request has up to maxAttempts.
const (
	networkDelay   = 500 * time.Microsecond // one way
	reportInterval = time.Second
	maxAttempts    = 3
	entries        = 3
	modelName      = "m"
)

// router is the part of an entry in which the policy and the baselines differ.
type router interface {
	// pick returns the index of the server for a request, or the error with which
	// the request is refused.
	pick(r *request) (int, error)
	// sent is called when the entry sends an attempt, ended when it learns that
	// the attempt has ended.
	sent(a *attempt)
	ended(a *attempt, err error)
	// mayRetry reports whether a retry is allowed now. If not, it returns the
	// time to wait before asking again, or 0 if there will be no retry.
	mayRetry() (time.Duration, bool)
}

type entry struct {
	sim    *simulation
	router router
}

func (e *entry) arrive(r *request) {
	if err := e.sendAttempt(r); err != nil {
		r.refused = true
	}
}

func (e *entry) sendAttempt(r *request) error {
	id, err := e.router.pick(r)
	if err != nil {
		return err
	}
	r.attempts++
	s := e.sim.servers[id]
	a := &attempt{request: r, key: strconv.Itoa(r.id) + "/" + strconv.Itoa(r.attempts), entry: e, server: s,
		prefill: r.tokens + r.emitted, answer: r.answer - r.emitted, sentAt: e.sim.loop.now}
	e.router.sent(a)
	e.sim.loop.after(networkDelay, func() { s.submit(a) })
	return nil
}

func (e *entry) ended(a *attempt, err error) {
	r := a.request
	e.router.ended(a, err)
	if err == nil {
		r.finished = true
		return
	}
	if r.firstToken == 0 {
		r.chargeWaits(a, e.sim.loop.now, err)
	}
	e.sim.result.WastedByFailures += a.computedTokens
	r.emitted += a.emitted
	r.excludedServers[a.server.id] = true
	if e.sim.loop.now >= r.deadline || r.attempts >= maxAttempts || isFinal(err) {
		r.refused, r.failed = notRun(r, err), !notRun(r, err)
		return
	}
	e.retry(r, err)
}

// retry sends a request again after an error as soon as the router allows it.
func (e *entry) retry(r *request, cause error) {
	wait, ok := e.router.mayRetry()
	if !ok && (wait == 0 || e.sim.loop.now+wait >= r.deadline) {
		r.refused, r.failed = notRun(r, cause), !notRun(r, cause)
		return
	}
	if !ok {
		e.sim.loop.after(wait, func() { e.retry(r, cause) })
		return
	}
	e.sim.result.Retries++
	if err := e.sendAttempt(r); err != nil {
		r.refused, r.failed = r.emitted == 0, r.emitted > 0
	}
}

// isFinal reports whether another server would return the same error.
func isFinal(err error) bool {
	return outcome.CodeOf(err) == outcome.PromptTooLong || outcome.CodeOf(err) == outcome.DeadlineExceeded
}

// notRun reports whether the request counts as refused: the error says that it
// was not executed, and no attempt has generated a token.
func notRun(r *request, err error) bool {
	switch outcome.CodeOf(err) {
	case outcome.Overloaded, outcome.DeadlineUnreachable, outcome.PromptTooLong:
		return r.emitted == 0
	}
	return false
}

// policyRouter is the router of the policy. It uses the decision modules.
type policyRouter struct {
	sim        *simulation
	dataCentre string
	table      *choose.Table
	shed       *admit.Shedder
	budget     *retry.Budget
	rules      Rules
}

var errNoServer = errors.New("no server is usable for the request")

func (p *policyRouter) pick(r *request) (int, error) {
	now := p.sim.loop.time()
	if r.attempts == 0 {
		p.budget.Request(now)
	}
	request := choose.Request{Model: modelName, Band: r.band, Tokens: r.tokens, DataCentre: p.dataCentre,
		Exclude: func(vm string) bool { id, _ := strconv.Atoi(vm); return r.excludedServers[id] }}
	if r.prefixGroup >= 0 {
		request.Prefixes = prefixHashes(r.prefixGroup)
	}
	vm, expected, ok := p.table.Pick(now, request)
	if !ok {
		return 0, errNoServer
	}
	if !p.rules.NoShedder && r.attempts == 0 {
		work := admit.Work{Band: r.band, Deadline: epoch.Add(r.deadline), Expected: expected, Repeatable: r.retryable}
		if err := p.shed.Check(now, work); err != nil {
			return 0, err
		}
	}
	id, _ := strconv.Atoi(vm)
	return id, nil
}

func prefixHashes(group int) []uint64 {
	hashes := make([]uint64, prefixBlocks)
	for i := range hashes {
		hashes[i] = uint64(group*prefixBlocks + i + 1)
	}
	return hashes
}

func (p *policyRouter) sent(a *attempt) {
	now, vm := p.sim.loop.time(), strconv.Itoa(a.server.id)
	p.table.RecordStart(now, vm)
	if !p.rules.NoSentWork {
		p.table.AddSentWork(now, vm, a.request.band, a.prefill)
	}
}

func (p *policyRouter) ended(a *attempt, err error) {
	now, vm := p.sim.loop.time(), strconv.Itoa(a.server.id)
	p.table.RecordEnd(now, vm, err == nil)
	if errors.Is(err, errServerDown) && !p.rules.NoHoldDown {
		p.table.RecordFailure(now, vm)
	}
}

func (p *policyRouter) mayRetry() (time.Duration, bool) {
	now := p.sim.loop.time()
	if p.rules.NoRetryBudget || p.budget.TryRetry(now) {
		return 0, true
	}
	if p.rules.NoRetryBudgetWait {
		return 0, false
	}
	return p.budget.RetryDelay(now), false
}

func (p *policyRouter) report(s *server, load queue.Load, speed int) {
	vm := strconv.Itoa(s.id)
	if speed > 0 && !p.rules.NoObservedSpeed {
		p.table.SetPrefillSpeed(p.sim.loop.time(), vm, speed)
	}
	p.table.Report(p.sim.loop.time(), vm, choose.Load(load))
	if p.rules.NoPrefixHints {
		return
	}
	var hashes []uint64
	for _, g := range s.engine.cachedGroups {
		hashes = append(hashes, prefixHashes(g)...)
	}
	p.table.CachedPrefixes(vm, hashes)
}

// baseline routes by round robin or to the server with the fewest outstanding
// requests. It retries without a retry budget.
type baseline struct {
	sim              *simulation
	leastOutstanding bool
	nextServer       int   // start of the last pick; modulo the number of servers a server index
	outstanding      []int // by server: attempts of this entry that have not ended
}

func (b *baseline) pick(r *request) (int, error) {
	b.nextServer++
	n := len(b.sim.servers)
	best := b.nextServer % n
	if b.leastOutstanding {
		for i := range n {
			if id := (b.nextServer + i) % n; b.outstanding[id] < b.outstanding[best] {
				best = id
			}
		}
	}
	return best, nil
}

func (b *baseline) sent(a *attempt)                 { b.outstanding[a.server.id]++ }
func (b *baseline) ended(a *attempt, err error)     { b.outstanding[a.server.id]-- }
func (b *baseline) mayRetry() (time.Duration, bool) { return 0, true }
