package sim

import (
	"errors"
	"slices"
	"strconv"
	"time"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/policy/queue"
)

// errServerDown is the error of a server that is down.
var errServerDown = errors.New("backend server is down")

// attempt is one attempt to run a request on one server.
type attempt struct {
	request        *request
	key            string // "request/attempt", the job id in the queue
	entry          *entry
	server         *server
	prefill        int // tokens of the prompt and of the answer so far
	answer         int // tokens of the answer that this attempt has to generate
	emitted        int // tokens of the answer that it has generated
	computedTokens int // prefill and generated tokens computed for this attempt
	ended          bool
	started        bool // runs on the engine

	sentAt time.Duration // when the entry sent the attempt

	// Waits before the first token, recorded for short requests.
	causeSince time.Duration // start of the wait for cause, 0 before the first wait
	cause      WaitCause     // what the attempt waits for now
	wait       [CauseCount]time.Duration
}

// scheduler is the queue of a server: a policyQueue under the strategy Policy, a
// fifo under the baselines Naive and LeastOutstanding. The methods correspond to
// those of queue.Queue.
type scheduler interface {
	push(now time.Time, a *attempt) error
	// next returns the attempt to start now with its engine priority, where the
	// lowest number goes first, or false.
	next(now time.Time) (*attempt, int, bool)
	firstToken(now time.Time, a *attempt)
	finish(now time.Time, a *attempt)
	// expired removes and returns the queued attempts whose deadline has passed.
	expired(now time.Time) []*attempt
	// preempt returns running attempts to cancel on the engine and puts them back
	// into the queue.
	preempt(now time.Time) []*attempt
	load(now time.Time) queue.Load
	// speed returns the observed prefill speed in tokens/s, or 0.
	speed() int
	// wake returns the next time at which schedule has to be called although
	// nothing has arrived or ended, or false.
	wake(now time.Time) (time.Time, bool)
}

// server simulates an agent and its engine.
type server struct {
	id       int
	loop     *loop
	engine   engine
	newQueue func() scheduler
	queue    scheduler
	attempts []*attempt // queued or running
	down     bool
	wakeAt   time.Time // time of the last wake that was scheduled
	result   *Result
}

func newServer(id int, l *loop, newQueue func() scheduler, result *Result) *server {
	s := &server{id: id, loop: l, newQueue: newQueue, queue: newQueue(), result: result}
	s.engine = engine{loop: l, speedShare: 1, firstToken: s.firstToken, finished: s.finished}
	return s
}

func (s *server) submit(a *attempt) {
	if s.down {
		s.reportEnd(a, errServerDown)
		return
	}
	if err := s.queue.push(s.loop.time(), a); err != nil {
		s.reportEnd(a, err)
		return
	}
	a.request.kvHeld, a.request.server = s.kvHeld(), s.id
	s.attempts = append(s.attempts, a)
	s.loop.after(a.request.deadline-s.loop.now, func() {
		if !a.ended {
			s.removeAttempt(a, outcome.New(outcome.DeadlineExceeded, "the deadline passed"))
			s.schedule()
		}
	})
	s.schedule()
}

// schedule drops expired attempts, preempts, and starts the attempts that may
// start now.
func (s *server) schedule() {
	now := s.loop.time()
	for _, a := range s.queue.expired(now) {
		s.removeAttempt(a, outcome.New(outcome.DeadlineExceeded, "the deadline passed in the queue"))
	}
	s.start(now) // before preempt, so that only attempts that cannot start preempt others
	for _, a := range s.queue.preempt(now) {
		s.engine.cancel(a)
		s.result.Preempted++
		s.result.WastedByPreemption += a.computedTokens
		// The tokens generated so far become part of the prompt.
		a.prefill, a.answer = a.prefill+a.emitted, a.answer-a.emitted
		a.computedTokens, a.emitted, a.started = 0, 0, false
	}
	s.start(now)
	s.updateWaitCauses()
	// Schedules a wake unless an earlier one is still to come.
	if wake, ok := s.queue.wake(now); ok && (s.wakeAt.IsZero() || !s.wakeAt.After(now) || wake.Before(s.wakeAt)) {
		s.wakeAt = wake
		s.loop.after(wake.Sub(now), s.schedule)
	}
}

func (s *server) start(now time.Time) {
	for {
		a, priority, ok := s.queue.next(now)
		if !ok {
			return
		}
		a.switchCause(s.loop.now, WaitPrefill)
		a.started = true
		s.engine.add(a, priority)
	}
}

func (s *server) firstToken(a *attempt) {
	if a.request.firstToken == 0 {
		a.switchCause(s.loop.now, WaitPrefill) // adds the time of the prefill
		a.request.chargeWaits(a, s.loop.now, nil)
		a.request.firstToken = s.loop.now + networkDelay
	}
	s.queue.firstToken(s.loop.time(), a)
	s.schedule()
}

func (s *server) finished(a *attempt) {
	s.removeAttempt(a, nil)
	s.schedule()
}

// removeAttempt removes an attempt from the queue and the engine and reports its
// end to the entry.
func (s *server) removeAttempt(a *attempt, err error) {
	s.engine.cancel(a)
	s.queue.finish(s.loop.time(), a)
	s.attempts = slices.DeleteFunc(s.attempts, func(x *attempt) bool { return x == a })
	s.reportEnd(a, err)
}

func (s *server) reportEnd(a *attempt, err error) {
	a.ended = true
	s.loop.after(networkDelay, func() { a.entry.ended(a, err) })
}

// crash fails all attempts. New ones fail at once until down is reset.
func (s *server) crash() {
	s.down = true
	s.engine.restart()
	attempts := s.attempts
	s.attempts, s.queue = nil, s.newQueue()
	for _, a := range attempts {
		s.reportEnd(a, errServerDown)
	}
}

// policyQueue is the scheduler of the strategy Policy. It uses queue.Queue.
type policyQueue struct {
	queue    *queue.Queue
	attempts map[string]*attempt
	rules    Rules
}

// account returns the account of a request in the queue.
func (p *policyQueue) account(r *request) string {
	if p.rules.NoFairness {
		return "" // one account for all requests
	}
	return strconv.Itoa(r.account)
}

func (p *policyQueue) push(now time.Time, a *attempt) error {
	r := a.request
	err := p.queue.Push(now, queue.Job{ID: a.key, Account: p.account(r), Weight: 1, Band: r.band, PrefillTokens: a.prefill,
		KVTokens: a.prefill + a.answer, AnswerTokens: a.answer, Arrived: now, Deadline: epoch.Add(r.deadline)})
	if err == nil {
		p.attempts[a.key] = a
	}
	return err
}

func (p *policyQueue) next(now time.Time) (*attempt, int, bool) {
	g, ok := p.queue.Next(now)
	if !ok {
		return nil, 0, false
	}
	return p.attempts[g.ID], g.Priority, true
}

func (p *policyQueue) firstToken(now time.Time, a *attempt) { p.queue.RecordFirstToken(now, a.key) }

func (p *policyQueue) finish(now time.Time, a *attempt) {
	p.queue.Finish(now, a.key)
	delete(p.attempts, a.key)
}

func (p *policyQueue) expired(now time.Time) []*attempt {
	var list []*attempt
	for _, j := range p.queue.Expired(now) {
		list = append(list, p.attempts[j.ID])
	}
	return list
}

func (p *policyQueue) preempt(now time.Time) []*attempt {
	if p.rules.NoPreemption {
		return nil
	}
	var list []*attempt
	for _, id := range p.queue.Preempt(now) {
		a := p.attempts[id]
		r := a.request
		// The emitted tokens move from the answer to the prefill, so the memory
		// stays the same.
		p.queue.Requeue(now, queue.Job{ID: id, Account: p.account(r), Weight: 1, Band: r.band,
			PrefillTokens: a.prefill + a.emitted, KVTokens: a.prefill + a.answer, AnswerTokens: a.answer - a.emitted, Arrived: now, Deadline: epoch.Add(r.deadline)})
		list = append(list, a)
	}
	return list
}

func (p *policyQueue) speed() int                           { return p.queue.PrefillSpeed() }
func (p *policyQueue) load(now time.Time) queue.Load        { return p.queue.Load(now) }
func (p *policyQueue) wake(now time.Time) (time.Time, bool) { return p.queue.NextWake(now) }

// fifo is the scheduler of the baselines. It starts attempts in order of arrival
// as soon as the engine has enough free memory for the first one.
type fifo struct {
	waiting  []*attempt
	running  map[*attempt]int // KV-cache memory in tokens of each attempt
	reserved int              // sum of this memory
}

func (f *fifo) push(now time.Time, a *attempt) error {
	if a.prefill+a.answer > engineKVTokens {
		return outcome.New(outcome.PromptTooLong, "the prompt does not fit")
	}
	f.waiting = append(f.waiting, a)
	return nil
}

func (f *fifo) next(now time.Time) (*attempt, int, bool) {
	if len(f.waiting) == 0 {
		return nil, 0, false
	}
	a := f.waiting[0]
	need := a.prefill + a.answer
	if f.reserved+need > engineKVTokens {
		return nil, 0, false
	}
	f.waiting = f.waiting[1:]
	f.running[a] = need
	f.reserved += need
	return a, 0, true
}

func (f *fifo) finish(now time.Time, a *attempt) {
	f.reserved -= f.running[a]
	delete(f.running, a)
	f.waiting = slices.DeleteFunc(f.waiting, func(x *attempt) bool { return x == a })
}

func (f *fifo) firstToken(time.Time, *attempt)   {}
func (f *fifo) expired(time.Time) []*attempt     { return nil }
func (f *fifo) preempt(time.Time) []*attempt     { return nil }
func (f *fifo) speed() int                       { return 0 }
func (f *fifo) load(time.Time) queue.Load        { return queue.Load{} }
func (f *fifo) wake(time.Time) (time.Time, bool) { return time.Time{}, false }
