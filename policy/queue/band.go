package queue

import "slices"

// band holds the queued jobs of one length band, first in first out within an
// account and in the order of virtual time between accounts. The virtual time
// of an account advances by prefill tokens divided by weight for each job
// that starts (start-time fair queueing), so a busy account cannot delay the
// others by more than its share.
type band struct {
	flows map[string]*flow
	order []*flow // flows with queued jobs
	clock float64 // virtual time of the last start
	size  int
}

// flow is the queue of one account.
type flow struct {
	account string
	virtual float64 // tokens per weight
	jobs    []*entry
}

func newBand() *band { return &band{flows: map[string]*flow{}} }

func (b *band) push(e *entry) {
	f := b.flows[e.job.Account]
	if f == nil {
		f = &flow{account: e.job.Account}
		b.flows[e.job.Account] = f
	}
	if len(f.jobs) == 0 {
		// An account gains no credit for the time in which it sent nothing.
		f.virtual = max(f.virtual, b.clock)
		b.order = append(b.order, f)
	}
	f.jobs = append(f.jobs, e)
	b.size++
}

// head returns the job to start next, or nil.
func (b *band) head() *entry {
	var best *flow
	for _, f := range b.order {
		if best == nil || f.virtual < best.virtual || (f.virtual == best.virtual && f.account < best.account) {
			best = f
		}
	}
	if best == nil {
		return nil
	}
	return best.jobs[0]
}

// remove takes a job out; served charges its tokens to the account.
func (b *band) remove(e *entry, served bool) {
	f := b.flows[e.job.Account]
	i := slices.Index(f.jobs, e)
	f.jobs = slices.Delete(f.jobs, i, i+1)
	b.size--
	if served {
		b.clock = max(b.clock, f.virtual)
		f.virtual += float64(e.job.PrefillTokens) / float64(e.job.Weight)
	}
	if len(f.jobs) == 0 {
		i := slices.Index(b.order, f)
		b.order = slices.Delete(b.order, i, i+1)
	}
	b.forget()
}

// forget drops accounts without queued jobs whose virtual time the clock has
// passed, so that the table does not grow with every account ever seen.
func (b *band) forget() {
	if len(b.flows) <= 2*len(b.order)+maxIdleFlows {
		return
	}
	for account, f := range b.flows {
		if len(f.jobs) == 0 && (f.virtual <= b.clock || len(b.order) == 0) {
			delete(b.flows, account)
		}
	}
}

// maxIdleFlows is the number of accounts without queued jobs that are kept.
const maxIdleFlows = 64
