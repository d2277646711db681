package follow

import "context"

// AdoptProof records a proof that a peer has of the same prefix. It is safe for concurrent
// use.
func (f *Follower) AdoptProof(p Proof) {
	if isBehind := f.progress.adopt(p); isBehind && f.progress.isUnwatched() {
		f.Refresh()
	}
}

// DoubtUnwatched takes back the last proofs of a prefix that is not watched now. A check that
// was answered while the store reported no changes may have missed some, which a watch
// notices by its end. It is safe for concurrent use.
func (f *Follower) DoubtUnwatched() {
	if f.progress.isUnwatched() {
		f.progress.doubt()
	}
}

// waitForRefresh waits, in place of a watch, until there are changes to be polled.
func (f *Follower) waitForRefresh(ctx context.Context) {
	f.progress.startWait(true)
	<-ctx.Done()
	f.progress.endWait()
	f.refresh.endWait()
}

// poll receives the changes of a prefix that is not watched, unless it must be read: those
// that a check has brought, or by a call. It ends when those that may follow soon can be
// received together.
func (f *Follower) poll(ctx context.Context) error {
	if !f.refresh.pending() {
		return errInterrupted
	}
	if d := f.refresh.takeDelivery(); d != nil {
		f.currentAt = d.began
		f.handleChanges(d.items, d.revision)
	} else {
		f.refresh.clear()
		f.after = f.progress.known()
		items, after, err := f.Store.Watch(ctx, f.Prefix, f.after, checkWait, f.handleAnswer)
		if err != nil {
			return err
		}
		f.handleChanges(items, after)
	}
	if f.changing {
		sleep(ctx, f.batchDelay())
	}
	return nil
}
