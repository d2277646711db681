// Package queue decides in which order an agent starts the requests of its model
// engine. An engine that serves prompts in order of arrival lets one long
// document delay every short question behind it; the queue prevents this by
// ordering jobs by length band, deadline and account.
//
// A Queue performs no I/O, takes the time as an argument and is not safe for
// concurrent use.
package queue

import (
	"container/heap"
	"time"

	"camphorwick.dev/api/outcome"
)

// Engine priorities of a Grant; a lower number goes first.
const (
	PriorityShort  = 0
	PriorityUrgent = 1
	PriorityMedium = 2
	PriorityLong   = 3
)

// Job is a request that waits for the engine or runs on it.
type Job struct {
	// ID is unique among the queued and running jobs.
	ID      string
	Account string
	// Weight is the share of the account relative to other accounts; values below
	// 1 count as 1.
	Weight int
	Band   outcome.Band
	// PrefillTokens is the prompt length in tokens, less the cached prefix.
	PrefillTokens int
	// KVTokens is the KV-cache memory to reserve: prompt and longest answer in
	// tokens.
	KVTokens int
	Arrived  time.Time
	Deadline time.Time
	// Preemptions is the number of times that the job was preempted. Requeue
	// increments it.
	Preemptions int
}

// Grant is a job to submit to the engine now.
type Grant struct {
	Job
	// Priority is the engine priority, one of the Priority constants.
	Priority int
}

// Load is the load that the agent reports to entries.
type Load struct {
	// PrefillTokens are the tokens queued or in prefill, by length band.
	PrefillTokens [outcome.BandCount]int
	// KVReserved is the reserved KV-cache memory in tokens.
	KVReserved int
	Running    int
	Queued     int
}

// entry is a queued or running job.
type entry struct {
	job            Job
	latestStart    time.Time // the job is urgent from here on: a later start endangers the deadline
	urgentPos      int       // index in Queue.urgency, or -1
	expiryPos      int       // index in Queue.expiry, or -1
	prefilling     bool
	started        time.Time
	prefillAtStart int  // prefill tokens of the band on the engine at the start, including its own
	preempting     bool // returned by Preempt, Requeue is still to come
}

// Queue orders the jobs of one engine. Invariant: reserved is the sum of KVTokens
// over running and never exceeds the KV-cache capacity.
type Queue struct {
	config  Config
	bands   [outcome.BandCount]*band
	queued  map[string]*entry
	running map[string]*entry
	urgency entryHeap // queued medium and long jobs by latest start
	expiry  entryHeap // all queued jobs by deadline

	reserved         int
	reservedByBand   [outcome.BandCount]int
	queuedPrefill    [outcome.BandCount]int // prefill tokens of queued jobs
	runningPrefill   [outcome.BandCount]int // prefill tokens of running jobs before their first token
	longPrefills     int
	speed            speed
	lastShortArrival time.Time
	shortArrived     bool
}

// New returns an empty queue. Zero fields of config get their defaults.
func New(config Config) *Queue {
	q := &Queue{
		config:  config.withDefaults(),
		queued:  map[string]*entry{},
		running: map[string]*entry{},
		urgency: entryHeap{before: earlierStart, position: urgentPosition},
		expiry:  entryHeap{before: earlierDeadline, position: expiryPosition},
	}
	for i := range q.bands {
		q.bands[i] = newBand()
	}
	return q
}

// Push queues a job. It returns an *outcome.Error with PromptTooLong if the job
// can never fit, Overloaded if the queue is full, DeadlineUnreachable if the jobs
// ahead leave too little time, or InvalidRequest if the id is in use.
func (q *Queue) Push(now time.Time, job Job) error {
	if err := q.checkAdmission(now, job); err != nil {
		return err
	}
	if job.Band == outcome.Short {
		q.lastShortArrival, q.shortArrived = now, true
	}
	q.insert(job)
	return nil
}

func (q *Queue) checkAdmission(now time.Time, job Job) error {
	if q.queued[job.ID] != nil || q.running[job.ID] != nil {
		return outcome.New(outcome.InvalidRequest, "request %s is already queued or running", job.ID)
	}
	if job.KVTokens > q.config.KVTokens {
		return outcome.New(outcome.PromptTooLong, "the request needs %d KV tokens, the engine has %d",
			job.KVTokens, q.config.KVTokens)
	}
	wait := q.prefillTime(q.prefillTokensAhead(job.Band))
	if len(q.queued) >= q.config.MaxQueued {
		return outcome.New(outcome.Overloaded, "%d requests are queued", len(q.queued)).
			WithRetryAfter(min(max(wait, minRetryAfter), maxRetryAfter))
	}
	if need := wait + q.prefillTime(job.PrefillTokens); now.Add(need).After(job.Deadline) {
		return outcome.New(outcome.DeadlineUnreachable, "the first token needs %v, the request has %v",
			need, job.Deadline.Sub(now)).WithRetryAfter(min(max(wait, minRetryAfter), maxRetryAfter))
	}
	return nil
}

// Requeue puts a preempted job back into the queue and frees what it still holds.
// It ignores MaxQueued, because the job was accepted before.
func (q *Queue) Requeue(now time.Time, job Job) {
	q.Finish(now, job.ID)
	job.Preemptions++
	q.insert(job)
}

func (q *Queue) insert(job Job) {
	job.Weight = max(job.Weight, 1)
	job.KVTokens, job.PrefillTokens = max(job.KVTokens, 0), max(job.PrefillTokens, 0)
	e := &entry{job: job, urgentPos: -1, expiryPos: -1}
	e.latestStart = job.Deadline.Add(-q.serviceTime(job))
	if job.Band == outcome.Long {
		e.latestStart = e.latestStart.Add(-q.config.DrainTime)
	}
	q.queued[job.ID] = e
	q.queuedPrefill[job.Band] += job.PrefillTokens
	q.bands[job.Band].push(e)
	heap.Push(&q.expiry, e)
	if job.Band != outcome.Short {
		heap.Push(&q.urgency, e)
	}
}

// Next removes the job to start now from the queue and reserves its memory. It
// returns false if no job may start. Call it again after each change and at the
// time of NextWake.
func (q *Queue) Next(now time.Time) (Grant, bool) {
	urgent := q.urgent(now)
	if e := q.bands[outcome.Short].head(); e != nil && q.mayStartShort(e, urgent) {
		return q.start(now, e, PriorityShort), true
	}
	if urgent != nil {
		if q.mayStartUrgent(urgent) {
			return q.start(now, urgent, PriorityUrgent), true
		}
		if !q.fits(urgent) {
			return Grant{}, false // memory that becomes free is left to the urgent job
		}
	}
	if e := q.bands[outcome.Short].head(); e != nil && !q.fits(e) {
		return Grant{}, false // memory that becomes free is left to the short job
	}
	if e := q.bands[outcome.Medium].head(); e != nil {
		if q.mayStartMedium(now, e) {
			return q.start(now, e, PriorityMedium), true
		}
		if !q.fits(e) || !q.leavesShortReserve(now, e) {
			return Grant{}, false
		}
	}
	if e := q.bands[outcome.Long].head(); e != nil && q.mayStartLong(now, e) {
		return q.start(now, e, PriorityLong), true
	}
	return Grant{}, false
}

// urgent returns the queued medium or long job that must start now to meet
// its deadline, or nil.
func (q *Queue) urgent(now time.Time) *entry {
	if e := q.urgency.top(); e != nil && !now.Before(e.latestStart) {
		return e
	}
	return nil
}

func (q *Queue) fits(e *entry) bool {
	return q.reserved+e.job.KVTokens <= q.config.KVTokens
}

// mayStartShort reports whether a short job may start. It limits the memory of
// all short jobs so that an urgent job that waits for memory will fit; otherwise
// a steady flow of short jobs starves it.
func (q *Queue) mayStartShort(e, urgent *entry) bool {
	if !q.fits(e) || q.runningPrefill[outcome.Short] >= q.config.PrefillWindow {
		return false
	}
	if urgent == nil || q.longPrefillsFull(urgent) {
		return true
	}
	return q.reservedByBand[outcome.Short]+e.job.KVTokens+urgent.job.KVTokens <= q.config.KVTokens
}

func (q *Queue) mayStartUrgent(e *entry) bool {
	return q.fits(e) && !q.longPrefillsFull(e)
}

// longPrefillsFull reports whether the job is long and must wait until another
// long job ends its prefill.
func (q *Queue) longPrefillsFull(e *entry) bool {
	return e.job.Band == outcome.Long && q.longPrefills >= q.config.MaxLongPrefills
}

// leavesShortReserve reports whether the memory reserve for short jobs stays free
// if the job starts.
func (q *Queue) leavesShortReserve(now time.Time, e *entry) bool {
	if len(q.running) == 0 || !q.shortWorkActive(now) {
		return true
	}
	reserve := int(q.config.ShortKVShare * float64(q.config.KVTokens))
	return q.reserved+e.job.KVTokens+reserve <= q.config.KVTokens
}

func (q *Queue) mayStartMedium(now time.Time, e *entry) bool {
	return q.fits(e) && q.leavesShortReserve(now, e) && q.runningPrefill[outcome.Short]+q.runningPrefill[outcome.Medium] < q.config.PrefillWindow
}

// mayStartLong reports whether a long job may start. It limits long jobs to their
// share of memory while short work is active, except on an idle engine.
func (q *Queue) mayStartLong(now time.Time, e *entry) bool {
	if !q.fits(e) || q.longPrefillsFull(e) {
		return false
	}
	if len(q.running) == 0 || !q.shortWorkActive(now) {
		return true
	}
	return q.reservedByBand[outcome.Long]+e.job.KVTokens <= q.longKVLimit() && q.leavesShortReserve(now, e)
}

func (q *Queue) longKVLimit() int {
	return int(q.config.LongKVShare * float64(q.config.KVTokens))
}

// shortWorkActive reports whether a short job is queued or arrived within
// ShortQuiet.
func (q *Queue) shortWorkActive(now time.Time) bool {
	return q.bands[outcome.Short].size > 0 || (q.shortArrived && now.Before(q.lastShortArrival.Add(q.config.ShortQuiet)))
}

func (q *Queue) start(now time.Time, e *entry, priority int) Grant {
	q.dequeue(e, true)
	q.running[e.job.ID] = e
	q.reserved += e.job.KVTokens
	q.reservedByBand[e.job.Band] += e.job.KVTokens
	q.runningPrefill[e.job.Band] += e.job.PrefillTokens
	e.prefilling = true
	e.started, e.prefillAtStart = now, q.runningPrefill[e.job.Band]
	if e.job.Band == outcome.Long {
		q.longPrefills++
	}
	return Grant{Job: e.job, Priority: priority}
}

func (q *Queue) dequeue(e *entry, served bool) {
	delete(q.queued, e.job.ID)
	q.queuedPrefill[e.job.Band] -= e.job.PrefillTokens
	q.bands[e.job.Band].remove(e, served)
	heap.Remove(&q.expiry, e.expiryPos)
	if e.urgentPos >= 0 {
		heap.Remove(&q.urgency, e.urgentPos)
	}
}

// RecordFirstToken records that the prefill of a running job has ended.
func (q *Queue) RecordFirstToken(now time.Time, id string) {
	if e := q.running[id]; e != nil {
		q.sampleSpeed(now, e)
		q.endPrefill(e)
	}
}

func (q *Queue) endPrefill(e *entry) {
	if !e.prefilling {
		return
	}
	e.prefilling = false
	q.runningPrefill[e.job.Band] -= e.job.PrefillTokens
	if e.job.Band == outcome.Long {
		q.longPrefills--
	}
}

// Finish removes a queued or running job and frees everything that it holds.
// An unknown id has no effect.
func (q *Queue) Finish(now time.Time, id string) {
	if e := q.queued[id]; e != nil {
		q.dequeue(e, false)
		return
	}
	e := q.running[id]
	if e == nil {
		return
	}
	q.endPrefill(e)
	delete(q.running, id)
	q.reserved -= e.job.KVTokens
	q.reservedByBand[e.job.Band] -= e.job.KVTokens
}

// Expired removes and returns the queued jobs whose deadline has passed.
func (q *Queue) Expired(now time.Time) []Job {
	var jobs []Job
	for e := q.expiry.top(); e != nil && !now.Before(e.job.Deadline); e = q.expiry.top() {
		q.dequeue(e, false)
		jobs = append(jobs, e.job)
	}
	return jobs
}

// Preempt returns the ids of running long jobs to preempt now, because the short
// job to start next does not fit in memory. The caller cancels each one and calls
// Requeue. A job is preempted at most MaxPreemptions times, and each run of a job
// is returned at most once.
func (q *Queue) Preempt(now time.Time) []string {
	head := q.bands[outcome.Short].head()
	if head == nil {
		return nil
	}
	missing := q.reserved + head.job.KVTokens - q.config.KVTokens
	for _, e := range q.running {
		if e.preempting {
			missing -= e.job.KVTokens
		}
	}
	var ids []string
	for missing > 0 {
		victim := q.victim(now)
		if victim == nil {
			break
		}
		victim.preempting = true
		missing -= victim.job.KVTokens
		ids = append(ids, victim.job.ID)
	}
	return ids
}

// victim returns the running long job that is cheapest to restart: one that is
// still in prefill if possible, then the one with the latest start limit.
func (q *Queue) victim(now time.Time) *entry {
	var best *entry
	for _, e := range q.running {
		if e.job.Band != outcome.Long || e.preempting || e.job.Preemptions >= q.config.MaxPreemptions ||
			!now.Before(e.latestStart) {
			continue
		}
		if best == nil || betterVictim(e, best) {
			best = e
		}
	}
	return best
}

func betterVictim(a, b *entry) bool {
	if a.prefilling != b.prefilling {
		return a.prefilling
	}
	if !a.latestStart.Equal(b.latestStart) {
		return a.latestStart.After(b.latestStart)
	}
	return a.job.ID < b.job.ID
}

// Load returns the current load.
func (q *Queue) Load(now time.Time) Load {
	load := Load{KVReserved: q.reserved, Running: len(q.running), Queued: len(q.queued)}
	for b := range load.PrefillTokens {
		load.PrefillTokens[b] = q.queuedPrefill[b] + q.runningPrefill[b]
	}
	return load
}

// NextWake returns the earliest time after now at which Expired, Preempt or Next
// may return something new although no job arrived or ended.
func (q *Queue) NextWake(now time.Time) (time.Time, bool) {
	var wake time.Time
	consider := func(t time.Time) {
		if t.After(now) && (wake.IsZero() || t.Before(wake)) {
			wake = t
		}
	}
	if e := q.expiry.top(); e != nil {
		consider(e.job.Deadline)
	}
	if e := q.urgency.top(); e != nil {
		consider(e.latestStart)
	}
	if q.shortArrived && len(q.queued) > 0 {
		consider(q.lastShortArrival.Add(q.config.ShortQuiet))
	}
	return wake, !wake.IsZero()
}

// prefillTokensAhead returns the prefill tokens that the engine serves before a
// new job of the band.
func (q *Queue) prefillTokensAhead(b outcome.Band) int {
	sum := 0
	for i := outcome.Short; i <= b; i++ {
		sum += q.queuedPrefill[i] + q.runningPrefill[i]
	}
	return sum
}

func (q *Queue) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / float64(q.config.PrefillTokensPerSecond) * float64(time.Second))
}

// serviceTime is the expected time from the start of the job to its end.
// UrgencyFactor allows for jobs of higher priority.
func (q *Queue) serviceTime(job Job) time.Duration {
	answer := time.Duration(max(job.KVTokens-job.PrefillTokens, 0)) * q.config.TokenTime
	return time.Duration(float64(q.prefillTime(job.PrefillTokens))*q.config.UrgencyFactor) + answer
}
