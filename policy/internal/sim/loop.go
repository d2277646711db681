// Package sim runs the decision modules in a discrete-event simulation and
// compares them with two baselines. The policy, as it is called here, is the
// combination of the packages queue, choose, admit and retry.
//
// The package holds a model of an engine with chunked prefill and a seeded load
// generator. All state belongs to one goroutine and events of equal time run in
// the order in which they were scheduled, so equal scenarios give equal results.
package sim

import (
	"container/heap"
	"time"
)

// epoch is the time that virtual time 0 stands for.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type event struct {
	at  time.Duration
	seq int // number of the event, in the order of scheduling
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an event; container/heap then moves it to its place.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop removes the last event; container/heap has moved the first one there.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// loop runs events in the order of virtual time.
type loop struct {
	now    time.Duration // virtual time
	seq    int           // number of events scheduled so far
	events eventHeap
}

func (l *loop) after(d time.Duration, run func()) {
	l.seq++
	heap.Push(&l.events, event{at: l.now + max(d, 0), seq: l.seq, run: run})
}

func (l *loop) time() time.Time { return epoch.Add(l.now) }

func (l *loop) run() {
	for len(l.events) > 0 {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
}
