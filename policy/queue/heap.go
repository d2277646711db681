package queue

// entryHeap is a heap for container/heap that keeps the position of each entry,
// so that any entry can be removed.
type entryHeap struct {
	entries  []*entry
	before   func(a, b *entry) bool
	position func(e *entry) *int
}

func earlierStart(a, b *entry) bool    { return a.latestStart.Before(b.latestStart) }
func earlierDeadline(a, b *entry) bool { return a.job.Deadline.Before(b.job.Deadline) }
func urgentPosition(e *entry) *int     { return &e.urgentPos }
func expiryPosition(e *entry) *int     { return &e.expiryPos }

func (h *entryHeap) top() *entry {
	if len(h.entries) == 0 {
		return nil
	}
	return h.entries[0]
}

func (h *entryHeap) Len() int           { return len(h.entries) }
func (h *entryHeap) Less(i, j int) bool { return h.before(h.entries[i], h.entries[j]) }

func (h *entryHeap) Swap(i, j int) {
	h.entries[i], h.entries[j] = h.entries[j], h.entries[i]
	*h.position(h.entries[i]) = i
	*h.position(h.entries[j]) = j
}

// Push appends an entry; container/heap then moves it to its place.
func (h *entryHeap) Push(x any) {
	e := x.(*entry)
	*h.position(e) = len(h.entries)
	h.entries = append(h.entries, e)
}

// Pop removes the last entry; container/heap moves the first one there.
func (h *entryHeap) Pop() any {
	last := len(h.entries) - 1
	e := h.entries[last]
	h.entries[last] = nil
	h.entries = h.entries[:last]
	*h.position(e) = -1
	return e
}
