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
	// Weight is the weight of the account in fair queueing: an account with twice
	// the weight of another gets twice its prefill tokens. Values below 1 count as
	// 1.
	Weight int
	Band   outcome.Band
	// PrefillTokens is the prompt length in tokens, less the cached prefix.
	PrefillTokens int
	// KVTokens is the KV-cache memory to reserve in tokens, for the prompt and the
	// longest possible answer.
	KVTokens int
	// AnswerTokens is the longest possible rest of the answer in tokens. It is not
	// KVTokens less PrefillTokens: a cached prefix, or the state of a preempted job,
	// takes memory but no time.
	AnswerTokens int
	Arrived      time.Time
	Deadline     time.Time
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

// trackedJob is a queued or running job.
type trackedJob struct {
	job            Job
	latestStart    time.Time // the job is urgent from here on: a later start endangers the deadline
	urgencyPos     int       // index in Queue.urgency, or -1
	expiryPos      int       // index in Queue.expiry, or -1
	prefilling     bool
	started        time.Time
	prefillAtStart int  // prefill tokens of the band on the engine at the start, including its own
	preempting     bool // Preempt returned the job, and Requeue has not been called yet
}

// Queue orders the jobs of one engine. Invariant: reserved is the sum of the
// KVTokens of the running jobs and never exceeds the KV-cache memory of the
// engine.
type Queue struct {
	config  Config
	bands   [outcome.BandCount]*band
	queued  map[string]*trackedJob
	running map[string]*trackedJob
	urgency jobHeap // queued medium and long jobs by latest start
	expiry  jobHeap // all queued jobs by deadline

	reserved         int                    // KV-cache memory in tokens
	reservedByBand   [outcome.BandCount]int // the same by band
	queuedPrefill    [outcome.BandCount]int // prefill tokens of queued jobs
	runningPrefill   [outcome.BandCount]int // prefill tokens of running jobs before their first token
	longPrefills     int                    // number of running long jobs before their first token
	speed            speed
	lastShortArrival time.Time
	shortArrived     bool // whether lastShortArrival is set
}

// New returns an empty queue. Zero fields of config get their defaults.
func New(config Config) *Queue {
	q := &Queue{
		config:  config.withDefaults(),
		queued:  map[string]*trackedJob{},
		running: map[string]*trackedJob{},
		urgency: jobHeap{less: earlierLatestStart, position: urgencyPosition},
		expiry:  jobHeap{less: earlierDeadline, position: expiryPosition},
	}
	for i := range q.bands {
		q.bands[i] = newBand()
	}
	return q
}

// Push queues a job. It returns an *outcome.Error with PromptTooLong if the
// engine has too little memory for the job, Overloaded if the queue is full,
// DeadlineUnreachable if the prefill of the jobs ahead and of the job itself
// takes too long, or InvalidRequest if the id is in use.
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

// Requeue puts a preempted job back into the queue and frees the memory that it
// reserves. It ignores MaxQueued, because the job was accepted before.
func (q *Queue) Requeue(now time.Time, job Job) {
	q.Finish(now, job.ID)
	job.Preemptions++
	q.insert(job)
}

func (q *Queue) insert(job Job) {
	job.Weight = max(job.Weight, 1)
	job.KVTokens, job.PrefillTokens = max(job.KVTokens, 0), max(job.PrefillTokens, 0)
	j := &trackedJob{job: job, urgencyPos: -1, expiryPos: -1}
	j.latestStart = job.Deadline.Add(-q.serviceTime(job))
	if job.Band == outcome.Long {
		j.latestStart = j.latestStart.Add(-q.config.DrainTime)
	}
	q.queued[job.ID] = j
	q.queuedPrefill[job.Band] += job.PrefillTokens
	q.bands[job.Band].push(j)
	heap.Push(&q.expiry, j)
	if job.Band != outcome.Short {
		heap.Push(&q.urgency, j)
	}
}

// Next removes the job to start now from the queue and reserves its memory. It
// returns false if no job may start. Callers call it until it returns false after
// each change and at the time of NextWake.
func (q *Queue) Next(now time.Time) (Grant, bool) {
	urgent := q.urgent(now)
	if j := q.bands[outcome.Short].head(); j != nil && q.mayStartShort(j, urgent) {
		return q.start(now, j, PriorityShort), true
	}
	if urgent != nil {
		if q.mayStartUrgent(urgent) {
			return q.start(now, urgent, PriorityUrgent), true
		}
		if !q.fits(urgent) {
			return Grant{}, false // memory that becomes free is left to the urgent job
		}
	}
	if j := q.bands[outcome.Short].head(); j != nil && !q.fits(j) {
		return Grant{}, false // memory that becomes free is left to the short job
	}
	if j := q.bands[outcome.Medium].head(); j != nil {
		if q.mayStartMedium(now, j) {
			return q.start(now, j, PriorityMedium), true
		}
		if !q.fits(j) || !q.leavesShortReserve(now, j) {
			return Grant{}, false
		}
	}
	if j := q.bands[outcome.Long].head(); j != nil && q.mayStartLong(now, j) {
		return q.start(now, j, PriorityLong), true
	}
	return Grant{}, false
}

// urgent returns the queued medium or long job with the earliest latest start if
// that time has come, or nil.
func (q *Queue) urgent(now time.Time) *trackedJob {
	if j := q.urgency.top(); j != nil && !now.Before(j.latestStart) {
		return j
	}
	return nil
}

func (q *Queue) fits(j *trackedJob) bool {
	return q.reserved+j.job.KVTokens <= q.config.KVTokens
}

// mayStartShort reports whether a short job may start. While an urgent job waits
// for memory, the memory of all short jobs is limited so that the urgent job will
// fit beside them; otherwise a steady flow of short jobs starves it.
func (q *Queue) mayStartShort(j, urgent *trackedJob) bool {
	if !q.fits(j) || q.runningPrefill[outcome.Short] >= q.config.PrefillWindow {
		return false
	}
	if urgent == nil || q.longPrefillsFull(urgent) {
		return true
	}
	return q.reservedByBand[outcome.Short]+j.job.KVTokens+urgent.job.KVTokens <= q.config.KVTokens
}

func (q *Queue) mayStartUrgent(j *trackedJob) bool {
	return q.fits(j) && !q.longPrefillsFull(j)
}

// longPrefillsFull reports whether the job is long and must wait until another
// long job ends its prefill.
func (q *Queue) longPrefillsFull(j *trackedJob) bool {
	return j.job.Band == outcome.Long && q.longPrefills >= q.config.MaxLongPrefills
}

// leavesShortReserve reports whether the memory reserve for short jobs stays free
// if the job starts.
func (q *Queue) leavesShortReserve(now time.Time, j *trackedJob) bool {
	if len(q.running) == 0 || !q.shortWorkActive(now) {
		return true
	}
	reserve := int(q.config.ShortKVShare * float64(q.config.KVTokens))
	return q.reserved+j.job.KVTokens+reserve <= q.config.KVTokens
}

func (q *Queue) mayStartMedium(now time.Time, j *trackedJob) bool {
	return q.fits(j) && q.leavesShortReserve(now, j) && q.runningPrefill[outcome.Short]+q.runningPrefill[outcome.Medium] < q.config.PrefillWindow
}

// mayStartLong reports whether a long job may start. While short work is active,
// it limits long jobs to their share of memory, except on an idle engine.
func (q *Queue) mayStartLong(now time.Time, j *trackedJob) bool {
	if !q.fits(j) || q.longPrefillsFull(j) {
		return false
	}
	if len(q.running) == 0 || !q.shortWorkActive(now) {
		return true
	}
	return q.reservedByBand[outcome.Long]+j.job.KVTokens <= q.longKVLimit() && q.leavesShortReserve(now, j)
}

func (q *Queue) longKVLimit() int {
	return int(q.config.LongKVShare * float64(q.config.KVTokens))
}

// shortWorkActive reports whether a short job is queued or arrived within
// ShortQuiet.
func (q *Queue) shortWorkActive(now time.Time) bool {
	return q.bands[outcome.Short].size > 0 || (q.shortArrived && now.Before(q.lastShortArrival.Add(q.config.ShortQuiet)))
}

func (q *Queue) start(now time.Time, j *trackedJob, priority int) Grant {
	q.dequeue(j, true)
	q.running[j.job.ID] = j
	q.reserved += j.job.KVTokens
	q.reservedByBand[j.job.Band] += j.job.KVTokens
	q.runningPrefill[j.job.Band] += j.job.PrefillTokens
	j.prefilling = true
	j.started, j.prefillAtStart = now, q.runningPrefill[j.job.Band]
	if j.job.Band == outcome.Long {
		q.longPrefills++
	}
	return Grant{Job: j.job, Priority: priority}
}

func (q *Queue) dequeue(j *trackedJob, served bool) {
	delete(q.queued, j.job.ID)
	q.queuedPrefill[j.job.Band] -= j.job.PrefillTokens
	q.bands[j.job.Band].remove(j, served)
	heap.Remove(&q.expiry, j.expiryPos)
	if j.urgencyPos >= 0 {
		heap.Remove(&q.urgency, j.urgencyPos)
	}
}

// RecordFirstToken records that the prefill of a running job has ended.
func (q *Queue) RecordFirstToken(now time.Time, id string) {
	if j := q.running[id]; j != nil {
		q.sampleSpeed(now, j)
		q.endPrefill(j)
	}
}

func (q *Queue) endPrefill(j *trackedJob) {
	if !j.prefilling {
		return
	}
	j.prefilling = false
	q.runningPrefill[j.job.Band] -= j.job.PrefillTokens
	if j.job.Band == outcome.Long {
		q.longPrefills--
	}
}

// Finish removes a queued or running job and frees everything that it holds.
// An unknown id has no effect.
func (q *Queue) Finish(now time.Time, id string) {
	if j := q.queued[id]; j != nil {
		q.dequeue(j, false)
		return
	}
	j := q.running[id]
	if j == nil {
		return
	}
	q.endPrefill(j)
	delete(q.running, id)
	q.reserved -= j.job.KVTokens
	q.reservedByBand[j.job.Band] -= j.job.KVTokens
}

// Expired removes and returns the queued jobs whose deadline has passed.
func (q *Queue) Expired(now time.Time) []Job {
	var jobs []Job
	for j := q.expiry.top(); j != nil && !now.Before(j.job.Deadline); j = q.expiry.top() {
		q.dequeue(j, false)
		jobs = append(jobs, j.job)
	}
	return jobs
}

// Preempt returns the ids of running long jobs to preempt now, because the short
// job to start next does not fit in memory. The caller cancels each one and calls
// Requeue. A job is preempted at most MaxPreemptions times. A job that has been
// returned is not returned again before Requeue.
func (q *Queue) Preempt(now time.Time) []string {
	head := q.bands[outcome.Short].head()
	if head == nil {
		return nil
	}
	missing := q.reserved + head.job.KVTokens - q.config.KVTokens
	for _, j := range q.running {
		if j.preempting {
			missing -= j.job.KVTokens
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

// victim returns the running long job to preempt first, or nil: one that is
// still in prefill if there is one, because it loses the least work, and among
// these the one with the most time left until its latest start.
func (q *Queue) victim(now time.Time) *trackedJob {
	var best *trackedJob
	for _, j := range q.running {
		if j.job.Band != outcome.Long || j.preempting || j.job.Preemptions >= q.config.MaxPreemptions ||
			!now.Before(j.latestStart) {
			continue
		}
		if best == nil || betterVictim(j, best) {
			best = j
		}
	}
	return best
}

func betterVictim(a, b *trackedJob) bool {
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
	if j := q.expiry.top(); j != nil {
		consider(j.job.Deadline)
	}
	if j := q.urgency.top(); j != nil {
		consider(j.latestStart)
	}
	if q.shortArrived && len(q.queued) > 0 {
		consider(q.lastShortArrival.Add(q.config.ShortQuiet))
	}
	return wake, !wake.IsZero()
}

// prefillTokensAhead returns the prefill tokens that the engine processes before
// a new job of the band: those of all jobs of the same and of shorter bands.
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

// serviceTime returns the expected time from the start of the job to its end: the
// prefill, which takes longer if jobs of higher priority arrive, and the answer.
func (q *Queue) serviceTime(job Job) time.Duration {
	answer := time.Duration(max(job.AnswerTokens, 0)) * q.config.TokenTime
	return time.Duration(float64(q.prefillTime(job.PrefillTokens))*q.config.UrgencyFactor) + answer
}
