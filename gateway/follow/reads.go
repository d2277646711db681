package follow

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// readPatience is how long the answer to a read may take to begin before another
	// read begins: the store may not answer on a connection that it has lost.
	readPatience = 1500 * time.Millisecond
	// maxReads bounds the reads of a prefix that run at the same time.
	maxReads = 4
)

// errNoAnswerYet means that a read has not been answered within readPatience. It goes
// on, and its answer counts if it is the first.
var errNoAnswerYet = errors.New("no answer to a read yet")

// pendingReads are the reads of a prefix that wait for their answers. A store that is slow
// answers the first one at last, and one that has lost the connection of the first one
// answers the next.
type pendingReads struct {
	store    Store
	prefix   string
	ctx      context.Context // of the running reads
	cancel   context.CancelFunc
	running  int
	results  chan readResult // capacity maxReads
	answered chan struct{}   // capacity maxReads; receives when an answer begins to arrive
	group    sync.WaitGroup
}

type readResult struct {
	items   []Item
	at      Position
	started time.Time
	err     error
}

func (r *pendingReads) init(store Store, prefix string) {
	r.store, r.prefix = store, prefix
	r.reset()
}

func (r *pendingReads) reset() {
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.running = 0
	r.results, r.answered = make(chan readResult, maxReads), make(chan struct{}, maxReads)
}

// next begins a read and returns the first answer of all that run, which ends the others.
// After errNoAnswerYet they go on.
func (r *pendingReads) next(ctx context.Context) (readResult, error) {
	if r.running < maxReads {
		r.start()
	}
	patience := time.NewTimer(readPatience)
	defer patience.Stop()
	for {
		select {
		case got := <-r.results:
			r.running--
			if got.err != nil {
				r.forgetAnswers()
				return got, got.err
			}
			r.stop()
			r.reset()
			return got, nil
		case <-r.answered:
			patience.Stop()
		case <-patience.C:
			return readResult{}, errNoAnswerYet
		case <-ctx.Done():
			return readResult{}, ctx.Err()
		}
	}
}

// start begins a read.
func (r *pendingReads) start() {
	r.running++
	ctx, results, answered := r.ctx, r.results, r.answered
	r.group.Go(func() {
		got := readResult{started: time.Now()}
		got.items, got.at, got.err = r.store.Range(ctx, r.prefix, func() { signal(answered) })
		results <- got
	})
}

// forgetAnswers drops the signals of answers that began. That of a read that has failed
// must not make the next one be awaited without an answer.
func (r *pendingReads) forgetAnswers() {
	for len(r.answered) > 0 {
		<-r.answered
	}
}

// signal sends to a channel unless it is full.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// stop ends the reads that run.
func (r *pendingReads) stop() {
	r.cancel()
	r.group.Wait()
}
