package queue

// jobHeap is a heap for container/heap that keeps the position of each job in
// the job itself, so that any job can be removed.
type jobHeap struct {
	items    []*trackedJob
	less     func(a, b *trackedJob) bool
	position func(j *trackedJob) *int // where the position of a job is kept
}

// Queue.urgency uses earlierLatestStart and urgencyPosition, and Queue.expiry uses
// earlierDeadline and expiryPosition. The latest start of a job is the last time
// at which it can start without endangering its deadline.

func earlierLatestStart(a, b *trackedJob) bool { return a.latestStart.Before(b.latestStart) }
func earlierDeadline(a, b *trackedJob) bool    { return a.job.Deadline.Before(b.job.Deadline) }
func urgencyPosition(j *trackedJob) *int       { return &j.urgencyPos }
func expiryPosition(j *trackedJob) *int        { return &j.expiryPos }

func (h *jobHeap) top() *trackedJob {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}

func (h *jobHeap) Len() int           { return len(h.items) }
func (h *jobHeap) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

func (h *jobHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.position(h.items[i]) = i
	*h.position(h.items[j]) = j
}

// Push appends a job; container/heap then moves it to its place.
func (h *jobHeap) Push(x any) {
	j := x.(*trackedJob)
	*h.position(j) = len(h.items)
	h.items = append(h.items, j)
}

// Pop removes the last job; container/heap has moved the first one there.
func (h *jobHeap) Pop() any {
	last := len(h.items) - 1
	j := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	*h.position(j) = -1
	return j
}
