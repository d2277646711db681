// Package queue decides in which order an agent starts the requests of its
// model engine. It exists because an engine that serves prompts in order of
// arrival lets one long document delay every short question behind it.
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
	// Weight is the share of the account relative to other accounts; values
	// below 1 count as 1.
	Weight int
	Band   outcome.Band
	// PrefillTokens is the prompt length in tokens, less the cached prefix.
	PrefillTokens int
	// KVTokens is the memory to reserve: prompt and longest answer in tokens.
	KVTokens int
	Arrived  time.Time
	Deadline time.Time
	// Preemptions counts how often the job was preempted. Requeue sets it.
	Preemptions int
}

// Grant is a job to submit to the engine now.
type Grant struct {
	Job
	// Priority is the engine priority, one of the Priority constants.
	Priority int
}

// Load is what a queue reports to entries.
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
	job        Job
	latest     time.Time // start of urgency: a later start endangers the deadline
	urgentPos  int       // index in Queue.urgency, or -1
	expiryPos  int       // index in Queue.expiry, or -1
	prefilling bool
	started    time.Time
	work       int // prefill tokens of the band on the engine at the start, its own included
	pausing    bool
}

// Queue orders the jobs of one engine. Invariant: reserved is the sum of
// KVTokens over running and never exceeds the capacity.
type Queue struct {
	config  Config
	bands   [outcome.BandCount]*band
	queued  map[string]*entry
	running map[string]*entry
	urgency entryHeap // queued medium and long jobs by latest start
	expiry  entryHeap // all queued jobs by deadline

	reserved     int
	reservedBand [outcome.BandCount]int
	waiting      [outcome.BandCount]int // queued prefill tokens
	prefill      [outcome.BandCount]int // prefill tokens running
	longPrefills int
	speed        speed
	lastShort    time.Time
	hadShort     bool
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

// Push queues a job. It returns an *outcome.Error with PromptTooLong if the
// job can never fit, Overloaded if the queue is full, DeadlineUnreachable if
// the work ahead leaves too little time, or InvalidRequest if the id is in use.
func (q *Queue) Push(now time.Time, job Job) error {
	if err := q.refuse(now, job); err != nil {
		return err
	}
	if job.Band == outcome.Short {
		q.lastShort, q.hadShort = now, true
	}
	q.insert(job)
	return nil
}

func (q *Queue) refuse(now time.Time, job Job) error {
	if q.queued[job.ID] != nil || q.running[job.ID] != nil {
		return outcome.New(outcome.InvalidRequest, "request %s is already queued or running", job.ID)
	}
	if job.KVTokens > q.config.KVTokens {
		return outcome.New(outcome.PromptTooLong, "the request needs %d KV tokens, the engine has %d",
			job.KVTokens, q.config.KVTokens)
	}
	wait := q.prefillTime(q.ahead(job.Band))
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

// Requeue puts a preempted job back. It frees what the job still holds, and
// ignores the queue limit, because the job was accepted before.
func (q *Queue) Requeue(now time.Time, job Job) {
	q.Finish(now, job.ID)
	job.Preemptions++
	q.insert(job)
}

func (q *Queue) insert(job Job) {
	job.Weight = max(job.Weight, 1)
	job.KVTokens, job.PrefillTokens = max(job.KVTokens, 0), max(job.PrefillTokens, 0)
	e := &entry{job: job, urgentPos: -1, expiryPos: -1}
	e.latest = job.Deadline.Add(-q.serviceTime(job))
	if job.Band == outcome.Long {
		e.latest = e.latest.Add(-q.config.DrainTime)
	}
	q.queued[job.ID] = e
	q.waiting[job.Band] += job.PrefillTokens
	q.bands[job.Band].push(e)
	heap.Push(&q.expiry, e)
	if job.Band != outcome.Short {
		heap.Push(&q.urgency, e)
	}
}

// Next pops the job to start now and reserves its memory. It reports false if
// nothing may start; call it again after each change and at NextWake.
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
			return Grant{}, false // leaves the memory that drains to the urgent job
		}
	}
	if e := q.bands[outcome.Short].head(); e != nil && !q.fits(e) {
		return Grant{}, false // leaves the memory that drains to the short job
	}
	if e := q.bands[outcome.Medium].head(); e != nil {
		if q.mayStartMedium(now, e) {
			return q.start(now, e, PriorityMedium), true
		}
		if !q.fits(e) || !q.leavesReserve(now, e) {
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
	if e := q.urgency.top(); e != nil && !now.Before(e.latest) {
		return e
	}
	return nil
}

func (q *Queue) fits(e *entry) bool {
	return q.reserved+e.job.KVTokens <= q.config.KVTokens
}

// mayStartShort also keeps enough memory free of short jobs for an urgent job
// that waits for memory; otherwise a steady flow of short jobs starves it.
func (q *Queue) mayStartShort(e, urgent *entry) bool {
	if !q.fits(e) || q.prefill[outcome.Short] >= q.config.PrefillWindow {
		return false
	}
	if urgent == nil || q.longPrefillsFull(urgent) {
		return true
	}
	return q.reservedBand[outcome.Short]+e.job.KVTokens+urgent.job.KVTokens <= q.config.KVTokens
}

func (q *Queue) mayStartUrgent(e *entry) bool {
	return q.fits(e) && !q.longPrefillsFull(e)
}

// longPrefillsFull reports whether the job is long and must wait for the end
// of another long prefill.
func (q *Queue) longPrefillsFull(e *entry) bool {
	return e.job.Band == outcome.Long && q.longPrefills >= q.config.MaxLongPrefills
}

// leavesReserve reports whether enough memory stays free for short work.
func (q *Queue) leavesReserve(now time.Time, e *entry) bool {
	if len(q.running) == 0 || !q.shortAbout(now) {
		return true
	}
	reserve := int(q.config.ShortKVShare * float64(q.config.KVTokens))
	return q.reserved+e.job.KVTokens+reserve <= q.config.KVTokens
}

func (q *Queue) mayStartMedium(now time.Time, e *entry) bool {
	return q.fits(e) && q.leavesReserve(now, e) && q.prefill[outcome.Short]+q.prefill[outcome.Medium] < q.config.PrefillWindow
}

// mayStartLong bounds long work to its share of memory while short work is
// about, except on an engine that would otherwise be idle.
func (q *Queue) mayStartLong(now time.Time, e *entry) bool {
	if !q.fits(e) || q.longPrefillsFull(e) {
		return false
	}
	if len(q.running) == 0 || !q.shortAbout(now) {
		return true
	}
	return q.reservedBand[outcome.Long]+e.job.KVTokens <= q.longLimit() && q.leavesReserve(now, e)
}

func (q *Queue) longLimit() int {
	return int(q.config.LongKVShare * float64(q.config.KVTokens))
}

// shortAbout reports whether short work waits or arrived recently.
func (q *Queue) shortAbout(now time.Time) bool {
	return q.bands[outcome.Short].size > 0 || (q.hadShort && now.Before(q.lastShort.Add(q.config.ShortQuiet)))
}

func (q *Queue) start(now time.Time, e *entry, priority int) Grant {
	q.dequeue(e, true)
	q.running[e.job.ID] = e
	q.reserved += e.job.KVTokens
	q.reservedBand[e.job.Band] += e.job.KVTokens
	q.prefill[e.job.Band] += e.job.PrefillTokens
	e.prefilling = true
	e.started, e.work = now, q.prefill[e.job.Band]
	if e.job.Band == outcome.Long {
		q.longPrefills++
	}
	return Grant{Job: e.job, Priority: priority}
}

func (q *Queue) dequeue(e *entry, served bool) {
	delete(q.queued, e.job.ID)
	q.waiting[e.job.Band] -= e.job.PrefillTokens
	q.bands[e.job.Band].remove(e, served)
	heap.Remove(&q.expiry, e.expiryPos)
	if e.urgentPos >= 0 {
		heap.Remove(&q.urgency, e.urgentPos)
	}
}

// FirstToken records that the prefill of a running job has ended.
func (q *Queue) FirstToken(now time.Time, id string) {
	if e := q.running[id]; e != nil {
		q.observe(now, e)
		q.endPrefill(e)
	}
}

func (q *Queue) endPrefill(e *entry) {
	if !e.prefilling {
		return
	}
	e.prefilling = false
	q.prefill[e.job.Band] -= e.job.PrefillTokens
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
	q.reservedBand[e.job.Band] -= e.job.KVTokens
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

// Preempt returns the ids of running long jobs to pause now, because the
// oldest waiting short job does not fit in memory. The caller cancels each
// one and calls Requeue. A job is preempted at most MaxPreemptions times and
// is not named twice in one run.
func (q *Queue) Preempt(now time.Time) []string {
	head := q.bands[outcome.Short].head()
	if head == nil {
		return nil
	}
	missing := q.reserved + head.job.KVTokens - q.config.KVTokens
	for _, e := range q.running {
		if e.pausing {
			missing -= e.job.KVTokens
		}
	}
	var ids []string
	for missing > 0 {
		victim := q.victim(now)
		if victim == nil {
			break
		}
		victim.pausing = true
		missing -= victim.job.KVTokens
		ids = append(ids, victim.job.ID)
	}
	return ids
}

// victim returns the running long job that can best be repeated: one that is
// still in prefill if possible, then the one with the latest start limit.
func (q *Queue) victim(now time.Time) *entry {
	var best *entry
	for _, e := range q.running {
		if e.job.Band != outcome.Long || e.pausing || e.job.Preemptions >= q.config.MaxPreemptions ||
			!now.Before(e.latest) {
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
	if !a.latest.Equal(b.latest) {
		return a.latest.After(b.latest)
	}
	return a.job.ID < b.job.ID
}

// Load returns the current load.
func (q *Queue) Load(now time.Time) Load {
	load := Load{KVReserved: q.reserved, Running: len(q.running), Queued: len(q.queued)}
	for b := range load.PrefillTokens {
		load.PrefillTokens[b] = q.waiting[b] + q.prefill[b]
	}
	return load
}

// NextWake returns the earliest time after now at which Expired, Preempt or
// Next may give a new result although no job arrived or ended.
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
		consider(e.latest)
	}
	if q.hadShort && len(q.queued) > 0 {
		consider(q.lastShort.Add(q.config.ShortQuiet))
	}
	return wake, !wake.IsZero()
}

// ahead returns the prefill tokens that the engine serves before a new job of
// the band.
func (q *Queue) ahead(b outcome.Band) int {
	sum := 0
	for i := outcome.Short; i <= b; i++ {
		sum += q.waiting[i] + q.prefill[i]
	}
	return sum
}

func (q *Queue) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / float64(q.config.PrefillTokensPerSecond) * float64(time.Second))
}

// serviceTime is the time that the job is expected to need once started, with
// a reserve for work of higher priority.
func (q *Queue) serviceTime(job Job) time.Duration {
	answer := time.Duration(max(job.KVTokens-job.PrefillTokens, 0)) * q.config.TokenTime
	return time.Duration(float64(q.prefillTime(job.PrefillTokens))*q.config.UrgencyFactor) + answer
}
