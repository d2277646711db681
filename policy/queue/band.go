package queue

import "slices"

// band holds the queued jobs of one length band. Jobs of one account are served
// in order of arrival, accounts by start-time fair queueing: the account with
// the smallest start tag is next. The start tag of an account advances by prefill
// tokens divided by weight for each of its jobs that starts, so a busy account
// cannot delay the others by more than its share.
type band struct {
	flows       map[string]*flow // by account
	active      []*flow          // flows with queued jobs
	virtualTime float64          // greatest start tag of a job that started
	size        int              // number of queued jobs
}

// flow is the queue of one account.
type flow struct {
	account  string
	startTag float64 // virtual start time of the next job in tokens per weight
	jobs     []*trackedJob
}

func newBand() *band { return &band{flows: map[string]*flow{}} }

func (b *band) push(j *trackedJob) {
	f := b.flows[j.job.Account]
	if f == nil {
		f = &flow{account: j.job.Account}
		b.flows[j.job.Account] = f
	}
	if len(f.jobs) == 0 {
		// An account that was idle gains no credit for that time.
		f.startTag = max(f.startTag, b.virtualTime)
		b.active = append(b.active, f)
	}
	f.jobs = append(f.jobs, j)
	b.size++
}

// head returns the job with the smallest start tag, or nil if the band is empty.
func (b *band) head() *trackedJob {
	var best *flow
	for _, f := range b.active {
		if best == nil || f.startTag < best.startTag || (f.startTag == best.startTag && f.account < best.account) {
			best = f
		}
	}
	if best == nil {
		return nil
	}
	return best.jobs[0]
}

// remove removes a job. If it was served, its tokens are charged to its account.
func (b *band) remove(j *trackedJob, served bool) {
	f := b.flows[j.job.Account]
	i := slices.Index(f.jobs, j)
	f.jobs = slices.Delete(f.jobs, i, i+1)
	b.size--
	if served {
		b.virtualTime = max(b.virtualTime, f.startTag)
		f.startTag += float64(j.job.PrefillTokens) / float64(j.job.Weight)
	}
	if len(f.jobs) == 0 {
		i := slices.Index(b.active, f)
		b.active = slices.Delete(b.active, i, i+1)
	}
	b.evictIdleFlows()
}

// evictIdleFlows removes accounts without queued jobs, so that the table does
// not grow with every account ever seen. While other jobs are queued, it keeps
// accounts whose start tag is ahead of the virtual time, because they have been
// served more than their share.
func (b *band) evictIdleFlows() {
	if len(b.flows) <= 2*len(b.active)+maxIdleFlows {
		return
	}
	for account, f := range b.flows {
		if len(f.jobs) == 0 && (f.startTag <= b.virtualTime || len(b.active) == 0) {
			delete(b.flows, account)
		}
	}
}

// maxIdleFlows is the number of idle accounts from which evictIdleFlows looks
// for accounts to remove, in addition to the number of active ones.
const maxIdleFlows = 64
