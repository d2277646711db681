package follow

import (
	"sync"
	"time"
)

// Proof shows that a process knew all changes of a prefix up to a revision.
type Proof struct {
	Prefix string
	// LastChange is the revision of the last change of the prefix, or a later one, and
	// Through the newest revision of the store at a time: the prefix has no change after
	// LastChange up to Through. Exact is set if there is a change at LastChange.
	LastChange, Through Position
	Exact               bool
	// At is when the store was asked for the newest revision, by the steady clock of this
	// process.
	At time.Time
}

// progress is what a process knows about how current its state of a prefix is. It is safe
// for concurrent use.
type progress struct {
	mu sync.Mutex
	// through is the revision up to which the known state has all changes; 0 before the
	// first read. lastChange and through are as in Proof.
	through, lastChange Position
	exact               bool // as in Proof
	changes             int  // received so far; all that a read finds count as one
	// after is the revision up to which the follower itself has received all changes.
	after Position
	// at is when the known state was the newest one, as this process or a peer has shown.
	at time.Time
	// before is a value of through of at least doubtTime ago, mark one of later at markedAt.
	before, mark Position
	markedAt     time.Time
	// doubtedAt is when the last proofs were taken back. Those of calls that began before do
	// not count any more.
	doubtedAt time.Time
	// ownThrough and ownAt are those of the newest proof of this process.
	ownThrough Position
	ownAt      time.Time
	// waitingSince is when the watch was sent that waits for its answer; zero if none does.
	// unwatched is set if the follower waits without a watch.
	waitingSince time.Time
	unwatched    bool
}

// recordRead records a read of the prefix that began at a time. changed is set if the state
// was not known before. When it changed, and whether keys were deleted since, is not known
// then, so the revision of the read stands for the last change.
func (p *progress) recordRead(revision Position, changed bool, began time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if changed {
		p.lastChange, p.exact = revision, false
		p.changes++
	}
	p.after = revision
	p.prove(revision, began)
}

// recordWatch records the answer to a watch, which began to arrive at a time, with its
// changes.
func (p *progress) recordWatch(revision Position, items []Item, answered time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if last := lastRevision(items); last > p.lastChange {
		p.lastChange, p.exact = last, true
	}
	p.changes += len(items)
	p.after = max(p.after, revision)
	p.prove(revision, answered)
}

// recordCheck records that the store has no change of the prefix that the follower has not
// received, as a call that began at a time has shown.
func (p *progress) recordCheck(revision Position, began time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isDoubted(began) {
		p.prove(revision, began)
	}
}

// isDoubted reports whether a check that began at a time may have missed changes. mu is held.
func (p *progress) isDoubted(began time.Time) bool { return !began.After(p.doubtedAt) }

// prove records a proof of this process. mu is held.
func (p *progress) prove(revision Position, at time.Time) {
	p.advance(revision)
	p.ownThrough = max(p.ownThrough, revision)
	p.ownAt = later(p.ownAt, at)
	p.at = later(p.at, at)
}

// advance raises through. mu is held.
func (p *progress) advance(revision Position) {
	if p.through == 0 || revision.Era() > p.through.Era() { // nothing older can be checked again
		p.before, p.mark = revision, revision
	}
	if now := time.Now(); now.Sub(p.markedAt) >= doubtTime {
		p.before, p.mark, p.markedAt = p.mark, max(p.through, p.mark), now
	}
	p.through = max(p.through, revision)
}

// doubt takes back the proofs of the last doubtTime, so that the next check covers that time
// once more.
func (p *progress) doubt() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.doubtedAt = time.Now()
	p.through = min(p.through, p.before)
	p.ownThrough = min(p.ownThrough, p.through)
}

// adopt records the proof of a peer, which says something of the state of this process if
// that state has the last change that the peer knows. It reports whether it lacks a change.
func (p *progress) adopt(proof Proof) (isBehind bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.through.Era() != proof.Through.Era() || p.isDoubted(proof.At) { // it says nothing of this state
		return false
	}
	if p.through < proof.LastChange {
		return p.through > 0 && proof.Exact
	}
	if proof.Through >= p.lastChange && proof.LastChange < p.lastChange {
		p.lastChange, p.exact = proof.LastChange, proof.Exact
	}
	p.advance(proof.Through)
	p.at = later(p.at, proof.At)
	return false
}

// proof returns the newest proof of this process. It returns false if there is none of the
// last proofLife, or a change has come since.
func (p *progress) proof(prefix string) (Proof, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ownThrough == 0 || p.lastChange > p.ownThrough || time.Since(p.ownAt) > proofLife {
		return Proof{}, false
	}
	return Proof{Prefix: prefix, LastChange: p.lastChange, Through: p.ownThrough, Exact: p.exact, At: p.ownAt}, true
}

// startWait records that a watch is sent now, or that the follower waits without one.
func (p *progress) startWait(unwatched bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waitingSince, p.unwatched = time.Now(), unwatched
}

// endWait records that no watch waits for its answer.
func (p *progress) endWait() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waitingSince = time.Time{}
}

// waiting returns when the watch was sent that waits for its answer, zero if none does, and
// when the known state was the newest one.
func (p *progress) waiting() (since, currentAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waitingSince, p.at
}

// isUnwatched reports whether the follower waits without a watch.
func (p *progress) isUnwatched() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unwatched && !p.waitingSince.IsZero()
}

// known returns the revision up to which the known state is proved to have all changes.
func (p *progress) known() Position {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.through
}

// received returns the revision up to which the follower itself has received all changes.
func (p *progress) received() Position {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.after
}

// doubtTime is how long checks may be answered without changes that there are: a store that
// is about to drop its history may not report changes for about a second.
const doubtTime = 3 * time.Second

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// changeCount returns the number of changes received so far.
func (p *progress) changeCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changes
}
